// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

var start = time.Unix(9000, 0)

// table has one route of each kind, to a pool of plain workers and one of
// engines.
func table() config.RouteTable {
	second := config.Duration(time.Second)
	to := func(pool ident.Service) []config.Share { return []config.Share{{Pool: pool, Weight: 1}} }
	return config.RouteTable{
		Number: 1,
		Pools:  []config.Pool{{ID: "plain"}, {ID: "engines", Engine: true, Moves: true}},
		Routes: []config.Route{
			{Name: "safe", Host: "a.example", Prefix: "/safe/", Kind: config.RouteSafe, Timeout: second, MaxAttempts: 3, Shares: to("plain")},
			{Name: "unsafe", Host: "a.example", Prefix: "/unsafe/", Kind: config.RouteUnsafe, Timeout: second, MaxAttempts: 2, Shares: to("plain")},
			{Name: "deeper", Host: "a.example", Prefix: "/safe/deeper/", Kind: config.RouteSafe, Timeout: second, MaxAttempts: 1, Shares: to("plain"), Public: true},
			{Name: "once", Host: "a.example", Prefix: "/once/", Kind: config.RouteStream, Timeout: second, MaxAttempts: 2, Shares: to("engines")},
			{Name: "resumable", Host: "a.example", Prefix: "/resumable/", Kind: config.RouteStream, Resumable: true, Timeout: second, MaxAttempts: 2, Shares: to("engines")},
		},
		Keys: []config.KeyOwner{{Account: "halls", KeyHashes: []string{"key"}, Rank: 4, Ranked: true}},
	}
}

func workers(pool ident.Service, n int) []registry.Worker {
	out := make([]registry.Worker, 0, n)
	for i := range n {
		out = append(out, registry.Worker{
			ID: ident.Target(fmt.Sprintf("%s-%d", pool, i)), Pool: pool, Zone: "z",
			Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 64, Seq: 1,
		})
	}
	return out
}

// ready returns a gateway with a confirmed table and n workers in each pool.
func ready(n int) requests.State {
	s := requests.New(requests.Settings{Zone: "z"}).WithConfig(table()).WithHosts(1)
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: append(workers("plain", n), workers("engines", n)...)}, start)
	s, _ = requests.Reduce(s, requests.Confirmed{AsOf: start}, start)
	return s
}

func request(id, path string) requests.Request {
	return requests.Request{ID: ident.Request(id), Host: "a.example", Path: path, KeyHash: "key"}
}

// only returns the one decision on a request, beside what is noted of workers.
func only(t require.TestingT, decisions []requests.Decision) requests.Decision {
	var out []requests.Decision
	for _, d := range decisions {
		if _, note := d.(requests.Believed); !note {
			out = append(out, d)
		}
	}
	require.Len(t, out, 1)
	return out[0]
}

func arrive(t require.TestingT, s requests.State, r requests.Request, now time.Time) (requests.State, requests.Decision) {
	s, d := requests.Reduce(s, requests.Arrived{Request: r}, now)
	return s, only(t, d)
}

func TestRouteWithTheLongestPrefixWins(t *testing.T) {
	s := ready(2)
	_, d := arrive(t, s, request("1", "/safe/deeper/x"), start)
	require.Equal(t, "deeper", d.(requests.Dispatch).Route.Name)
	_, d = arrive(t, s, request("2", "/safe/x"), start)
	require.Equal(t, "safe", d.(requests.Dispatch).Route.Name)
	_, d = arrive(t, s, request("3", "/none/x"), start)
	require.Equal(t, requests.CodeNoRoute, d.(requests.Finish).Verdict.Code)
}

func TestAccountOfTheKeyAndItsRankReachTheWorker(t *testing.T) {
	_, d := arrive(t, ready(2), request("1", "/resumable/x"), start)
	require.EqualValues(t, "halls", d.(requests.Dispatch).Account)
	require.Equal(t, 4, d.(requests.Dispatch).Rank)
}

// TestNothingIsRefusedForGoodOnStaleKnowledge lets the confirmation grow old:
// what would be 401 or 404 becomes a refusal for the moment, and so does a
// request with a key; a public route goes on.
func TestNothingIsRefusedForGoodOnStaleKnowledge(t *testing.T) {
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

// TestOutcomesAreProved draws how tries end, for each kind of route, and checks
// what the users need to hold: what must not run twice is sent nowhere after it
// may have run; not-run is said only where no try may have run; no more workers
// are sent to than the route allows; each event yields one decision.
func TestOutcomesAreProved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{"/safe/x", "/unsafe/x", "/once/x", "/resumable/x"}).Draw(t, "path")
		s, now := ready(rapid.IntRange(1, 6).Draw(t, "workers")), start
		s, d := arrive(t, s, request("1", path), now)
		mayHaveRun, reached := false, 0
		for {
			dispatch, ok := d.(requests.Dispatch)
			if !ok {
				break
			}
			require.False(t, mayHaveRun && !dispatch.Route.Repeatable(), "sent again after it may have run")
			require.Less(t, reached, dispatch.Route.MaxAttempts)
			result := rapid.SampledFrom([]outcome.Attempt{
				outcome.Answered{Status: 200},
				outcome.Answered{Status: 500},
				outcome.NeverSent{},
				outcome.Declined{},
				outcome.Declined{Leaving: true},
				outcome.Broken{},
				outcome.Broken{Begun: true},
				outcome.Abandoned{Sent: true},
			}).Draw(t, "result")
			if outcome.Of(result) != outcome.NotRun {
				mayHaveRun = true
			}
			if declined, ok := result.(outcome.Declined); !ok || !declined.Leaving {
				if _, never := result.(outcome.NeverSent); !never {
					reached++
				}
			}
			now = now.Add(time.Millisecond)
			var decisions []requests.Decision
			s, decisions = requests.Reduce(s, requests.AttemptEnded{Request: "1", Attempt: dispatch.Attempt, Result: result, Wanted: true}, now)
			d = only(t, decisions)
		}
		verdict := d.(requests.Finish).Verdict
		if mayHaveRun {
			require.NotEqual(t, outcome.NotRun, verdict.Outcome)
		} else {
			require.Equal(t, outcome.NotRun, verdict.Outcome)
			require.Positive(t, verdict.RetryAfter, "a request that has not run is told when to come back")
		}
		require.True(t, s.Idle())
	})
}

// TestRetriesStayWithinTheBudget lets every try fail: what is sent once more
// stays within the share of requests and the host's part of the extra ones.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const total, hosts = 400, 4
	s, now := ready(8).WithHosts(hosts), start
	dispatched := 0
	for i := range total {
		id := fmt.Sprintf("r%d", i)
		var d requests.Decision
		s, d = arrive(t, s, request(id, "/safe/x"), now)
		for {
			dispatch, ok := d.(requests.Dispatch)
			if !ok {
				break
			}
			dispatched++
			var decisions []requests.Decision
			s, decisions = requests.Reduce(s, requests.AttemptEnded{
				Request: ident.Request(id), Attempt: dispatch.Attempt, Result: outcome.Answered{Status: 500}, Wanted: true,
			}, now)
			d = only(t, decisions)
		}
	}
	require.LessOrEqual(t, float64(dispatched-total), requests.DefaultRetryShare*total+requests.DefaultRetryExtra/hosts+1)
	require.Greater(t, dispatched, total)
}

func prompt(subject string) requests.Prompt {
	return requests.Prompt{Model: "m", Parts: []requests.Part{
		{ID: "system", Tokens: 500}, {ID: subject, Tokens: 10000}, {ID: "own", Tokens: 300},
	}}
}

// TestPromptsKeepTheirEngineWithinTheBound sends a surge about one subject: it
// goes to one engine while that has room, no engine goes beyond the bound, and
// what is sent elsewhere names the first engine as the source of the prefix.
func TestPromptsKeepTheirEngineWithinTheBound(t *testing.T) {
	const engines = 6
	s, now := ready(engines), start
	load := map[ident.Target]int{}
	var home requests.Dispatch
	for i := range 60 {
		r := request(fmt.Sprintf("r%d", i), "/resumable/x")
		r.Prompt = prompt("one")
		r.Deadline = start.Add(time.Hour)
		var d requests.Decision
		s, d = arrive(t, s, r, now)
		dispatch := d.(requests.Dispatch)
		if i == 0 {
			home = dispatch
		}
		if dispatch.Worker.ID != home.Worker.ID {
			require.Equal(t, home.Worker.Address, dispatch.CacheFrom)
		}
		load[dispatch.Worker.ID]++
		mean := float64(i) / engines
		require.LessOrEqual(t, float64(load[dispatch.Worker.ID]), requests.DefaultLoadFactor*mean+requests.DefaultLoadSlack+1)
	}
	require.Greater(t, load[home.Worker.ID], 60/engines, "the first engine takes what the bound allows")
}

func TestEqualPrefixesMeetOnEveryHost(t *testing.T) {
	for subject := range 20 {
		var first ident.Target
		for host := range 3 {
			r := request(fmt.Sprintf("h%d-s%d", host, subject), "/resumable/x")
			r.Prompt = prompt(fmt.Sprint("subject", subject))
			_, d := arrive(t, ready(5), r, start)
			id := d.(requests.Dispatch).Worker.ID
			if host == 0 {
				first = id
			}
			require.Equal(t, first, id)
		}
	}
}

// TestWorkersThatLeaveGetNothingNew tries every way in which a worker leaves.
func TestWorkersThatLeaveGetNothingNew(t *testing.T) {
	for _, state := range []registry.State{registry.Draining, registry.Gone} {
		s := ready(1)
		leaving := workers("plain", 1)[0]
		leaving.State, leaving.Seq = state, 2
		s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{leaving}}, start)
		late := workers("plain", 1)
		s, _ = requests.Reduce(s, requests.Registered{From: "q", Workers: late}, start)
		_, d := arrive(t, s, request("1", "/safe/x"), start)
		require.Equal(t, requests.CodeNoWorker, d.(requests.Finish).Verdict.Code, state.String())
	}
}

func TestReplacedWorkerIsLeft(t *testing.T) {
	s := ready(1)
	s, d := arrive(t, s, request("1", "/unsafe/x"), start)
	s, _ = requests.Reduce(s, requests.AttemptEnded{
		Request: "1", Attempt: d.(requests.Dispatch).Attempt, Result: outcome.Declined{Leaving: true}, Wanted: true,
	}, start)
	_, d = arrive(t, s, request("2", "/unsafe/x"), start.Add(time.Minute))
	require.IsType(t, requests.Finish{}, d)
}

// TestFailingWorkersAreUsedWhereNothingIsLeft ejects all: most likely the fault
// is on our side.
func TestFailingWorkersAreUsedWhereNothingIsLeft(t *testing.T) {
	s := ready(2)
	for i := range 4 {
		id := fmt.Sprintf("r%d", i)
		var d requests.Decision
		s, d = arrive(t, s, request(id, "/unsafe/x"), start)
		s, _ = requests.Reduce(s, requests.AttemptEnded{
			Request: ident.Request(id), Attempt: d.(requests.Dispatch).Attempt, Result: outcome.Broken{}, Wanted: true,
		}, start)
	}
	_, d := arrive(t, s, request("last", "/safe/x"), start)
	require.IsType(t, requests.Dispatch{}, d)
}

func TestClosingGatewayPromisesNotRun(t *testing.T) {
	s, _ := requests.Reduce(ready(1), requests.Closing{}, start)
	_, d := arrive(t, s, request("1", "/unsafe/x"), start)
	require.Equal(t, requests.CodeDraining, d.(requests.Finish).Verdict.Code)
	require.Equal(t, outcome.NotRun, d.(requests.Finish).Verdict.Outcome)
}

func TestSecondRequestUnderAnIDInUsePromisesNothing(t *testing.T) {
	s, _ := arrive(t, ready(1), request("1", "/unsafe/x"), start)
	_, d := arrive(t, s, request("1", "/unsafe/x"), start)
	require.Equal(t, outcome.Unknown, d.(requests.Finish).Verdict.Outcome)
	require.False(t, s.Idle())
}

// TestOlderTableNeverComesBack puts tables in force in any order.
func TestOlderTableNeverComesBack(t *testing.T) {
	s := requests.New(requests.Settings{})
	for _, number := range []uint64{3, 1, 7, 2} {
		g := table()
		g.Number = number
		before := s.Number()
		s = s.WithConfig(g)
		require.Equal(t, max(before, number), s.Number())
	}
}
