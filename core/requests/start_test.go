// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

const startTime = 2 * time.Second

// newStarted returns a host that has just started, without a route table or workers.
func newStarted() requests.State {
	return requests.New(requests.Settings{Zone: "z", StartupTimeout: startTime}).WithHostCount(1).WithStartedAt(start)
}

// withDeadline returns a request whose caller waits for a while.
func withDeadline(id, path string, now time.Time, wait time.Duration) requests.Request {
	r := request(id, path)
	r.Deadline = now.Add(wait)
	return r
}

// completeStart applies what a starting host lacks, step by step, and returns the decisions of
// each step.
func completeStart(s requests.State, now time.Time) (requests.State, [][]requests.Decision) {
	out := make([][]requests.Decision, 0, 2)
	s = s.WithRouteTable(table())
	for _, ev := range []requests.Event{
		requests.Confirmed{Confirmation: confirmation.At(now)},
		requests.Registered{From: "r", Workers: append(workers("plain", 2), workers("engines", 2)...)},
	} {
		next, d := requests.Reduce(s, ev, now)
		s, out = next, append(out, d)
	}
	return s, out
}

// TestRequestsWaitForAHostThatStarts guards against refusing requests at a starting host, and
// against serving them out of order or before the host can serve.
func TestRequestsWaitForAHostThatStarts(t *testing.T) {
	s := newStarted()
	for _, r := range []requests.Request{
		withDeadline("late", "/resumable/x", start, time.Minute), withDeadline("soon", "/once/x", start, 1900*time.Millisecond),
	} {
		var d requests.Decision
		s, d = arrive(t, s, r, start)
		require.Equal(t, requests.Wait{Request: r.ID}, d)
	}
	require.False(t, s.Idle())
	s, decided := completeStart(s, start.Add(time.Second))
	require.Empty(t, decided[0], "without workers")
	var order []ident.Request
	for _, d := range decided[1] {
		if d, ok := d.(requests.Dispatch); ok {
			order = append(order, d.Request)
		}
	}
	require.Equal(t, []ident.Request{"soon", "late"}, order)
	require.Zero(t, s.WaitingCount())
	require.Zero(t, s.Counters().WaitedUnserved)
}

// TestRequestThatCannotBeServedInTimeIsRefusedAtOnce guards against letting a request wait whose caller
// stops waiting before the start completes.
func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	_, d := arrive(t, newStarted(), withDeadline("1", "/safe/x", start, 500*time.Millisecond), start)
	v := d.(requests.Finish).Verdict
	require.Equal(t, outcome.NotRun, v.Outcome)
	require.Equal(t, requests.CodeNotReady, v.Code)
	require.Equal(t, startTime/2, v.RetryAfter, "the likely rest of the startup time")
}

// TestNoRequestWaitsBeyondTheStartupTimeout guards against requests that wait for a start that
// failed.
func TestNoRequestWaitsBeyondTheStartupTimeout(t *testing.T) {
	s, _ := arrive(t, newStarted(), withDeadline("1", "/safe/x", start, time.Minute), start)
	s, decisions := requests.Reduce(s, requests.Tick{}, start.Add(startTime-time.Millisecond))
	require.Empty(t, decisions)
	s, decisions = requests.Reduce(s, requests.Tick{}, start.Add(startTime))
	require.Equal(t, requests.CodeNotReady, only(t, decisions).(requests.Finish).Verdict.Code)
	require.Equal(t, startTime, s.Counters().WaitedUnserved)
	_, d := arrive(t, s, withDeadline("2", "/safe/x", start.Add(startTime), time.Minute), start.Add(startTime))
	require.IsType(t, requests.Finish{}, d)
}

// TestNoRequestWaitsForAPartitionedHost guards against waiting at a host that has lost its lease.
func TestNoRequestWaitsForAPartitionedHost(t *testing.T) {
	s, _ := completeStart(newStarted(), start)
	now := start.Add(requests.DefaultKeyLease)
	_, d := arrive(t, s, withDeadline("1", "/safe/x", now, time.Minute), now)
	require.Equal(t, requests.CodeStale, d.(requests.Finish).Verdict.Code)
}

// TestEachWaitingRequestGetsOneDecision draws random events during a start and guards against
// waiting requests that get no decision or several.
func TestEachWaitingRequestGetsOneDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newStarted(), start
		waits, ended := map[ident.Request]bool{}, map[ident.Request]int{}
		take := func(decisions []requests.Decision) {
			for _, d := range decisions {
				switch d := d.(type) {
				case requests.Wait:
					waits[d.Request] = true
				case requests.Dispatch:
					ended[d.Request]++
				case requests.Finish:
					ended[d.Request]++
					require.Equal(t, outcome.NotRun, d.Verdict.Outcome)
				}
			}
		}
		feed := func(ev requests.Event) {
			next, d := requests.Reduce(s, ev, now)
			s = next
			take(d)
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				path := rapid.SampledFrom([]string{"/safe/x", "/once/x", "/none/x"}).Draw(t, "path")
				wait := time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond
				feed(requests.Arrived{Request: withDeadline(fmt.Sprint(i), path, now, wait)})
			case 3:
				s = s.WithRouteTable(table())
				feed(requests.Confirmed{Confirmation: confirmation.At(now)})
			case 4:
				feed(requests.Registered{From: "r", Workers: []registry.Worker{workers("plain", 1)[0], workers("engines", 1)[0]}})
			case 5:
				feed(requests.Withdrawn{Request: ident.Request(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "who")))})
			case 6:
				feed(requests.Tick{})
			}
		}
		now = now.Add(startTime)
		feed(requests.Tick{})
		require.Zero(t, s.WaitingCount())
		for id := range waits {
			require.Equal(t, 1, ended[id], id)
		}
	})
}

// TestTooManyWaitingAreRefused guards against an unbounded number of waiting requests.
func TestTooManyWaitingAreRefused(t *testing.T) {
	s := newStarted()
	refused := 0
	for i := range 1100 {
		next, decisions := requests.Reduce(s, requests.Arrived{Request: withDeadline(fmt.Sprint(i), "/safe/x", start, time.Minute)}, start)
		s = next
		for _, d := range decisions {
			if _, ok := d.(requests.Finish); ok {
				refused++
			}
		}
	}
	require.Equal(t, 1100-s.WaitingCount(), refused)
	require.Equal(t, 1024, s.WaitingCount())
}
