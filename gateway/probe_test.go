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

// probingCore asks for a connection to a worker with each request that arrives.
type probingCore struct {
	*fakeCore
	worker  registry.Worker
	reached chan requests.ProbeEnded
}

func (c *probingCore) Decide(ev requests.Event) []requests.Decision {
	if r, ok := ev.(requests.ProbeEnded); ok {
		c.reached <- r
	}
	decisions := c.fakeCore.Decide(ev)
	if _, ok := ev.(requests.Arrived); ok {
		decisions = append([]requests.Decision{requests.ProbeConnection{Worker: c.worker}}, decisions...)
	}
	return decisions
}

// TestConnectionsAreMadeWithoutARequest has the core ask for a connection beside a
// request: the request is answered, and the core is told whether the connection came
// up, of a worker that listens and of one that does not, and that the latter refused it.
func TestConnectionsAreMadeWithoutARequest(t *testing.T) {
	b := newBench(t, 1)
	listening, ok := b.core.state.Worker("w0")
	require.True(t, ok)
	gone := listening
	gone.ID, gone.Address = "gone", "127.0.0.1:1"
	for _, w := range []registry.Worker{listening, gone} {
		c := &probingCore{fakeCore: b.core, worker: w, reached: make(chan requests.ProbeEnded, 1)}
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
		require.Equal(t, requests.ProbeEnded{Worker: w.ID, OK: isListening, Refused: !isListening}, <-c.reached)
		server.Close()
	}
}
