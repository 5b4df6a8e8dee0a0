// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// TestBoundHoldsHoweverOldLoadsAre guards against hosts that take others' requests for none once reports are old, and
// fill the first engine of a popular prefix together: hosts that know loads as of some time ago, or none at all,
// send as many requests as engines bear, without any further report.
func TestBoundHoldsHoweverOldLoadsAre(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{7, 61, 300} {
		for _, age := range []time.Duration{3 * time.Second, 20 * time.Second, 0} {
			for _, popular := range []int{0, 10, 30} {
				t.Run(fmt.Sprintf("%d hosts/%s/%d in 100", hosts, age, popular), func(t *testing.T) {
					testBoundWithOldLoads(t, hosts, age, popular)
				})
			}
		}
	}
}

func testBoundWithOldLoads(t *testing.T, hostCount int, age time.Duration, popular int) {
	const engines, perEngine = 60, 20
	const total = engines * perEngine
	hosts := olderHosts(hostCount, engines, perEngine, age)
	jobs, over := map[ident.Target]int{}, 0
	for i := range total {
		r := request(fmt.Sprint("r", i), "/resumable/x")
		r.Prompt, r.Deadline = prompt(fmt.Sprint("prefix ", i%199)), start.Add(time.Hour)
		if i*37%100 < popular {
			r.Prompt = prompt("popular")
		}
		at := i * 13 % hostCount
		next, decisions := requests.Reduce(hosts[at], requests.Arrived{Request: r}, start.Add(time.Minute))
		hosts[at] = next
		d, ok := decisions[0].(requests.Dispatch)
		require.True(t, ok, "%#v", decisions[0])
		if float64(jobs[d.Worker.ID]) > requests.DefaultLoadFactor*perEngine+promisedSlack {
			over++
		}
		jobs[d.Worker.ID]++
	}
	require.LessOrEqual(t, float64(over), 0.03*total)
}

// TestRequestsAboveTheBoundAreCounted guards against counters that miss requests at engines above the bound, or at
// engines whose load is too old to be relied on.
func TestRequestsAboveTheBoundAreCounted(t *testing.T) {
	all := workers("engines", 3)
	for name, c := range map[string]struct {
		loads []int
		age   time.Duration
		above uint64
		aged  uint64
	}{
		"room":                            {loads: []int{5, 5, 5}},
		"aged":                            {loads: []int{5, 5, 5}, age: 3 * time.Second, aged: 1},
		"only one left":                   {loads: []int{8, 0, 0}, above: 1},
		"only one left, within the bound": {loads: []int{7, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			counts := loads.Counts{}
			for i, n := range c.loads {
				counts[loads.TagOf(all[i].ID)] = n
			}
			s := requests.New(requests.Settings{Zone: "z"}).WithRouteTable(table()).WithHostCount(2)
			registered := all
			if c.loads[1] == 0 {
				registered = withOnlyFirstReady(all)
			}
			s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: registered}, start)
			s, _ = requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(start)}, start)
			s, _ = requests.Reduce(s, requests.LoadsReported{Loads: loads.Pack(counts), AsOf: start.Add(-c.age)}, start)
			r := request("r", "/resumable/x")
			r.Prompt = prompt("one")
			s, d := arrive(t, s, r, start)
			require.IsType(t, requests.Dispatch{}, d)
			require.Equal(t, c.above, s.Counters().AboveBound)
			require.Equal(t, c.aged, s.Counters().LoadsAged)
		})
	}
}

// withOnlyFirstReady returns the workers, of which all but the first one are leaving.
func withOnlyFirstReady(all []registry.Worker) []registry.Worker {
	out := slices.Clone(all)
	for i := range out[1:] {
		out[i+1].State = registry.Draining
	}
	return out
}

// olderHosts returns hosts that know loads of each engine as of an age; none at age 0.
func olderHosts(hosts, engines, load int, age time.Duration) []requests.State {
	now := start.Add(time.Minute)
	all := workers("engines", engines)
	counts := loads.Counts{}
	for i := range all {
		all[i].Slots = engineSlots
		counts[loads.TagOf(all[i].ID)] = load
	}
	out := make([]requests.State, 0, hosts)
	for i := range hosts {
		s := requests.New(requests.Settings{Host: ident.Host(fmt.Sprint("h", i)), Zone: "z0"}).WithRouteTable(table()).WithHostCount(hosts)
		s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: all}, now)
		if age > 0 {
			s, _ = requests.Reduce(s, requests.LoadsReported{Loads: loads.Pack(counts), AsOf: now.Add(-age)}, now.Add(-age))
		}
		s, _ = requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(now)}, now)
		out = append(out, s)
	}
	return out
}
