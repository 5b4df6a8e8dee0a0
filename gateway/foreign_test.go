// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/gateway"
)

// foreignCore also returns decisions on a request that another caller waits for.
type foreignCore struct{ *fakeCore }

// Decide implements gateway.Core.
func (c foreignCore) Decide(ev requests.Event) []requests.Decision {
	return append(c.fakeCore.Decide(ev), requests.Wait{Request: "other"}, requests.Finish{Request: "other"})
}

// TestDecisionsOnOtherRequestsAreIgnored guards against a caller that gets what was decided for another one.
func TestDecisionsOnOtherRequestsAreIgnored(t *testing.T) {
	b := newTestbed(t, 1)
	server := httptest.NewServer(gateway.NewServer(gateway.Deps{Core: foreignCore{b.core}, Pool: b.pool, Headers: names}))
	t.Cleanup(server.Close)
	b.url = server.URL
	for _, path := range []string{"/safe/x", "/stream/again/x"} {
		status, _, _, err := b.call(path, "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	require.Equal(t, 2, b.runs())
}
