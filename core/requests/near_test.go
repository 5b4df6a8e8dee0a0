// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// threeZones returns a gateway of zone z0 with workers in three zones.
func threeZones(each int) requests.State {
	var all []registry.Worker
	for _, pool := range []ident.Service{"plain", "engines"} {
		for i, w := range workers(pool, 3*each) {
			w.Zone = ident.Zone(fmt.Sprint("z", i%3))
			all = append(all, w)
		}
	}
	s := requests.New(requests.Settings{Zone: "z0"}).WithConfig(table()).WithHosts(1)
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: all}, start)
	s, _ = requests.Reduce(s, requests.Confirmed{AsOf: start}, start)
	return s
}

// zonesOf sends requests, which all stay in progress, and counts where they went.
func zonesOf(t *testing.T, s requests.State, path string, p requests.Prompt, n int) map[ident.Zone]int {
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

// TestWhatMustNotRunTwiceStaysInItsZone compares where requests go that may and that
// must not run again, with prompts whose shared parts are short and long.
func TestWhatMustNotRunTwiceStaysInItsZone(t *testing.T) {
	short := requests.Prompt{Model: "m", TokensIn: 830, TokensOut: 300, Parts: []requests.Part{{Tokens: 700}, {ID: "own", Tokens: 130}}}
	long := requests.Prompt{Model: "m", TokensIn: 12000, TokensOut: 300, Parts: []requests.Part{{Tokens: 11000}, {ID: "own", Tokens: 1000}}}
	require.Len(t, zonesOf(t, threeZones(4), "/once/x", short, 8), 1)
	require.Len(t, zonesOf(t, threeZones(4), "/resumable/x", short, 60), 3)
	require.Len(t, zonesOf(t, threeZones(4), "/once/x", long, 60), 3)
	// Beyond the bound on an engine's load the other zones help.
	require.Len(t, zonesOf(t, threeZones(1), "/once/x", short, 60), 3)
	// Plain workers: the own one takes more, and not all.
	zones := zonesOf(t, threeZones(1), "/unsafe/x", requests.Prompt{}, 20)
	require.Len(t, zones, 3)
	require.Greater(t, zones["z0"], zones["z1"])
}

// shared is a prompt whose first part many requests share.
func shared(subject string) requests.Prompt {
	return requests.Prompt{Model: "m", TokensIn: 1100, TokensOut: 50, Parts: []requests.Part{{ID: subject, Tokens: 1000}, {ID: "own", Tokens: 100}}}
}

// TestRetryTakesThePrefixFromTheEngineThatFailed has the engine that ranks first answer
// with a failure, decline, or break off: where it answered, the next one is told that
// it keeps the prefix.
func TestRetryTakesThePrefixFromTheEngineThatFailed(t *testing.T) {
	for name, result := range map[string]outcome.Attempt{
		"failed": outcome.Answered{Status: 500}, "declined": outcome.Declined{}, "broke off": outcome.Broken{},
	} {
		r := request("1", "/resumable/x")
		r.Prompt = shared("subject")
		s, d := arrive(t, ready(6), r, start)
		first := d.(requests.Dispatch)
		_, decisions := requests.Reduce(s, requests.AttemptEnded{Request: "1", Attempt: 1, Result: result, Wanted: true}, start)
		again := only(t, decisions).(requests.Dispatch)
		require.NotEqual(t, first.Worker.ID, again.Worker.ID)
		require.Equal(t, name != "broke off", again.CacheFrom == first.Worker.Address, name)
		require.NotEmpty(t, again.CacheFrom)
	}
}

// TestPrefixesAreTakenFromEnginesThatLeave has the engine that keeps a prefix begin to
// leave: the next one takes its requests, and is told where the prefix is.
func TestPrefixesAreTakenFromEnginesThatLeave(t *testing.T) {
	r := request("1", "/resumable/x")
	r.Prompt = shared("subject")
	s, d := arrive(t, ready(6), r, start)
	keeper := d.(requests.Dispatch).Worker
	leaving := keeper
	leaving.State, leaving.Seq = registry.Draining, keeper.Seq+1
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{leaving}}, start)
	r.ID = "2"
	s, d = arrive(t, s, r, start)
	require.NotEqual(t, keeper.ID, d.(requests.Dispatch).Worker.ID)
	require.Equal(t, keeper.Address, d.(requests.Dispatch).CacheFrom)
	leaving.State, leaving.Seq = registry.Gone, keeper.Seq+2
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{leaving}}, start)
	r.ID = "3"
	_, d = arrive(t, s, r, start)
	require.NotEqual(t, keeper.Address, d.(requests.Dispatch).CacheFrom)
}
