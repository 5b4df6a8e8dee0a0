// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
)

// patience is more than any step of these tests takes.
const patience = time.Minute

// limitedFleet is a server whose limits the test sets.
type limitedFleet struct {
	t       *testing.T
	limits  atomic.Pointer[config.Limits]
	address string
}

func startLimited(t *testing.T, in config.Limits) *limitedFleet {
	f := &limitedFleet{t: t}
	f.limits.Store(&in)
	s := &limitedServer{
		handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		limits:  func() config.Limits { return *f.limits.Load() },
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		stopHTTP(l, s, func() time.Duration { return shutdownTime })
		require.ErrorIs(t, <-served, http.ErrServerClosed)
		require.NoError(t, s.Close())
	})
	return f
}

func (f *limitedFleet) dial() net.Conn {
	c, err := (&net.Dialer{}).DialContext(f.t.Context(), "tcp", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	require.NoError(f.t, c.SetReadDeadline(time.Now().Add(patience)))
	return c
}

// ask sends a request with a header of some length and returns the status.
func (f *limitedFleet) ask(c net.Conn, length int) int {
	_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\nFiller: %s\r\n\r\n", strings.Repeat("x", length))
	require.NoError(f.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
	return resp.StatusCode
}

// slop is what net/http takes beyond a limit of the head.
const slop = 8 << 10

func TestHeadBeyondTheLimitIsRefused(t *testing.T) {
	f := startLimited(t, config.Limits{MaxHeaderBytes: 2 << 10})
	require.Equal(t, http.StatusNoContent, f.ask(f.dial(), 1<<10))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, f.ask(f.dial(), 2<<10+slop))
	f.limits.Store(&config.Limits{MaxHeaderBytes: 64 << 10})
	require.Equal(t, http.StatusNoContent, f.ask(f.dial(), 2<<10+slop), "a change holds for new connections")
}

// TestSlowHeadAndIdleConnectionAreClosed waits for the server to close what takes
// too long, and sees that what is within the limits stays open.
func TestSlowHeadAndIdleConnectionAreClosed(t *testing.T) {
	short, long := config.Duration(50*time.Millisecond), config.Duration(time.Hour)
	f := startLimited(t, config.Limits{HeaderTimeout: short, IdleTimeout: long})
	slow := f.dial()
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	_, err = io.ReadAll(slow)
	require.NoError(t, err, "the server closes a head that does not end")

	f.limits.Store(&config.Limits{HeaderTimeout: long, IdleTimeout: short})
	idle := f.dial()
	require.Equal(t, http.StatusNoContent, f.ask(idle, 1))
	_, err = io.ReadAll(idle)
	require.NoError(t, err, "the server closes a connection that rests too long")

	f.limits.Store(&config.Limits{HeaderTimeout: long, IdleTimeout: long})
	kept := f.dial()
	for range 3 {
		require.Equal(t, http.StatusNoContent, f.ask(kept, 1))
		time.Sleep(2 * time.Duration(short))
	}
}
