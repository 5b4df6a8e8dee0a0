// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

func TestRouteWithTheLongestPrefixWins(t *testing.T) {
	s := ready(2)
	_, d := arrive(t, s, request("1", "/safe/deeper/x"), start)
	require.Equal(t, "deeper", d.(requests.Dispatch).Route.Name)
	_, d = arrive(t, s, request("2", "/safe/x"), start)
	require.Equal(t, "safe", d.(requests.Dispatch).Route.Name)
	_, d = arrive(t, s, request("3", "/none/x"), start)
	require.Equal(t, requests.CodeNoRoute, d.(requests.Finish).Verdict.Code)
}

func TestDispatchCarriesAccountAndRankOfTheKey(t *testing.T) {
	_, d := arrive(t, ready(2), request("1", "/resumable/x"), start)
	require.EqualValues(t, "halls", d.(requests.Dispatch).Account)
	require.Equal(t, 4, d.(requests.Dispatch).Rank)
}

// TestStaleTableRefusesNothingPermanently guards against final refusals by an outdated table:
// without a valid lease, unknown routes and keys are refused as stale, and public routes still
// work.
func TestStaleTableRefusesNothingPermanently(t *testing.T) {
	s, later := ready(2), start.Add(requests.DefaultKeyLease)
	bad := request("2", "/safe/x")
	bad.KeyHash = "other"
	for i, r := range []requests.Request{request("1", "/none/x"), bad, request("3", "/safe/x")} {
		_, d := arrive(t, s, r, later)
		v := d.(requests.Finish).Verdict
		require.Equal(t, requests.CodeStale, v.Code, "request %d", i)
		require.Equal(t, outcome.NotRun, v.Outcome)
		require.Positive(t, v.RetryAfter)
	}
	open := request("4", "/safe/deeper/x")
	open.KeyHash = ""
	_, d := arrive(t, s, open, later)
	require.IsType(t, requests.Dispatch{}, d)
}

func TestTimeoutBoundsTheDeadline(t *testing.T) {
	r := request("1", "/safe/x")
	r.Deadline = start.Add(time.Hour)
	_, d := arrive(t, ready(1), r, start)
	require.Equal(t, start.Add(time.Second), d.(requests.Dispatch).Deadline)
	r.Deadline = start.Add(time.Millisecond)
	_, d = arrive(t, ready(1), r, start)
	require.Equal(t, start.Add(time.Millisecond), d.(requests.Dispatch).Deadline)
}

func TestClosingHostRefusesAsNotRun(t *testing.T) {
	s, _ := requests.Reduce(ready(1), requests.Closing{}, start)
	_, d := arrive(t, s, request("1", "/unsafe/x"), start)
	require.Equal(t, requests.CodeDraining, d.(requests.Finish).Verdict.Code)
	require.Equal(t, outcome.NotRun, d.(requests.Finish).Verdict.Outcome)
}

func TestDuplicateRequestIDEndsAsUnknown(t *testing.T) {
	s, _ := arrive(t, ready(1), request("1", "/unsafe/x"), start)
	_, d := arrive(t, s, request("1", "/unsafe/x"), start)
	require.Equal(t, outcome.Unknown, d.(requests.Finish).Verdict.Outcome)
	require.False(t, s.Idle())
}

// TestClosingHostGoesOnWithRequestOfSameID guards against a late request under an id in use that ends the first one.
func TestClosingHostGoesOnWithRequestOfSameID(t *testing.T) {
	s, _ := arrive(t, ready(1), request("1", "/unsafe/x"), start)
	s, _ = requests.Reduce(s, requests.Closing{}, start)
	s, d := arrive(t, s, request("1", "/unsafe/x"), start)
	require.Equal(t, requests.CodeDuplicate, d.(requests.Finish).Verdict.Code)
	require.False(t, s.Idle())
}

// TestOlderRouteTableIsIgnored guards against going back to an older route table.
func TestOlderRouteTableIsIgnored(t *testing.T) {
	s := requests.New(requests.Settings{})
	for _, number := range []uint64{3, 1, 7, 2} {
		g := table()
		g.Number = number
		before := s.TableNumber()
		s = s.WithRouteTable(g)
		require.Equal(t, max(before, number), s.TableNumber())
	}
}
