// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

const objective = 150 * time.Millisecond

// withObjective returns a host whose routes have an objective and allow one worker per request.
func withObjective() requests.State {
	g := table()
	for i := range g.Routes {
		g.Routes[i].Objective, g.Routes[i].MaxAttempts = config.Duration(objective), 1
	}
	g.Number = 2
	return ready(3).WithRouteTable(g)
}

// decline ends an attempt as declined and returns the next decision.
func decline(t *testing.T, s requests.State, d requests.Dispatch, now time.Time) (requests.State, requests.Decision) {
	t.Helper()
	s, decisions := requests.Reduce(s, requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: outcome.Declined{Reason: "full"}, CallerWaiting: true}, now)
	return s, only(t, decisions)
}

// afterPause ends a request's pause and returns the next decision.
func afterPause(t *testing.T, s requests.State, id ident.Request, now time.Time) (requests.State, requests.Decision) {
	t.Helper()
	s, decisions := requests.Reduce(s, requests.PauseEnded{Request: id, CallerWaiting: true}, now)
	return s, only(t, decisions)
}

// TestDeclinedRequestIsResentToItsWorker guards against refusing at once, against endless resends
// and against resends beyond the objective, if the only allowed worker keeps declining.
func TestDeclinedRequestIsResentToItsWorker(t *testing.T) {
	s := withObjective()
	for i := range 40 {
		s = answer(t, s, fmt.Sprint("learn-", i), "/unsafe/x", 20*time.Millisecond)
	}
	s, d := arrive(t, s, request("1", "/unsafe/x"), start)
	first, now := d.(requests.Dispatch), start
	sent := first
	for n := range 10 {
		s, d = decline(t, s, sent, now)
		if end, ok := d.(requests.Finish); ok {
			require.Positive(t, n)
			require.Equal(t, outcome.NotRun, end.Verdict.Outcome)
			require.Positive(t, end.Verdict.RetryAfter)
			require.True(t, s.Idle())
			return
		}
		pause := d.(requests.Pause)
		require.Equal(t, first.Worker.ID, pause.Worker)
		require.GreaterOrEqual(t, pause.For, 10*time.Millisecond)
		require.LessOrEqual(t, pause.For, 30*time.Millisecond)
		now = now.Add(pause.For)
		require.Less(t, now.Sub(start), objective)
		s, d = afterPause(t, s, pause.Request, now)
		sent = d.(requests.Dispatch)
		require.Equal(t, first.Worker.ID, sent.Worker.ID)
	}
	require.Fail(t, "the request never ends")
}

// TestDeclinedRequestIsRefusedAtOnceIfTooLate guards against resends after the
// objective, to a worker that is leaving, and beyond the retry budget.
func TestDeclinedRequestIsRefusedAtOnceIfTooLate(t *testing.T) {
	s, d := arrive(t, withObjective(), request("1", "/unsafe/x"), start)
	_, late := decline(t, s, d.(requests.Dispatch), start.Add(objective-time.Millisecond))
	require.IsType(t, requests.Finish{}, late)

	_, decisions := requests.Reduce(s, requests.AttemptEnded{Request: "1", Attempt: 1, Result: outcome.Declined{Leaving: true}, CallerWaiting: true}, start)
	again, ok := only(t, decisions).(requests.Dispatch)
	require.True(t, !ok || again.Worker.ID != d.(requests.Dispatch).Worker.ID)

	resent := 0
	s = withObjective()
	for i := range 200 {
		s, d = arrive(t, s, request(fmt.Sprint("budget-", i), "/unsafe/x"), start)
		s, d = decline(t, s, d.(requests.Dispatch), start)
		if _, ok := d.(requests.Pause); ok {
			resent++
		}
	}
	require.Positive(t, resent)
	require.LessOrEqual(t, float64(resent), requests.RetryBudgetFraction*(requests.DefaultRetryExtra+requests.DefaultRetryShare*200))
}

// requestBackoff has a worker decline another request and request a backoff.
func requestBackoff(t *testing.T, s requests.State, id ident.Target, now time.Time) requests.State {
	t.Helper()
	for i := range 1000 {
		next, d := arrive(t, s, request(fmt.Sprint("other-", i), "/once/x"), now)
		if sent := d.(requests.Dispatch); sent.Worker.ID == id {
			return withNotice(next, sent, requests.Notice{Backoff: time.Second}, now)
		}
	}
	require.Fail(t, "the worker is never chosen")
	return s
}

// TestChangesDuringAPausePreventTheResend guards against resending to a worker that requested a
// backoff, reported that it is leaving, or whose zone was closed during the pause.
func TestChangesDuringAPausePreventTheResend(t *testing.T) {
	arrival := start.Add(requests.DefaultZoneDrain - 400*time.Millisecond)
	end := arrival.Add(300 * time.Millisecond)
	tests := map[string]struct {
		before, during func(s requests.State, w registry.Worker) requests.State
	}{
		"it asks for a backoff": {during: func(s requests.State, w registry.Worker) requests.State {
			return requestBackoff(t, s, w.ID, end.Add(-time.Millisecond))
		}},
		"it leaves": {during: func(s requests.State, w registry.Worker) requests.State {
			w.State, w.Seq = registry.Draining, 2
			s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{w}}, end)
			return s
		}},
		"its zone's time ends": {before: func(s requests.State, _ registry.Worker) requests.State {
			return s.WithDrainedZones(drain("z"))
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := withObjective()
			if tt.before != nil {
				s = tt.before(s, registry.Worker{})
			}
			s, d := arrive(t, confirmedAt(s, arrival), request("1", "/once/x"), arrival)
			sent := d.(requests.Dispatch)
			s, d = decline(t, s, sent, arrival)
			require.IsType(t, requests.Pause{}, d)
			if tt.during != nil {
				s = tt.during(s, sent.Worker)
			}
			_, d = afterPause(t, s, "1", end)
			require.IsType(t, requests.Finish{}, d)
			require.Equal(t, outcome.NotRun, d.(requests.Finish).Verdict.Outcome)
			require.Positive(t, d.(requests.Finish).Verdict.RetryAfter)
		})
	}
}

// TestNoResendAfterTheCallerLeaves guards against a resend after the caller has left or the
// deadline has passed.
func TestNoResendAfterTheCallerLeaves(t *testing.T) {
	s, d := arrive(t, withObjective(), request("1", "/once/x"), start)
	s, _ = decline(t, s, d.(requests.Dispatch), start)
	left, decisions := requests.Reduce(s, requests.PauseEnded{Request: "1"}, start)
	require.Equal(t, requests.CodeCallerGone, only(t, decisions).(requests.Finish).Verdict.Code)
	require.True(t, left.Idle())
	late, d := afterPause(t, s, "1", start.Add(time.Second))
	require.Equal(t, requests.CodeDeadline, d.(requests.Finish).Verdict.Code)
	require.Equal(t, outcome.NotRun, d.(requests.Finish).Verdict.Outcome)
	require.True(t, late.Idle())
}

// TestPausedRequestIsNotInFlight guards against counting a paused request as in flight, or
// aborting it when its worker restarts.
func TestPausedRequestIsNotInFlight(t *testing.T) {
	s, d := arrive(t, withObjective(), request("1", "/once/x"), start)
	sent := d.(requests.Dispatch)
	s, _ = decline(t, s, sent, start)
	require.Zero(t, s.Loads(start).Counts()[loads.TagOf(sent.Worker.ID)])
	w := sent.Worker
	w.Seq, w.Born = 2, 7
	s, decisions := requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{w}}, start)
	for _, decision := range decisions {
		require.IsType(t, requests.WorkerChanged{}, decision, "no attempt is to be aborted")
	}
	s, d = afterPause(t, s, "1", start)
	require.IsType(t, requests.Dispatch{}, d)
	require.Equal(t, 1, s.Loads(start).Counts()[loads.TagOf(sent.Worker.ID)])
}
