// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

var (
	begin = time.Unix(1_000_000, 0)
	id    = routing.GroupID{Service: "text", Zone: "z"}
)

func engines(n, slots int, models ...ident.Model) []routing.TargetSpec {
	out := make([]routing.TargetSpec, 0, n)
	for i := range n {
		out = append(out, routing.TargetSpec{ID: ident.Target(fmt.Sprintf("e%02d", i)), Slots: slots, Models: models, Usable: true})
	}
	return out
}

func req(place, account string, rank int) routing.PermitRequest {
	return routing.PermitRequest{
		Permit: ident.PermitID(place), Router: "h", Account: ident.Account(account), Rank: rank, Model: "m",
		Key: hash.Of(place), Deadline: begin.Add(time.Hour), QueueLimit: 8,
	}
}

// TestGroupUnderArbitraryEvents draws asks, releases, losses of engines and
// routers, reports and adoptions. No placement may go over the bound or the
// slots, the counts must equal the permits, and no ask is forgotten.
func TestGroupUnderArbitraryEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := begin
		n := rapid.IntRange(1, 6).Draw(t, "engines")
		specs := engines(n, 4, "m")
		b := routing.LoadBound{LoadFactor: 1.5}
		g := routing.NewGroup(id, now).WithTargets(specs, now)
		open := map[ident.PermitID]bool{}
		granted := map[ident.PermitID]ident.Target{}
		take := func(gr routing.Grant) {
			require.True(t, open[gr.Request.Permit], "granted twice or never asked")
			delete(open, gr.Request.Permit)
			granted[gr.Request.Permit] = gr.Target
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "act") {
			case 0, 1, 2:
				a := req(fmt.Sprint("r", i), fmt.Sprint("a", i%3), i%3)
				a.Key = hash.Of(fmt.Sprint(i % 7))
				var answer routing.Answer
				g, answer = g.RequestPermit(a, b, now)
				var shed []routing.PermitRequest
				g, shed = g.TakeShed()
				for _, s := range shed {
					require.True(t, open[s.Permit])
					delete(open, s.Permit)
				}
				switch answer := answer.(type) {
				case routing.Granted:
					open[a.Permit] = true
					take(routing.Grant{Request: a, Target: answer.Target})
					checkPlacement(t, g, answer.Target, b)
				case routing.Queued:
					open[a.Permit] = true
				}
			case 3, 4:
				for p := range granted {
					var grants []routing.Grant
					g, grants = g.Release(p, b, now)
					delete(granted, p)
					for _, gr := range grants {
						take(gr)
					}
					break
				}
			case 5:
				specs[i%n].Usable = !specs[i%n].Usable
				g = g.WithTargets(specs, now)
				var grants []routing.Grant
				g, grants = g.ServeQueue(b, now)
				for _, gr := range grants {
					take(gr)
				}
			case 6:
				g = g.WithReport(specs[i%n].ID, rapid.IntRange(0, 6).Draw(t, "reported"), now)
			}
			mine := 0
			for _, e := range g.Targets() {
				require.GreaterOrEqual(t, e.Mine, 0)
				mine += e.Mine
			}
			require.Equal(t, len(granted), mine)
			require.Equal(t, len(granted), g.PermitCount())
			require.Equal(t, len(open), g.QueueLength())
		}
		g = g.DropRouter("h", 7, now)
		require.Zero(t, g.PermitCount()+g.QueueLength())
	})
}

func checkPlacement(t *rapid.T, g routing.Group, target ident.Target, b routing.LoadBound) {
	for _, e := range g.Targets() {
		if e.ID != target {
			continue
		}
		mean := float64(g.TotalLoad()) / float64(g.UsableTargets())
		require.LessOrEqual(t, e.Load(), max(1, int(math.Ceil(mean*b.LoadFactor))))
		require.LessOrEqual(t, e.Load(), e.Slots)
	}
}

func TestUrgentAsksDoNotWaitBehindOthers(t *testing.T) {
	b := routing.LoadBound{LoadFactor: 2}
	g := routing.NewGroup(id, begin).WithTargets(engines(1, 10, "m"), begin)
	for i := range 12 {
		g, _ = g.RequestPermit(req(fmt.Sprint("bulk", i), "surging", 2), b, begin)
	}
	require.Equal(t, 3, g.QueueLength(), "a tenth of the slots is kept for rank 0")
	_, answer := g.RequestPermit(req("stop", "floor", 0), b, begin)
	require.IsType(t, routing.Granted{}, answer)
	g, _ = g.RequestPermit(req("normal", "quiet", 1), b, begin)
	_, grants := g.Release("bulk0", b, begin)
	require.Equal(t, ident.PermitID("normal"), grants[0].Request.Permit, "a better class goes first")
}

func TestSurgeIsHeldToItsShareAndShedsItself(t *testing.T) {
	b := routing.LoadBound{LoadFactor: 2}
	g := routing.NewGroup(id, begin).WithTargets(engines(1, 20, "m"), begin)
	for i := range 26 {
		g, _ = g.RequestPermit(req(fmt.Sprint("s", i), "surging", 1), b, begin)
	}
	g, answer := g.RequestPermit(req("q0", "quiet", 1), b, begin)
	require.IsType(t, routing.Queued{}, answer, "a full line makes room for an account that has less in it")
	g, shed := g.TakeShed()
	require.Len(t, shed, 1)
	require.Equal(t, ident.Account("surging"), shed[0].Account)
	_, answer = g.RequestPermit(req("s99", "surging", 1), b, begin)
	require.IsType(t, routing.Refused{}, answer, "the surge itself is told at once")
	_, grants := g.Release("s0", b, begin)
	require.Equal(t, ident.PermitID("q0"), grants[0].Request.Permit)
}

// TestDoubledAskCountsOnce delivers a request twice, granted and queued: the
// engine's load and the queue count it once, and the answer is the same.
func TestDoubledAskCountsOnce(t *testing.T) {
	var b routing.LoadBound
	g := routing.NewGroup(id, begin).WithTargets(engines(1, 1, "m"), begin)
	g, first := g.RequestPermit(req("a", "x", 1), b, begin)
	g, again := g.RequestPermit(req("a", "x", 1), b, begin)
	require.Equal(t, first.(routing.Granted).Target, again.(routing.Granted).Target)
	require.Equal(t, 1, g.Targets()[0].Mine)
	g, _ = g.RequestPermit(req("b", "x", 1), b, begin)
	g, _ = g.RequestPermit(req("b", "x", 1), b, begin)
	require.Equal(t, 1, g.QueueLength())
	g, _ = g.Release("a", b, begin)
	g, _ = g.Release("b", b, begin)
	require.Zero(t, g.Targets()[0].Mine+g.PermitCount()+g.QueueLength())
}

func TestFullModelDoesNotHoldUpAnother(t *testing.T) {
	specs := append(engines(1, 2, "m"), routing.TargetSpec{ID: "x", Slots: 2, Models: []ident.Model{"other"}, Usable: true})
	g := routing.NewGroup(id, begin).WithTargets(specs, begin)
	var b routing.LoadBound
	for i := range 4 {
		g, _ = g.RequestPermit(req(fmt.Sprint("m", i), "a", 1), b, begin)
	}
	other := req("other", "a", 1)
	other.Model = "other"
	_, answer := g.RequestPermit(other, b, begin)
	require.IsType(t, routing.Granted{}, answer)
}

func TestDirectoryIsBoundedAndKeepsWhatIsUsed(t *testing.T) {
	d := routing.Directory{MaxChats: 100}
	for i := range 1000 {
		d = d.With(hash.Of(fmt.Sprint(i)), routing.ChatLocation{Target: "e"})
		if p, ok := d.Get(hash.Of("0")); ok {
			d = d.With(hash.Of("0"), p)
		}
		require.LessOrEqual(t, d.Len(), 100)
	}
	_, ok := d.Get(hash.Of("0"))
	require.True(t, ok, "a chat that returns is kept")
	_, ok = d.Get(hash.Of("980"))
	require.True(t, ok)
	_, ok = d.Get(hash.Of("5"))
	require.False(t, ok)
}
