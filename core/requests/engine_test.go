// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// threeZones returns a host of zone z0 with workers in three zones.
func threeZones(each int) requests.State {
	var all []registry.Worker
	for _, pool := range []ident.Service{"plain", "engines"} {
		for i, w := range workers(pool, 3*each) {
			w.Zone = ident.Zone(fmt.Sprint("z", i%3))
			all = append(all, w)
		}
	}
	s := requests.New(requests.Settings{Zone: "z0"}).WithRouteTable(table()).WithHostCount(1)
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: all}, start)
	s, _ = requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(start)}, start)
	return s
}

// countByZone sends requests that all stay in progress, and counts them by zone.
func countByZone(t *testing.T, s requests.State, path string, p requests.Prompt, n int) map[ident.Zone]int {
	t.Helper()
	out := map[ident.Zone]int{}
	for i := range n {
		r := request(fmt.Sprint(path, i), path)
		r.Prompt = p
		if len(p.Parts) > 0 {
			r.Prompt.Parts = []requests.Part{{ID: fmt.Sprint("shared-", i), Tokens: p.Parts[0].Tokens}, p.Parts[1]}
		}
		var d requests.Decision
		s, d = arrive(t, s, r, start)
		out[d.(requests.Dispatch).Worker.Zone]++
	}
	return out
}

// TestAtMostOnceRequestsPreferTheirZone guards against sending requests that must run at most
// once to other zones without need, and against reading long prefixes in every zone.
func TestAtMostOnceRequestsPreferTheirZone(t *testing.T) {
	short := requests.Prompt{Model: "m", TokensIn: 830, TokensOut: 300, Parts: []requests.Part{{Tokens: 700}, {ID: "own", Tokens: 130}}}
	long := requests.Prompt{Model: "m", TokensIn: 12000, TokensOut: 300, Parts: []requests.Part{{Tokens: 11000}, {ID: "own", Tokens: 1000}}}
	require.Len(t, countByZone(t, threeZones(4), "/once/x", short, 8), 1)
	require.Len(t, countByZone(t, threeZones(4), "/resumable/x", short, 60), 3)
	require.Len(t, countByZone(t, threeZones(4), "/once/x", long, 60), 3)
	// Beyond the bound on an engine's load the other zones help.
	require.Len(t, countByZone(t, threeZones(1), "/once/x", short, 60), 3)
	// Plain workers: the own zone gets more requests, but not all.
	zones := countByZone(t, threeZones(1), "/unsafe/x", requests.Prompt{}, 20)
	require.Len(t, zones, 3)
	require.Greater(t, zones["z0"], zones["z1"])
}

// TestPromptsKeepTheirEngineWithinTheBound guards against loads beyond the bound, and against
// losing the cached prefix, when requests with one prefix surge.
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

func TestAllHostsChooseTheSameEngineForAPrefix(t *testing.T) {
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
