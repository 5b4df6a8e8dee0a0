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

// Starts of two processes of one worker.
const (
	bornFirst  registry.Incarnation = 1_790_000_000_000
	bornSecond                      = bornFirst + 60_000
)

// register tells the state of a worker as a replica knows it.
func register(s requests.State, w registry.Worker, now time.Time) (requests.State, []requests.Decision) {
	return requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{w}}, now)
}

// bornReady returns a gateway whose n workers of each pool say when they started.
func bornReady(n int) requests.State {
	s := ready(n)
	for _, pool := range []ident.Service{"plain", "engines"} {
		for _, w := range workers(pool, n) {
			w.Born = bornFirst
			s, _ = register(s, w, start)
		}
	}
	return s
}

func startedAgain(w registry.Worker) registry.Worker {
	w.Born, w.Seq, w.State = bornSecond, 1, registry.Ready
	return w
}

// countIn is how many requests a digest has at the plain workers of a gateway.
func countIn(d loads.Digest) int {
	n := 0
	for _, w := range workers("plain", 2) {
		n += d.Counts()[loads.TagOf(w.ID)]
	}
	return n
}

// TestAttemptsAtAnEarlierProcessAreLost lets the worker of a request start again: the
// attempt is broken off. What may run again goes to another worker; what must not ends as
// unknown, never as not run; and the worker's count begins anew and stays right.
func TestAttemptsAtAnEarlierProcessAreLost(t *testing.T) {
	for path, repeatable := range map[string]bool{"/safe/x": true, "/unsafe/x": false} {
		s, d := arrive(t, bornReady(2), request("1", path), start)
		first := d.(requests.Dispatch)
		require.Equal(t, 1, countIn(s.Loads(start)))
		s, decisions := register(s, startedAgain(first.Worker), start)
		require.Equal(t, requests.AbortAttempt{Request: "1", Attempt: first.Attempt}, only(t, decisions))
		require.Zero(t, countIn(s.Loads(start)), "the new process has none of it")
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

// TestBeliefsEndWithTheProcess has a worker fail until it is ejected, decline as replaced,
// and report a full queue: its next process starts without any of it.
func TestBeliefsEndWithTheProcess(t *testing.T) {
	for name, result := range map[string]outcome.Attempt{
		"silent": outcome.NeverSent{ConnectTimedOut: true}, "replaced": outcome.Declined{Leaving: true}, "declined": outcome.Declined{},
	} {
		s, d := arrive(t, bornReady(1), request("1", "/unsafe/x"), start)
		first := d.(requests.Dispatch)
		s, _ = requests.Reduce(s, requests.HeaderReceived{
			Worker: first.Worker.ID, Route: "unsafe", Load: requests.Load{Running: 64, Waiting: 99, Slots: 64},
		}, start)
		s, _ = requests.Reduce(s, requests.AttemptEnded{Request: "1", Attempt: 1, Result: result}, start)
		s, _ = register(s, startedAgain(first.Worker), start)
		_, d = arrive(t, s, request("2", "/unsafe/x"), start)
		sent, ok := d.(requests.Dispatch)
		require.True(t, ok, name)
		require.Zero(t, sent.Inputs.Load, name)
	}
}

// TestNoPrefixFromAProcessThatHasJustStarted lets the engine that keeps a prefix start
// again while it is busy: for a while nobody is sent to it for what its earlier process
// read, and its place in the order stays.
func TestNoPrefixFromAProcessThatHasJustStarted(t *testing.T) {
	ask := func(s requests.State, id string, now time.Time) requests.Dispatch {
		r := request(id, "/resumable/x")
		r.Prompt, r.Deadline = shared(), now.Add(time.Hour)
		_, d := arrive(t, s, r, now)
		return d.(requests.Dispatch)
	}
	s := bornReady(6)
	keeper := ask(s, "1", start).Worker
	s, _ = register(s, startedAgain(keeper), start)
	require.Equal(t, keeper.ID, ask(s, "2", start).Worker.ID)
	// It declines, so that the next engine takes the request.
	elsewhere := func(now time.Time) requests.Dispatch {
		r := request("3", "/resumable/x")
		r.Prompt = shared()
		s, _ := requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(now)}, now)
		s, _ = arrive(t, s, r, now)
		_, decisions := requests.Reduce(s, requests.AttemptEnded{Request: "3", Attempt: 1, Result: outcome.Declined{}, CallerWaiting: true}, now)
		return only(t, decisions).(requests.Dispatch)
	}
	require.NotEqual(t, keeper.Address, elsewhere(start.Add(time.Second)).CacheFrom)
	require.Equal(t, keeper.Address, elsewhere(start.Add(time.Minute)).CacheFrom)
}

// TestDelayedHeartbeatOfADisplacedProcess follows two replicas: by one of them another
// process has taken a worker's address, the other one was then brought a delayed heartbeat
// of the earlier process. Nothing goes there, whether they say when they started or not,
// until the later process is silent.
func TestDelayedHeartbeatOfADisplacedProcess(t *testing.T) {
	for _, dated := range []bool{false, true} {
		earlier, later := workers("plain", 1)[0], workers("plain", 1)[0]
		later.ID, earlier.Seq = "later", 7
		if dated {
			earlier.Born, later.Born = bornFirst, bornSecond
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
		require.Equal(t, earlier.ID, d.(requests.Dispatch).Worker.ID, "replicas hear it, and the other one no more")
	}
}

// TestWorkersThatAreOverAreForgotten registers workers under new ids for a day.
func TestWorkersThatAreOverAreForgotten(t *testing.T) {
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
