// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package callers_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/callers"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/targets"
)

// retryingCore sends a request to the same target until it is not declined.
type retryingCore struct {
	target  config.Target
	effects chan host.Effect
	results []outcome.Attempt
}

// Submit implements callers.Core.
func (c *retryingCore) Submit(r host.Request) <-chan host.Effect {
	c.effects <- c.dispatch(r, 1)
	return c.effects
}

func (c *retryingCore) dispatch(r host.Request, attempt int) host.Dispatch {
	return host.Dispatch{Request: r.ID, Attempt: attempt, Target: c.target, Deadline: r.Deadline}
}

// ReportAttempt implements callers.Core.
func (c *retryingCore) ReportAttempt(ev host.AttemptEnded) {
	c.results = append(c.results, ev.Result)
	if _, declined := ev.Result.(outcome.Declined); declined && ev.Attempt < 3 {
		c.effects <- c.dispatch(host.Request{ID: ev.Request}, ev.Attempt+1)
		return
	}
	c.effects <- host.Finish{Request: ev.Request, Verdict: host.Verdict{Outcome: outcome.Of(ev.Result)}}
}

// Config implements callers.Core.
func (c *retryingCore) Config() config.Config { return config.Config{} }

// Ready implements callers.Core.
func (c *retryingCore) Ready() bool { return true }

// startRepeatingTarget starts a target that declines its first request, runs all others, and sends each answer
// again where the next one on the connection is due.
func startRepeatingTarget(t *testing.T) (address string, ran func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	seen := make(chan struct{}, 16)
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in, due := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			id := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
			answer := "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\ndone"
			seen <- struct{}{}
			if len(seen) == 1 {
				answer = "HTTP/1.1 503 Service Unavailable\r\n" + id + "X-Yardhall-Declined: full\r\nContent-Length: 0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, due+answer)
			due = answer
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String(), func() int { return len(seen) - 1 }
}

// TestEachTryHasItsOwnConnection guards against taking the copy of a target's answer to an earlier try of a
// request, which bears the same id, for the answer to a later try.
func TestEachTryHasItsOwnConnection(t *testing.T) {
	address, ran := startRepeatingTarget(t)
	core := &retryingCore{target: config.Target{ID: "t", Address: address}, effects: make(chan host.Effect, 4)}
	api := callers.New(callers.Deps{
		Core: core, Targets: targets.NewClient(targets.Options{}), Options: callers.Options{MaxBody: 1 << 10},
	})
	server := httptest.NewServer(api.Handler())
	t.Cleanup(server.Close)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL+"/services/s/x", nil)
	require.NoError(t, err)
	r.Header.Set(callers.HeaderDeadline, "5s")
	resp, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "%s", text)
	require.Equal(t, "done", string(text))
	require.Equal(t, 1, ran())
	require.Len(t, core.results, 2)
}
