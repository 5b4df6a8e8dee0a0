// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// decliningEngines simulates engines that decline everything for some time and request a backoff
// with each decline.
type decliningEngines struct {
	ids      map[ident.Target]bool
	from, to time.Time
	backoff  time.Duration
	// backoffUntil is the end of each engine's backoff; tooEarly counts the requests before it.
	backoffUntil map[ident.Target]time.Time
	tooEarly     map[ident.Target]int
}

// answer returns how an engine answers an attempt, and the attempt's result.
func (e *decliningEngines) answer(id ident.Target, now time.Time) (requests.Notice, outcome.Attempt) {
	if now.Before(e.backoffUntil[id]) {
		e.tooEarly[id]++
	}
	if !e.ids[id] || now.Before(e.from) || !now.Before(e.to) {
		return requests.Notice{}, outcome.Answered{Status: 200}
	}
	e.backoffUntil[id] = now.Add(e.backoff)
	return requests.Notice{Backoff: e.backoff}, outcome.Declined{Reason: "full", RetryAfter: e.backoff}
}

// TestWorkersThatBackOffGetNothing guards against requests to an engine within its backoff: an
// engine that declines everything has no load, so it would look like the least loaded one.
func TestWorkersThatBackOffGetNothing(t *testing.T) {
	g := table()
	for i := range g.Routes {
		g.Routes[i].Objective, g.Routes[i].MaxAttempts = config.Duration(500*time.Millisecond), 1
		g.Routes[i].Timeout = config.Duration(10 * time.Second)
	}
	g.Number = 2
	s := ready(9).WithRouteTable(g)
	engines := &decliningEngines{
		ids:  map[ident.Target]bool{"engines-0": true, "engines-4": true, "engines-8": true},
		from: start.Add(2 * time.Second), to: start.Add(11 * time.Second), backoff: 3 * time.Second,
		backoffUntil: map[ident.Target]time.Time{}, tooEarly: map[ident.Target]int{},
	}
	refused := 0
	now := start
	const gap, total = 50 * time.Millisecond, 300
	for i := range total {
		now = now.Add(gap)
		s = confirmedAt(s, now)
		r := request(fmt.Sprint("r-", i), "/once/x")
		r.Prompt = prompt(fmt.Sprint("subject-", i%30))
		next, d := arrive(t, s, r, now)
		at := now
		for s = next; ; {
			if pause, ok := d.(requests.Pause); ok {
				at = at.Add(pause.For)
				s, d = afterPause(t, s, pause.Request, at)
			}
			sent, ok := d.(requests.Dispatch)
			if !ok {
				break
			}
			notice, result := engines.answer(sent.Worker.ID, at)
			s, _ = requests.Reduce(s, requests.HeaderReceived{
				Request: sent.Request, Attempt: sent.Attempt, Worker: sent.Worker.ID, Notice: notice, Route: sent.Route.Name, Took: 20 * time.Millisecond,
			}, at)
			var decisions []requests.Decision
			s, decisions = requests.Reduce(s, requests.AttemptEnded{Request: sent.Request, Attempt: sent.Attempt, Result: result, CallerWaiting: true}, at)
			d = only(t, decisions)
		}
		if d.(requests.Finish).Verdict.Code != requests.CodeOK {
			refused++
		}
	}
	require.Empty(t, engines.tooEarly, "requests to engines within their backoff")
	// Nine seconds hold three backoffs of 3 s; each of three engines declines once per backoff.
	require.LessOrEqual(t, refused, 3*3)
}

// withNotice applies the response header of an attempt, with what its worker reports about
// itself.
func withNotice(s requests.State, d requests.Dispatch, n requests.Notice, now time.Time) requests.State {
	s, _ = requests.Reduce(s, requests.HeaderReceived{Request: d.Request, Attempt: d.Attempt, Worker: d.Worker.ID, Notice: n, Route: d.Route.Name}, now)
	return s
}

// declineWithBackoff has the worker of an attempt decline it and request a backoff.
func declineWithBackoff(t *testing.T, s requests.State, d requests.Dispatch, backoff time.Duration, now time.Time) (requests.State, requests.Decision) {
	t.Helper()
	return decline(t, withNotice(s, d, requests.Notice{Backoff: backoff}, now), d, now)
}

// declineAllWithBackoff has three workers decline one request each and request backoffs of 1, 2
// and 3 s; only callers whose service has other workers may return at once.
func declineAllWithBackoff(t *testing.T, path string) requests.State {
	t.Helper()
	s := withObjective()
	for n := range 3 {
		next, d := arrive(t, s, request(fmt.Sprint("r-", n), path), start)
		after, end := declineWithBackoff(t, next, d.(requests.Dispatch), time.Duration(n+1)*time.Second, start)
		v := end.(requests.Finish).Verdict
		require.Equal(t, outcome.NotRun, v.Outcome)
		if n < 2 {
			require.LessOrEqual(t, v.RetryAfter, 50*time.Millisecond, "others are available")
		} else {
			require.GreaterOrEqual(t, v.RetryAfter, time.Second, "the first backoff ends after a second")
		}
		s = after
	}
	return s
}

func TestRequestIsRefusedAtOnceWhenAllWorkersBackOff(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/once/x", "/resumable/x"} {
		s := declineAllWithBackoff(t, path)
		s, d := arrive(t, s, request("refused", path), start.Add(600*time.Millisecond))
		v := d.(requests.Finish).Verdict
		require.Equal(t, requests.CodeOverloaded, v.Code)
		require.Equal(t, outcome.NotRun, v.Outcome)
		require.GreaterOrEqual(t, v.RetryAfter, 400*time.Millisecond)
		require.Less(t, v.RetryAfter, 1400*time.Millisecond)
		_, d = arrive(t, s, request("served", path), start.Add(time.Second))
		require.IsType(t, requests.Dispatch{}, d)
	}
}

// TestMostUrgentCallersReturnFirst guards against callers of low priority returning first after
// backoffs.
func TestMostUrgentCallersReturnFirst(t *testing.T) {
	s := declineAllWithBackoff(t, "/safe/x")
	for i := range 20 {
		_, d := arrive(t, s, request(fmt.Sprint("ranked-", i), "/safe/x"), start)
		r := request(fmt.Sprint("urgent-", i), "/safe/deeper/x")
		r.KeyHash = ""
		_, urgent := arrive(t, s, r, start)
		require.Less(t, urgent.(requests.Finish).Verdict.RetryAfter, d.(requests.Finish).Verdict.RetryAfter)
	}
}

// TestRetrySkipsWorkersWithABackoff guards against retries to workers with a backoff. The caller
// may return before it ends, as the worker that failed may take the request by then.
func TestRetrySkipsWorkersWithABackoff(t *testing.T) {
	results := []outcome.Attempt{outcome.Declined{Reason: "full"}, outcome.NeverSent{Reason: "refused", ConnectRefused: true}}
	for _, result := range results {
		s := ready(3)
		for n := range 2 {
			next, d := arrive(t, s, request(fmt.Sprint("r-", n), "/unsafe/x"), start)
			sent := d.(requests.Dispatch)
			next = withNotice(next, sent, requests.Notice{Backoff: time.Second}, start)
			s, _ = requests.Reduce(next, requests.AttemptEnded{Request: sent.Request, Attempt: sent.Attempt, Result: outcome.Declined{}, CallerWaiting: false}, start)
		}
		s, d := arrive(t, s, request("last", "/unsafe/x"), start)
		_, decisions := requests.Reduce(s, requests.AttemptEnded{
			Request: "last", Attempt: d.(requests.Dispatch).Attempt, Result: result, CallerWaiting: true,
		}, start)
		v := only(t, decisions).(requests.Finish).Verdict
		require.Equal(t, outcome.NotRun, v.Outcome)
		require.Positive(t, v.RetryAfter)
		require.Less(t, v.RetryAfter, time.Second)
	}
}

// TestWorkerWithSoftBackoffIsALastResort guards against preferring a worker that answered 429,
// and against excluding it when there is no other.
func TestWorkerWithSoftBackoffIsALastResort(t *testing.T) {
	s := ready(2)
	s, d := arrive(t, s, request("first", "/unsafe/x"), start)
	backingOff := d.(requests.Dispatch)
	s = withNotice(s, backingOff, requests.Notice{SoftBackoff: 2 * time.Second}, start)
	s, d = decline(t, s, backingOff, start)
	other := d.(requests.Dispatch)
	require.NotEqual(t, backingOff.Worker.ID, other.Worker.ID)
	later := start.Add(1900 * time.Millisecond)
	for i := range 20 {
		_, d = arrive(t, s, request(fmt.Sprint("r-", i), "/unsafe/x"), later)
		require.Equal(t, other.Worker.ID, d.(requests.Dispatch).Worker.ID)
	}
	s = withNotice(s, other, requests.Notice{SoftBackoff: 2 * time.Second}, start)
	_, d = arrive(t, s, request("last", "/unsafe/x"), later)
	require.IsType(t, requests.Dispatch{}, d)
	require.True(t, d.(requests.Dispatch).Inputs.LastResort)
}

// TestWorkerThatReportsLeavingGetsNothingNew guards against requests to a worker that reported
// that it is leaving while replicas still report it as ready.
func TestWorkerThatReportsLeavingGetsNothingNew(t *testing.T) {
	ends := map[string]outcome.Attempt{
		"declined": outcome.Declined{Reason: "full"}, "never sent": outcome.NeverSent{Reason: "refused"},
		"broken": outcome.Interrupted{Reason: "reset"}, "failed": outcome.Answered{Status: 500}, "answered": outcome.Answered{Status: 200},
	}
	for name, end := range ends {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/once/x", "/resumable/x"} {
			t.Run(name+path, func(t *testing.T) {
				s := ready(2)
				s, d := arrive(t, s, request("first", path), start)
				leaving := d.(requests.Dispatch)
				s = withNotice(s, leaving, requests.Notice{Leaving: true}, start)
				s, _ = requests.Reduce(s, requests.AttemptEnded{Request: "first", Attempt: 1, Result: end, CallerWaiting: false}, start)
				now := start.Add(300 * time.Millisecond)
				s = confirmedAt(s, now)
				heartbeat := leaving.Worker
				for seq := range uint64(40) {
					heartbeat.Seq = 2 + seq
					s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{heartbeat}}, now)
					next, d := arrive(t, s, request(fmt.Sprint("r-", seq), path), now)
					requireNever(t, next, d, leaving.Worker.ID, end, now)
				}
			})
		}
	}
}

// requireNever ends the attempts of a request until it ends, and requires that none is at a given
// worker.
func requireNever(t *testing.T, s requests.State, d requests.Decision, id ident.Target, end outcome.Attempt, now time.Time) {
	t.Helper()
	for range 10 {
		switch next := d.(type) {
		case requests.Finish:
			return
		case requests.Pause:
			require.NotEqual(t, id, next.Worker)
			s, d = afterPause(t, s, next.Request, now)
		case requests.Dispatch:
			require.NotEqual(t, id, next.Worker.ID)
			var decisions []requests.Decision
			s, decisions = requests.Reduce(s, requests.AttemptEnded{Request: next.Request, Attempt: next.Attempt, Result: end, CallerWaiting: true}, now)
			d = lastOf(t, decisions)
		}
	}
	require.Fail(t, "the request never ends")
}

// lastOf returns the decision on a request among those on its worker.
func lastOf(t *testing.T, decisions []requests.Decision) requests.Decision {
	t.Helper()
	for _, d := range decisions {
		switch d.(type) {
		case requests.Dispatch, requests.Pause, requests.Finish:
			return d
		}
	}
	require.Fail(t, "nothing was decided on the request")
	return nil
}

// TestRequestIsRefusedWhenTheOnlyWorkerLeaves guards against late heartbeats that make the worker
// available again, and against excluding its next process.
func TestRequestIsRefusedWhenTheOnlyWorkerLeaves(t *testing.T) {
	s := ready(1)
	s, d := arrive(t, s, request("first", "/unsafe/x"), start)
	leaving := d.(requests.Dispatch)
	s = withNotice(s, leaving, requests.Notice{Leaving: true}, start)
	_, d = arrive(t, s, request("second", "/unsafe/x"), start)
	require.Equal(t, outcome.NotRun, d.(requests.Finish).Verdict.Outcome)

	silent := leaving.Worker
	silent.Seq, silent.State = 2, registry.Silent
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{silent}}, start)
	later := start.Add(2 * time.Minute)
	s, _ = requests.Reduce(confirmedAt(s, later), requests.Registered{From: "r"}, later)
	late := leaving.Worker
	late.Seq = 3
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{late}}, later)
	_, d = arrive(t, s, request("third", "/unsafe/x"), later)
	require.IsType(t, requests.Finish{}, d, "a late heartbeat brings nobody back")

	s = ready(0)
	first := workers("plain", 1)[0]
	first.Born = 5
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{first}}, start)
	s, d = arrive(t, s, request("first", "/unsafe/x"), start)
	s = withNotice(s, d.(requests.Dispatch), requests.Notice{Leaving: true}, start)
	first.Born, first.Seq = 6, 2
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{first}}, start)
	s, d = arrive(t, s, request("fourth", "/unsafe/x"), start)
	require.IsType(t, requests.Dispatch{}, d, "another process takes requests")
	s = withNotice(s, requests.Dispatch{Request: "first", Attempt: 1, Worker: first}, requests.Notice{Leaving: true}, start)
	_, d = arrive(t, s, request("fifth", "/unsafe/x"), start)
	require.IsType(t, requests.Dispatch{}, d, "the notice of the earlier process does not apply to its successor")
}

// TestBackoffOfAProcessThatIsNotRegisteredYet guards against a late registration of a restarted
// worker clearing the backoff that its new process has already requested.
func TestBackoffOfAProcessThatIsNotRegisteredYet(t *testing.T) {
	w := workers("plain", 1)[0]
	w.Born = 5
	s, _ := requests.Reduce(ready(0), requests.Registered{From: "r", Workers: []registry.Worker{w}}, start)
	s, d := arrive(t, s, request("1", "/unsafe/x"), start)
	s, _ = declineWithBackoff(t, s, d.(requests.Dispatch), 10*time.Second, start)
	w.Born, w.Seq = 6, 1
	restarted := func(after time.Duration) requests.Decision {
		now := start.Add(after)
		s, _ := requests.Reduce(confirmedAt(s, now), requests.Registered{From: "r", Workers: []registry.Worker{w}}, now)
		_, d := arrive(t, s, request("2", "/unsafe/x"), now)
		return d
	}
	require.IsType(t, requests.Finish{}, restarted(time.Second))
	require.IsType(t, requests.Dispatch{}, restarted(7*time.Second), "requested by the earlier process")
}
