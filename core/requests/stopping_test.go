// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// answered lets n requests of a path be answered after a time, and returns the host afterwards.
func answered(t *testing.T, s requests.State, path string, n int, took time.Duration) requests.State {
	for i := range n {
		next, d := arrive(t, s, request(fmt.Sprint(path, i), path), start)
		dispatch, ok := d.(requests.Dispatch)
		require.True(t, ok)
		s, _ = requests.Reduce(next, requests.AttemptEnded{
			Request: dispatch.Request, Attempt: dispatch.Attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true,
		}, start.Add(took))
	}
	return s
}

// isAdmitted reports whether a host that is being stopped, with some time left, admits a request.
func isAdmitted(t *testing.T, s requests.State, path string, left, deadline time.Duration) bool {
	s, _ = requests.Reduce(s, requests.Stopping{EndsAt: start.Add(left)}, start)
	r := request("late", path)
	r.Deadline = start.Add(deadline)
	_, d := arrive(t, s, r, start)
	refused, ok := d.(requests.Finish)
	if ok {
		require.Equal(t, requests.CodeDraining, refused.Verdict.Code)
		require.Equal(t, outcome.NotRun, refused.Verdict.Outcome)
		require.True(t, refused.Verdict.TryOtherHost)
	}
	return !ok
}

// TestStoppingHostAdmitsOnlyWhatEndsInTime guards against requests that a host takes during a planned stop and cuts at its end.
func TestStoppingHostAdmitsOnlyWhatEndsInTime(t *testing.T) {
	fast := answered(t, ready(2), "/unsafe/x", 3, 100*time.Millisecond)
	slow := answered(t, fast, "/unsafe/x", 1, 700*time.Millisecond)
	for name, c := range map[string]struct {
		host           requests.State
		left, deadline time.Duration
		admitted       bool
	}{
		"the latest ones were fast enough": {fast, 500 * time.Millisecond, time.Second, true},
		"one of the latest was too slow":   {slow, 500 * time.Millisecond, time.Second, false},
		"the deadline comes first":         {slow, 500 * time.Millisecond, 400 * time.Millisecond, true},
		"nothing is known of the route":    {ready(2), 500 * time.Millisecond, time.Second, false},
		"the timeout comes first":          {ready(2), 2 * time.Second, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.admitted, isAdmitted(t, c.host, "/unsafe/x", c.left, c.deadline))
		})
	}
}

// TestRefusalDuringStopLeavesRequestOfSameID guards against a late request under an id in use that ends the first one.
func TestRefusalDuringStopLeavesRequestOfSameID(t *testing.T) {
	s, _ := arrive(t, ready(1), request("1", "/unsafe/x"), start)
	s, _ = requests.Reduce(s, requests.Closing{}, start)
	s, decisions := requests.Reduce(s, requests.HeadReceived{Request: request("1", "/unsafe/x")}, start)
	require.Empty(t, decisions)
	s, d := arrive(t, s, request("1", "/unsafe/x"), start)
	require.Equal(t, requests.CodeDuplicate, d.(requests.Finish).Verdict.Code)
	require.False(t, s.Idle())
}

// TestRequestsAtTheEndOfStopGetTheirOutcome guards against requests that end without an answer, or with a wrong one, when the time for a
// planned stop is over.
func TestRequestsAtTheEndOfStopGetTheirOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		result outcome.Attempt
		want   outcome.Kind
	}{
		"pausing":    {nil, outcome.NotRun},
		"never sent": {outcome.NeverSent{Reason: "closed"}, outcome.NotRun},
		"sent":       {outcome.Interrupted{Reason: "closed"}, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := arrive(t, ready(1), request("1", "/unsafe/x"), start)
			s, decisions := requests.Reduce(s, requests.Stopped{Request: "1", Result: c.result}, start)
			got := only(t, decisions).(requests.Finish).Verdict
			require.Equal(t, c.want, got.Outcome)
			require.Equal(t, requests.CodeDraining, got.Code)
			require.Equal(t, c.want == outcome.NotRun, got.TryOtherHost)
			require.True(t, s.Idle())
		})
	}
}
