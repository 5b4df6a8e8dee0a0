// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// Start times of two processes of one worker.
const (
	firstStart  registry.Incarnation = 1_790_000_000_000
	secondStart                      = firstStart + 60_000
)

// register applies a worker's registration.
func register(s requests.State, w registry.Worker, now time.Time) (requests.State, []requests.Decision) {
	return requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{w}}, now)
}

// readyWithStarts returns a host with n workers in each pool that report when they started.
func readyWithStarts(n int) requests.State {
	s := ready(n)
	for _, pool := range []ident.Service{"plain", "engines"} {
		for _, w := range workers(pool, n) {
			w.Born = firstStart
			s, _ = register(s, w, start)
		}
	}
	return s
}

func restarted(w registry.Worker) registry.Worker {
	w.Born, w.Seq, w.State = secondStart, 1, registry.Ready
	return w
}

// countIn returns the number of requests at plain workers in a load report.
func countIn(d loads.Digest) int {
	n := 0
	for _, w := range workers("plain", 2) {
		n += d.Counts()[loads.TagOf(w.ID)]
	}
	return n
}

// TestAttemptsAtAnEarlierProcessAreAborted guards against waiting for a process that has ended,
// against running a request twice, and against wrong in-flight counts after a restart.
func TestAttemptsAtAnEarlierProcessAreAborted(t *testing.T) {
	for path, repeatable := range map[string]bool{"/safe/x": true, "/unsafe/x": false} {
		s, d := arrive(t, readyWithStarts(2), request("1", path), start)
		first := d.(requests.Dispatch)
		require.Equal(t, 1, countIn(s.Loads(start)))
		s, decisions := register(s, restarted(first.Worker), start)
		require.Equal(t, requests.AbortAttempt{Request: "1", Attempt: first.Attempt}, only(t, decisions))
		require.Zero(t, countIn(s.Loads(start)), "the new process has no requests in flight")
		s, decisions = requests.Reduce(s, requests.AttemptEnded{
			Request: "1", Attempt: first.Attempt, Result: outcome.Interrupted{TimedOut: true}, CallerWaiting: true,
		}, start)
		switch next := only(t, decisions).(type) {
		case requests.Dispatch:
			require.True(t, repeatable, path)
			require.NotEqual(t, first.Worker.ID, next.Worker.ID)
			require.Equal(t, 1, countIn(s.Loads(start)))
		case requests.Finish:
			require.False(t, repeatable, path)
			require.Equal(t, outcome.Unknown, next.Verdict.Outcome)
			require.Zero(t, countIn(s.Loads(start)))
		}
		_, decisions = register(s, first.Worker, start)
		require.Empty(t, decisions, "a late registration of the earlier process")
	}
}

// TestRestartResetsWorkerState guards against holding failures, declines and load of the previous
// process against a restarted worker.
func TestRestartResetsWorkerState(t *testing.T) {
	for name, result := range map[string]outcome.Attempt{
		"silent": outcome.NeverSent{ConnectTimedOut: true}, "replaced": outcome.Declined{Leaving: true}, "declined": outcome.Declined{},
	} {
		s, d := arrive(t, readyWithStarts(1), request("1", "/unsafe/x"), start)
		first := d.(requests.Dispatch)
		s, _ = requests.Reduce(s, requests.HeaderReceived{
			Worker: first.Worker.ID, Route: "unsafe", Load: requests.Load{Running: 64, Waiting: 99, Slots: 64},
		}, start)
		s, _ = requests.Reduce(s, requests.AttemptEnded{Request: "1", Attempt: 1, Result: result}, start)
		s, _ = register(s, restarted(first.Worker), start)
		_, d = arrive(t, s, request("2", "/unsafe/x"), start)
		sent, ok := d.(requests.Dispatch)
		require.True(t, ok, name)
		require.Zero(t, sent.Inputs.Load, name)
	}
}

// TestNoPrefixFromAProcessThatHasJustStarted guards against copying prefixes from a restarted
// engine, whose cache is empty, and against changing its position in the rendezvous order.
func TestNoPrefixFromAProcessThatHasJustStarted(t *testing.T) {
	ask := func(s requests.State, id string, now time.Time) requests.Dispatch {
		r := request(id, "/resumable/x")
		r.Prompt, r.Deadline = sharedPrompt(), now.Add(time.Hour)
		_, d := arrive(t, s, r, now)
		return d.(requests.Dispatch)
	}
	s := readyWithStarts(6)
	keeper := ask(s, "1", start).Worker
	s, _ = register(s, restarted(keeper), start)
	require.Equal(t, keeper.ID, ask(s, "2", start).Worker.ID)
	// It declines, so that the next engine takes the request.
	elsewhere := func(now time.Time) requests.Dispatch {
		r := request("3", "/resumable/x")
		r.Prompt = sharedPrompt()
		s, _ := requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(now)}, now)
		s, _ = arrive(t, s, r, now)
		_, decisions := requests.Reduce(s, requests.AttemptEnded{Request: "3", Attempt: 1, Result: outcome.Declined{}, CallerWaiting: true}, now)
		return only(t, decisions).(requests.Dispatch)
	}
	require.NotEqual(t, keeper.Address, elsewhere(start.Add(time.Second)).CacheFrom)
	require.Equal(t, keeper.Address, elsewhere(start.Add(time.Minute)).CacheFrom)
}

// TestDelayedHeartbeatOfADisplacedProcess guards against using an earlier process again after a
// delayed heartbeat, while a later one at its address is alive.
func TestDelayedHeartbeatOfADisplacedProcess(t *testing.T) {
	for _, dated := range []bool{false, true} {
		earlier, later := workers("plain", 1)[0], workers("plain", 1)[0]
		later.ID, earlier.Seq = "later", 7
		if dated {
			earlier.Born, later.Born = firstStart, secondStart
		}
		s := ready(0)
		s, _ = register(s, earlier, start)
		s, _ = register(s, later, start)
		silent, delayed := earlier, earlier
		silent.State, delayed.Seq = registry.Silent, 8
		s, _ = register(s, silent, start)
		s, _ = requests.Reduce(s, requests.Registered{From: "q", Workers: []registry.Worker{delayed}}, start)
		for i := range 20 {
			_, d := arrive(t, s, request(fmt.Sprint(i), "/unsafe/x"), start)
			require.Equal(t, later.ID, d.(requests.Dispatch).Worker.ID)
		}
		later.State = registry.Silent
		s, _ = register(s, later, start)
		_, d := arrive(t, s, request("last", "/unsafe/x"), start)
		require.Equal(t, earlier.ID, d.(requests.Dispatch).Worker.ID, "the earlier process is registered as ready, the later one as silent")
	}
}

// TestEndedWorkersAreRemoved guards against unbounded growth when workers register under new ids.
func TestEndedWorkersAreRemoved(t *testing.T) {
	s, now := ready(2), start
	for i := range 1000 {
		now = now.Add(time.Minute)
		w := workers("plain", 1)[0]
		w.ID = ident.Target(fmt.Sprint("start-", i))
		s, _ = register(s, w, now)
		w.State = registry.Gone
		s, _ = register(s, w, now.Add(time.Second))
	}
	require.Less(t, s.WorkerCount(), 20)
}
