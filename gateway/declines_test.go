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

// TestWorkerThatBacksOffIsAskedNothing has one of two workers turn a request away. The other
// one serves all that follows, plain requests and streams, until the time is over.
func TestWorkerThatBacksOffIsAskedNothing(t *testing.T) {
	b := newBench(t, 2)
	turned, other := b.workers[0], b.workers[1]
	turned.Next(standin.FullForAWhile)
	until := time.Now().Add(standin.WorkerBackoff)
	for turned.Asked() == 0 {
		until = time.Now().Add(standin.WorkerBackoff)
		_, _, _, err := b.call("/short/x", "body")
		require.NoError(t, err)
	}
	for n := 0; time.Now().Before(until.Add(-100 * time.Millisecond)); n++ {
		path := []string{"/safe/x", "/unsafe/x", "/stream/once/x", "/stream/again/x"}[n%4]
		_, _, _, err := b.call(path, "body")
		require.NoError(t, err)
	}
	require.Equal(t, 1, turned.Asked())
	require.Positive(t, len(other.Runs()))
}

// TestPausingRequestIsNotSentToAWorkerThatBacksOff lets many requests pause that the only
// worker declined, and the worker ask for a time without requests meanwhile.
func TestPausingRequestIsNotSentToAWorkerThatBacksOff(t *testing.T) {
	const callers = 8
	b := newBench(t, 1)
	for range callers {
		b.next(standin.Full)
	}
	b.next(standin.FullForAWhile)
	var calls sync.WaitGroup
	answers := make(chan http.Header, callers+1)
	for range callers {
		r := b.request(t.Context(), "/patient/x", "body")
		calls.Go(func() {
			if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
				_ = resp.Body.Close()
				answers <- resp.Header
			}
		})
	}
	require.Eventually(t, func() bool { return b.workers[0].Asked() == callers }, time.Second, time.Millisecond)
	status, _, header, err := b.call("/patient/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	answers <- header
	calls.Wait()
	require.Equal(t, callers+1, b.workers[0].Asked())
	close(answers)
	for header := range answers {
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, after, standin.WorkerBackoff.Seconds()/2, "when the worker wants something")
	}
}

// TestWorkerThatSaysItLeavesIsAskedNothing has one of two workers leave: its answer is delivered
// whole, and the other one serves all that follows. Once both leave, requests are refused at once.
func TestWorkerThatSaysItLeavesIsAskedNothing(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/once/x", "/stream/again/x"} {
		t.Run(path, func(t *testing.T) {
			b := newBench(t, 2)
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

// TestBackoffInAnAnswerWithoutIDIsObeyed has something before a worker turn a request away in its
// name: the answer names no request and does not say that it has not run.
func TestBackoffInAnAnswerWithoutIDIsObeyed(t *testing.T) {
	b := newBench(t, 1)
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
