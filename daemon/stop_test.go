// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

const (
	stopRounds  = 3
	stopCallers = 8
	servedFirst = 5 * time.Millisecond
)

// TestStoppingServerCutsNoNewConnection stops a server while callers open
// connections as fast as they can, with one request on each: every request is
// answered whole, or its connection was refused before anything was sent.
func TestStoppingServerCutsNoNewConnection(t *testing.T) {
	for range stopRounds {
		l, err := listenGateway("127.0.0.1:0")
		require.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusNoContent)
		}), ReadHeaderTimeout: callerHeader}
		served := make(chan error, 1)
		go func() { served <- server.Serve(l) }()

		var callers sync.WaitGroup
		failures := make(chan error, stopCallers)
		for range stopCallers {
			callers.Go(func() { failures <- callUntilFailure(t, l.Addr()) })
		}
		time.Sleep(servedFirst)
		stopHTTP(l, server, func() time.Duration { return shutdownTime })
		require.ErrorIs(t, <-served, http.ErrServerClosed)
		callers.Wait()
		close(failures)
		for err := range failures {
			require.Truef(t, errors.Is(err, syscall.ECONNREFUSED), "a request was cut: %v", err)
		}
	}
}

// callUntilFailure sends requests, each on a connection of its own, until one
// fails.
func callUntilFailure(t *testing.T, address net.Addr) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address.String(), http.NoBody)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
	}
}
