// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// The rate that a cold worker sustains, and the highest allowed: 1.5 times as much plus 5.
const (
	coldPerSecond    = 8.9
	maxColdPerSecond = 1.5*coldPerSecond + 5
)

// coldHost returns a host that knows the number of hosts unless that is 0, and workers, some of
// them cold for a time.
func coldHost(name string, hosts int, all []registry.Worker, cold map[ident.Target]time.Duration, now time.Time) requests.State {
	t := table()
	t.Number = 2
	for i := range t.Pools {
		t.Pools[i].ColdPerSecond = coldPerSecond
	}
	s := requests.New(requests.Settings{Host: ident.Host(name), Zone: "z"}).WithRouteTable(t)
	if hosts > 0 {
		s = s.WithHostCount(hosts)
	}
	told := slices.Clone(all)
	for i := range told {
		told[i].Cold = cold[told[i].ID]
	}
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: told}, now)
	return confirmedAt(s, now)
}

// mostInASecond returns the largest number of times within one second.
func mostInASecond(at []time.Time) int {
	slices.SortFunc(at, time.Time.Compare)
	most, from := 0, 0
	for i, when := range at {
		for when.Sub(at[from]) > time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestColdWorkerRateHoldsAcrossAllHosts guards against overloading a cold engine when all hosts
// have requests for it at once and some hosts restart, which makes them forget what they sent.
func TestColdWorkerRateHoldsAcrossAllHosts(t *testing.T) {
	const engines = 4
	for hosts, draws := range map[int]int{3: 40, 7: 40, 72: 20, 300: 6} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			for draw := range draws {
				r := rand.New(rand.NewPCG(uint64(draw), uint64(hosts)))
				all := workers("engines", engines)
				for i := range all {
					all[i].ID = ident.Target(fmt.Sprintf("engine-%d-%d", draw, i))
				}
				cold := map[ident.Target]time.Duration{all[0].ID: 3 * time.Second}
				at := make([]time.Time, 0, hosts)
				for h := range hosts {
					at = append(at, coldSendTimes(t, r, fmt.Sprintf("host-%d", h), hosts, all, cold)...)
				}
				require.LessOrEqual(t, float64(mostInASecond(at)), maxColdPerSecond, "draw %d", draw)
			}
		})
	}
}

// coldSendTimes returns when one host sends to the first worker, which is cold.
func coldSendTimes(t *testing.T, r *rand.Rand, name string, hosts int, all []registry.Worker, cold map[ident.Target]time.Duration) []time.Time {
	s := coldHost(name, hosts, all, cold, start)
	again := time.Duration(-1)
	if r.IntN(10) == 0 {
		again = time.Duration(r.IntN(3000)) * time.Millisecond
	}
	informed := time.Duration(-1)
	var at []time.Time
	for passed := time.Duration(r.IntN(50)) * time.Millisecond; passed < 3*time.Second; passed += 50 * time.Millisecond {
		now := start.Add(passed)
		if again >= 0 && passed >= again {
			again = -1
			s = coldHost(name, 0, all, map[ident.Target]time.Duration{all[0].ID: 3*time.Second - passed}, now)
			informed = passed + 300*time.Millisecond
		}
		if informed >= 0 && passed >= informed {
			s = s.WithHostCount(hosts)
		}
		id := ident.Request(fmt.Sprintf("%s-%d", name, passed))
		req := request(string(id), "/resumable/x")
		req.Prompt = prompt(subjectFor(all[0].ID, all))
		var d requests.Decision
		s, d = arrive(t, s, req, now)
		sent, ok := d.(requests.Dispatch)
		require.True(t, ok, "the other workers are warm")
		if sent.Worker.ID == all[0].ID {
			at = append(at, now)
		}
		s, _ = requests.Reduce(s, requests.AttemptEnded{
			Request: id, Attempt: sent.Attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true,
		}, now)
	}
	return at
}

// preferred caches the results of subjectFor.
var preferred = map[ident.Target]string{}

// subjectFor returns a subject whose first engine is the one given.
func subjectFor(id ident.Target, all []registry.Worker) string {
	if subject, ok := preferred[id]; ok {
		return subject
	}
	s := readyWith(requests.Settings{Zone: "z"}, 0)
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: all}, start)
	for i := 0; ; i++ {
		req := request("r", "/resumable/x")
		req.Prompt = prompt(fmt.Sprint("subject", i))
		if _, d := requests.Reduce(s, requests.Arrived{Request: req}, start); d[0].(requests.Dispatch).Worker.ID == id {
			preferred[id] = fmt.Sprint("subject", i)
			return preferred[id]
		}
	}
}

// TestColdLimitFollowsReportAndPool guards against limiting workers that are warm, or whose pool
// has no limit for cold workers.
func TestColdLimitFollowsReportAndPool(t *testing.T) {
	all := workers("plain", 1)
	sent := func(cold time.Duration, perSecond float64, after time.Duration) int {
		s := coldHost("host-1", 3, all, map[ident.Target]time.Duration{all[0].ID: cold}, start)
		g := table()
		g.Number = 3
		g.Pools = []config.Pool{{ID: "plain", ColdPerSecond: perSecond}, {ID: "engines"}}
		s = confirmedAt(s.WithRouteTable(g), start.Add(after))
		n := 0
		for i := range 20 {
			_, d := requests.Reduce(s, requests.Arrived{Request: request(fmt.Sprint("r", i), "/safe/x")}, start.Add(after))
			if _, ok := d[0].(requests.Dispatch); ok {
				n++
			}
			s, _ = requests.Reduce(s, requests.Arrived{Request: request(fmt.Sprint("r", i), "/safe/x")}, start.Add(after))
		}
		return n
	}
	require.Equal(t, 20, sent(0, coldPerSecond, 0))
	require.Equal(t, 1, sent(time.Second, coldPerSecond, 0))
	require.Equal(t, 20, sent(time.Second, coldPerSecond, time.Second))
	require.Equal(t, 20, sent(time.Second, 0, 0))
}

// TestColdFleetServesItsSustainedRate guards against overload, and against refusing too much,
// when all engines of a large fleet are cold.
func TestColdFleetServesItsSustainedRate(t *testing.T) {
	const hosts, engines, perSecond = 72, 90, 435
	all := workers("engines", engines)
	cold := map[ident.Target]time.Duration{}
	for _, w := range all {
		cold[w.ID] = 10 * time.Second
	}
	states := make([]requests.State, hosts)
	for h := range states {
		states[h] = coldHost(fmt.Sprint("host-", h), hosts, all, cold, start)
	}
	r := rand.New(rand.NewPCG(1, 2))
	at := map[ident.Target][]time.Time{}
	served := 0
	for i := range 3 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		h := r.IntN(hosts)
		req := request(fmt.Sprint("r", i), "/resumable/x")
		req.Prompt = prompt(fmt.Sprint("subject", r.IntN(300)))
		var d requests.Decision
		states[h], d = arrive(t, states[h], req, now)
		switch d := d.(type) {
		case requests.Dispatch:
			served++
			at[d.Worker.ID] = append(at[d.Worker.ID], now)
		case requests.Finish:
			require.Equal(t, outcome.NotRun, d.Verdict.Outcome)
			require.Equal(t, requests.CodeOverloaded, d.Verdict.Code)
			require.Positive(t, d.Verdict.RetryAfter)
		}
	}
	for id, times := range at {
		require.LessOrEqual(t, float64(mostInASecond(times)), maxColdPerSecond, id)
	}
	require.Greater(t, served, 3*perSecond/2)
}
