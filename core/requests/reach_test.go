// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// zonedGateway is the gateway of a host in zone z, with workers of three zones.
type zonedGateway struct {
	t     *testing.T
	state requests.State
	now   time.Time
	zones map[ident.Target]ident.Zone
	next  int
	// kept is set where requests go over connections kept from before the cut.
	kept   bool
	probes []registry.Worker
}

func newZoned(t *testing.T, each int) *zonedGateway {
	g := &zonedGateway{t: t, state: ready(0), now: start, zones: map[ident.Target]ident.Zone{}}
	all := make([]registry.Worker, 0, 3*each)
	for _, zone := range []ident.Zone{"z", "y", "x"} {
		for i := range each {
			w := registry.Worker{
				ID: ident.Target(fmt.Sprintf("%s-%d", zone, i)), Pool: "engines", Zone: zone,
				Address: fmt.Sprintf("10.0.%c.%d:80", zone[0], i), Slots: 64, Seq: 1,
			}
			all = append(all, w)
			g.zones[w.ID] = zone
		}
	}
	g.state, _ = requests.Reduce(g.state, requests.Registered{From: "r", Workers: all}, g.now)
	return g
}

// feed reduces an event and returns what becomes of its request.
func (g *zonedGateway) feed(ev requests.Event) requests.Decision {
	var decisions []requests.Decision
	g.state, decisions = requests.Reduce(g.state, ev, g.now)
	var out requests.Decision
	for _, d := range decisions {
		switch d := d.(type) {
		case requests.Reconnect:
			g.probes = append(g.probes, d.Worker)
		case requests.Dispatch, requests.Finish:
			out = d
		}
	}
	return out
}

// ask has a request arrive, each with a prompt of its own.
func (g *zonedGateway) ask() requests.Dispatch {
	g.next++
	g.feed(requests.Confirmed{AsOf: g.now})
	r := request(fmt.Sprintf("r%d", g.next), "/resumable/x")
	r.Prompt = prompt(fmt.Sprint("subject-", g.next))
	d, ok := g.feed(requests.Arrived{Request: r}).(requests.Dispatch)
	require.True(g.t, ok)
	return d
}

// play asks until a request ends well: tries in zones that are cut off end without
// an answer. It returns how many tries that took.
func (g *zonedGateway) play(cut ...ident.Zone) int {
	d, tries := g.ask(), 1
	for {
		var result outcome.Attempt = outcome.Answered{Status: 200}
		for _, zone := range cut {
			if g.zones[d.Worker.ID] == zone {
				result = g.silence()
			}
		}
		next := g.feed(requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: result, Wanted: true})
		again, ok := next.(requests.Dispatch)
		if !ok {
			return tries
		}
		d, tries = again, tries+1
	}
}

// silence is how a try ends in a zone that is cut off.
func (g *zonedGateway) silence() outcome.Attempt {
	if g.kept {
		return outcome.Broken{Reason: "i/o timeout", Silent: true}
	}
	return outcome.NeverSent{Reason: "i/o timeout", Silent: true}
}

// TestZoneThatIsCutOffIsLeftAtOnce cuts a zone of thirty workers off: a few requests
// find out, not one for each worker; when it is back, all its workers are used again.
func TestZoneThatIsCutOffIsLeftAtOnce(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(fmt.Sprint("kept connections ", kept), func(t *testing.T) { cutOneZone(t, kept) })
	}
}

func cutOneZone(t *testing.T, kept bool) {
	g := newZoned(t, 30)
	g.kept = kept
	misses := 0
	for range 200 {
		misses += g.play("y") - 1
		g.now = g.now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, misses, 5)
	require.NotEmpty(t, g.probes)
	for _, w := range g.probes {
		require.EqualValues(t, "y", w.Zone)
		g.feed(requests.Reached{Worker: w.ID})
	}
	require.LessOrEqual(t, len(g.probes), 5, "connections without a request are few")
	g.feed(requests.Reached{Worker: g.probes[0].ID, OK: true})
	used := map[ident.Zone]int{}
	for range 90 {
		d := g.ask()
		used[g.zones[d.Worker.ID]]++
	}
	require.Greater(t, used["y"], 15)
}

// TestHostThatIsCutOffKeepsToItsZone cuts all other zones off.
func TestHostThatIsCutOffKeepsToItsZone(t *testing.T) {
	g := newZoned(t, 30)
	misses := 0
	for range 200 {
		misses += g.play("y", "x") - 1
		g.now = g.now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, misses, 8)
	d := g.ask()
	require.EqualValues(t, "z", g.zones[d.Worker.ID])
}

// TestDarkWorkersDoNotCloseTheirZone has a few workers of a zone go dark: the others
// are used on.
func TestDarkWorkersDoNotCloseTheirZone(t *testing.T) {
	g := newZoned(t, 30)
	dark := map[ident.Target]bool{"y-1": true, "y-2": true, "y-3": true, "y-4": true}
	others := 0
	for range 400 {
		d := g.ask()
		var result outcome.Attempt = outcome.Answered{Status: 200}
		if dark[d.Worker.ID] {
			result = outcome.NeverSent{Reason: "i/o timeout", Silent: true}
		} else if g.zones[d.Worker.ID] == "y" {
			others++
		}
		g.feed(requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: result, Wanted: false})
		g.now = g.now.Add(10 * time.Millisecond)
		for _, w := range g.probes {
			g.feed(requests.Reached{Worker: w.ID, OK: !dark[w.ID]})
		}
		g.probes = nil
	}
	require.Greater(t, others, 60)
}

// TestRefusedConnectionsCloseNoZone has workers refuse connections: something of
// their zone answers.
func TestRefusedConnectionsCloseNoZone(t *testing.T) {
	g := newZoned(t, 4)
	for range 40 {
		d := g.ask()
		g.feed(requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: outcome.NeverSent{Reason: "refused"}, Wanted: false})
		g.now = g.now.Add(10 * time.Millisecond)
	}
	g.now = g.now.Add(time.Minute)
	seen := map[ident.Zone]bool{}
	for range 40 {
		d := g.ask()
		seen[g.zones[d.Worker.ID]] = true
	}
	require.Len(t, seen, 3)
}
