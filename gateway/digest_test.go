// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDigestIdentifiesTheRequest guards against digests that depend on headers, or that are
// equal for requests that differ in another part.
func TestDigestIdentifiesTheRequest(t *testing.T) {
	of := func(method, url, body string, header ...string) string {
		r := httptest.NewRequest(method, url, nil)
		for _, name := range header {
			r.Header.Set(name, "x")
		}
		return string(digest(r, []byte(body)))
	}
	same := of("POST", "http://a.example/p?q=1", "body")
	require.Equal(t, same, of("POST", "http://a.example/p?q=1", "body", "Yardhall-Request-Id", "Yardhall-Timeout-Ms"))
	others := []string{
		of("PUT", "http://a.example/p?q=1", "body"), of("POST", "http://b.example/p?q=1", "body"),
		of("POST", "http://a.example/p2?q=1", "body"), of("POST", "http://a.example/p?q=2", "body"),
		of("POST", "http://a.example/p?q=1", "body2"), of("POST", "http://a.example/p?q=1b", "ody"),
	}
	for i, other := range others {
		require.NotEqual(t, same, other, i)
		require.NotContains(t, others[:i], other)
	}
}
