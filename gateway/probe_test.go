// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/gateway"
)

// probingCore requests a connection probe of a worker with each request that arrives.
type probingCore struct {
	*fakeCore
	worker  registry.Worker
	results chan requests.ProbeEnded
}

func (c *probingCore) Decide(ev requests.Event) []requests.Decision {
	if r, ok := ev.(requests.ProbeEnded); ok {
		c.results <- r
	}
	decisions := c.fakeCore.Decide(ev)
	if _, ok := ev.(requests.Arrived); ok {
		decisions = append([]requests.Decision{requests.ProbeConnection{Worker: c.worker}}, decisions...)
	}
	return decisions
}

// TestConnectionProbesReportTheirResult guards against lost or wrong results of connection
// probes, to a worker that listens and to an address that refuses connections, and against
// probes that disturb the request that caused them.
func TestConnectionProbesReportTheirResult(t *testing.T) {
	b := newTestbed(t, 1)
	listening, ok := b.core.state.Worker("w0")
	require.True(t, ok)
	refusing := listening
	refusing.ID, refusing.Address = "gone", "127.0.0.1:1"
	for _, w := range []registry.Worker{listening, refusing} {
		c := &probingCore{fakeCore: b.core, worker: w, results: make(chan requests.ProbeEnded, 1)}
		server := httptest.NewServer(gateway.NewServer(gateway.Deps{Core: c, Pool: b.pool, Headers: names}))
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL+"/safe/x", nil)
		require.NoError(t, err)
		req.Host = "a.example"
		req.Header.Set("Authorization", "Bearer "+callerKey)
		req.Header.Set(names.RequestID, "request-"+string(w.ID))
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
		isListening := w.ID == listening.ID
		require.Equal(t, requests.ProbeEnded{Worker: w.ID, OK: isListening, Refused: !isListening}, <-c.results)
		server.Close()
	}
}
