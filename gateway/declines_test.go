// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/standin"
)

// TestBackedOffWorkerGetsNoRequests guards against requests and streams to a worker before the
// backoff that it requested is over; another worker can serve them.
func TestBackedOffWorkerGetsNoRequests(t *testing.T) {
	b := newTestbed(t, 2)
	backedOff, other := b.workers[0], b.workers[1]
	backedOff.Next(standin.FullForAWhile)
	until := time.Now().Add(standin.WorkerBackoff)
	for backedOff.Asked() == 0 {
		until = time.Now().Add(standin.WorkerBackoff)
		_, _, _, err := b.call("/short/x", "body")
		require.NoError(t, err)
	}
	for n := 0; time.Now().Before(until.Add(-100 * time.Millisecond)); n++ {
		path := []string{"/safe/x", "/unsafe/x", "/stream/once/x", "/stream/again/x"}[n%4]
		_, _, _, err := b.call(path, "body")
		require.NoError(t, err)
	}
	require.Equal(t, 1, backedOff.Asked())
	require.Positive(t, len(other.Runs()))
}

// TestDelayedResendHonorsBackoff guards against resending declined requests, which wait for a
// delay, to a worker that has requested a backoff in the meantime.
func TestDelayedResendHonorsBackoff(t *testing.T) {
	const callers = 8
	b := newTestbed(t, 1)
	for range callers {
		b.next(standin.Full)
	}
	b.next(standin.FullForAWhile)
	var calls sync.WaitGroup
	headers := make(chan http.Header, callers+1)
	for range callers {
		r := b.request(t.Context(), "/patient/x", "body")
		calls.Go(func() {
			if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
				_ = resp.Body.Close()
				headers <- resp.Header
			}
		})
	}
	require.Eventually(t, func() bool { return b.workers[0].Asked() == callers }, time.Second, time.Millisecond)
	status, _, header, err := b.call("/patient/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	headers <- header
	calls.Wait()
	require.Equal(t, callers+1, b.workers[0].Asked())
	close(headers)
	for header := range headers {
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, after, standin.WorkerBackoff.Seconds()/2, "the advised delay covers the worker's backoff")
	}
}

// TestLeavingWorkerGetsNoNewRequests guards against requests to a worker that is shutting down,
// and against losing the response in which it reports that.
func TestLeavingWorkerGetsNoNewRequests(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/once/x", "/stream/again/x"} {
		t.Run(path, func(t *testing.T) {
			b := newTestbed(t, 2)
			leaving, other := b.workers[0], b.workers[1]
			leaving.Leave()
			calls := 0
			for ; leaving.Asked() == 0; calls++ {
				status, _, _, err := b.call(path, "body")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			}
			for range 30 {
				status, _, _, err := b.call(path, "body")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			}
			require.Equal(t, 1, leaving.Asked())
			require.Equal(t, calls+29, other.Asked())
			other.Leave()
			for range 5 {
				_, _, _, err := b.call(path, "body")
				require.NoError(t, err)
			}
			require.Equal(t, calls+30, other.Asked())
		})
	}
}

// TestBackoffInResponseWithoutIDIsHonored guards against ignoring the backoff of an intermediary
// before a worker, whose 503 carries neither a request id nor the not-run header.
func TestBackoffInResponseWithoutIDIsHonored(t *testing.T) {
	b := newTestbed(t, 1)
	b.next(standin.Overloaded)
	status, _, _, err := b.call("/unsafe/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status, "it may have run")
	status, _, header, err := b.call("/unsafe/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Equal(t, 1, b.workers[0].Asked())
}
