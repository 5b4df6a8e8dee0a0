// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/gateway"
)

// TestPaceOfAPlainAnswerIsReported guards against versions that cannot be compared, as no answer has a
// pace.
func TestPaceOfAPlainAnswerIsReported(t *testing.T) {
	b := newTestbed(t, 1)
	seen := make(chan gateway.Observation, 1)
	server := httptest.NewServer(gateway.NewServer(gateway.Deps{
		Core: b.core, Pool: b.pool, Headers: names, Observe: func(o gateway.Observation) { seen <- o },
	}))
	defer server.Close()
	b.url = server.URL
	resp, err := http.DefaultTransport.RoundTrip(b.request(t.Context(), "/safe/x", ""))
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	attempt := (<-seen).Attempts[0]
	pace := attempt.Result.(outcome.Answered).Pace
	require.Positive(t, pace)
	require.LessOrEqual(t, pace, attempt.Duration)
}
