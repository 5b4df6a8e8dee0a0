// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

const objective = 150 * time.Millisecond

// withObjective is a gateway whose routes have an objective and one worker a try.
func withObjective() requests.State {
	g := table()
	for i := range g.Routes {
		g.Routes[i].Objective, g.Routes[i].MaxAttempts = config.Duration(objective), 1
	}
	g.Number = 2
	return ready(3).WithConfig(g)
}

// decline ends a try as declined and returns what follows.
func decline(t *testing.T, s requests.State, d requests.Dispatch, now time.Time) (requests.State, requests.Decision) {
	t.Helper()
	s, decisions := requests.Reduce(s, requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: outcome.Declined{Reason: "full"}, Wanted: true}, now)
	return s, only(t, decisions)
}

// TestDeclinedRequestComesBackToItsWorker lets the only worker that a request may go
// to decline again and again: it is sent there a few times after pauses, within its
// objective, and is then promised not to have run.
func TestDeclinedRequestComesBackToItsWorker(t *testing.T) {
	s := withObjective()
	for i := range 40 {
		s = answer(t, s, fmt.Sprint("learn-", i), "/unsafe/x", 20*time.Millisecond)
	}
	s, d := arrive(t, s, request("1", "/unsafe/x"), start)
	first, now := d.(requests.Dispatch), start
	require.Zero(t, first.Pause)
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
		sent = d.(requests.Dispatch)
		require.Equal(t, first.Worker.ID, sent.Worker.ID)
		require.GreaterOrEqual(t, sent.Pause, 10*time.Millisecond)
		require.LessOrEqual(t, sent.Pause, 30*time.Millisecond)
		now = now.Add(sent.Pause)
		require.Less(t, now.Sub(start), objective)
	}
	require.Fail(t, "the request never ends")
}

// TestDeclinedRequestIsRefusedAtOnceWhereItWouldBeLate has the worker decline when the
// objective is nearly over, when it is leaving, and when the budget is used up.
func TestDeclinedRequestIsRefusedAtOnceWhereItWouldBeLate(t *testing.T) {
	s, d := arrive(t, withObjective(), request("1", "/unsafe/x"), start)
	_, late := decline(t, s, d.(requests.Dispatch), start.Add(objective-time.Millisecond))
	require.IsType(t, requests.Finish{}, late)

	_, decisions := requests.Reduce(s, requests.AttemptEnded{Request: "1", Attempt: 1, Result: outcome.Declined{Leaving: true}, Wanted: true}, start)
	again, ok := only(t, decisions).(requests.Dispatch)
	require.True(t, !ok || again.Worker.ID != d.(requests.Dispatch).Worker.ID)

	resent := 0
	s = withObjective()
	for i := range 200 {
		s, d = arrive(t, s, request(fmt.Sprint("budget-", i), "/unsafe/x"), start)
		s, d = decline(t, s, d.(requests.Dispatch), start)
		if _, ok := d.(requests.Dispatch); ok {
			resent++
		}
	}
	require.Positive(t, resent)
	require.LessOrEqual(t, float64(resent), requests.BudgetUsed*(requests.DefaultRetryExtra+requests.DefaultRetryShare*200))
}
