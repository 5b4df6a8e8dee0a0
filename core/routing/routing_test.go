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
	start = time.Unix(1_000_000, 0)
	id    = routing.GroupID{Service: "text", Zone: "z"}
)

func targets(n, slots int, models ...ident.Model) []routing.TargetSpec {
	out := make([]routing.TargetSpec, 0, n)
	for i := range n {
		out = append(out, routing.TargetSpec{ID: ident.Target(fmt.Sprintf("e%02d", i)), Slots: slots, Models: models, Usable: true})
	}
	return out
}

func req(permit, account string, rank int) routing.PermitRequest {
	return routing.PermitRequest{
		Permit: ident.PermitID(permit), Router: "h", Account: ident.Account(account), Rank: rank, Model: "m",
		Key: hash.Of(permit), Deadline: start.Add(time.Hour), QueueLimit: 8,
	}
}

// TestGroupUnderArbitraryEvents draws requests, releases, target failures and load reports. It
// guards against placements above the bound or the slots, wrong counts and lost requests.
func TestGroupUnderArbitraryEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		n := rapid.IntRange(1, 6).Draw(t, "targets")
		specs := targets(n, 4, "m")
		b := routing.LoadBound{LoadFactor: 1.5}
		g := routing.NewGroup(id, now).WithTargets(specs, now)
		outstanding := map[ident.PermitID]bool{}
		granted := map[ident.PermitID]ident.Target{}
		recordGrant := func(gr routing.Grant) {
			require.True(t, outstanding[gr.Request.Permit], "granted twice or never requested")
			delete(outstanding, gr.Request.Permit)
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
					require.True(t, outstanding[s.Permit])
					delete(outstanding, s.Permit)
				}
				switch answer := answer.(type) {
				case routing.Granted:
					outstanding[a.Permit] = true
					recordGrant(routing.Grant{Request: a, Target: answer.Target})
					checkPlacement(t, g, answer.Target, b)
				case routing.Queued:
					outstanding[a.Permit] = true
				}
			case 3, 4:
				for p := range granted {
					var grants []routing.Grant
					g, grants = g.Release(p, b, now)
					delete(granted, p)
					for _, gr := range grants {
						recordGrant(gr)
					}
					break
				}
			case 5:
				specs[i%n].Usable = !specs[i%n].Usable
				g = g.WithTargets(specs, now)
				var grants []routing.Grant
				g, grants = g.ServeQueue(b, now)
				for _, gr := range grants {
					recordGrant(gr)
				}
			case 6:
				g = g.WithReport(specs[i%n].ID, rapid.IntRange(0, 6).Draw(t, "reported"), now)
			}
			permits := 0
			for _, e := range g.Targets() {
				require.GreaterOrEqual(t, e.Mine, 0)
				permits += e.Mine
			}
			require.Equal(t, len(granted), permits)
			require.Equal(t, len(granted), g.PermitCount())
			require.Equal(t, len(outstanding), g.QueueLength())
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

func TestUrgentRequestsDoNotWaitBehindOthers(t *testing.T) {
	b := routing.LoadBound{LoadFactor: 2}
	g := routing.NewGroup(id, start).WithTargets(targets(1, 10, "m"), start)
	for i := range 12 {
		g, _ = g.RequestPermit(req(fmt.Sprint("bulk", i), "surging", 2), b, start)
	}
	require.Equal(t, 3, g.QueueLength(), "a tenth of the slots is kept for rank 0")
	_, answer := g.RequestPermit(req("stop", "floor", 0), b, start)
	require.IsType(t, routing.Granted{}, answer)
	g, _ = g.RequestPermit(req("normal", "quiet", 1), b, start)
	_, grants := g.Release("bulk0", b, start)
	require.Equal(t, ident.PermitID("normal"), grants[0].Request.Permit, "a higher priority is served first")
}

func TestSurgingAccountShedsItsOwnRequests(t *testing.T) {
	b := routing.LoadBound{LoadFactor: 2}
	g := routing.NewGroup(id, start).WithTargets(targets(1, 20, "m"), start)
	for i := range 26 {
		g, _ = g.RequestPermit(req(fmt.Sprint("s", i), "surging", 1), b, start)
	}
	g, answer := g.RequestPermit(req("q0", "quiet", 1), b, start)
	require.IsType(t, routing.Queued{}, answer, "a full queue makes room for an account with fewer queued requests")
	g, shed := g.TakeShed()
	require.Len(t, shed, 1)
	require.Equal(t, ident.Account("surging"), shed[0].Account)
	_, answer = g.RequestPermit(req("s99", "surging", 1), b, start)
	require.IsType(t, routing.Refused{}, answer, "the surging account is refused at once")
	_, grants := g.Release("s0", b, start)
	require.Equal(t, ident.PermitID("q0"), grants[0].Request.Permit)
}

// TestDuplicateRequestCountsOnce guards against counting a repeated request twice, whether
// granted or queued, or answering it differently.
func TestDuplicateRequestCountsOnce(t *testing.T) {
	var b routing.LoadBound
	g := routing.NewGroup(id, start).WithTargets(targets(1, 1, "m"), start)
	g, first := g.RequestPermit(req("a", "x", 1), b, start)
	g, repeated := g.RequestPermit(req("a", "x", 1), b, start)
	require.Equal(t, first.(routing.Granted).Target, repeated.(routing.Granted).Target)
	require.Equal(t, 1, g.Targets()[0].Mine)
	g, _ = g.RequestPermit(req("b", "x", 1), b, start)
	g, _ = g.RequestPermit(req("b", "x", 1), b, start)
	require.Equal(t, 1, g.QueueLength())
	g, _ = g.Release("a", b, start)
	g, _ = g.Release("b", b, start)
	require.Zero(t, g.Targets()[0].Mine+g.PermitCount()+g.QueueLength())
}

func TestFullModelDoesNotBlockOthers(t *testing.T) {
	specs := append(targets(1, 2, "m"), routing.TargetSpec{ID: "x", Slots: 2, Models: []ident.Model{"other"}, Usable: true})
	g := routing.NewGroup(id, start).WithTargets(specs, start)
	var b routing.LoadBound
	for i := range 4 {
		g, _ = g.RequestPermit(req(fmt.Sprint("m", i), "a", 1), b, start)
	}
	other := req("other", "a", 1)
	other.Model = "other"
	_, answer := g.RequestPermit(other, b, start)
	require.IsType(t, routing.Granted{}, answer)
}

func TestDirectoryIsBoundedAndKeepsUsedChats(t *testing.T) {
	d := routing.Directory{MaxChats: 100}
	for i := range 1000 {
		d = d.With(hash.Of(fmt.Sprint(i)), routing.ChatLocation{Target: "e"})
		if p, ok := d.Get(hash.Of("0")); ok {
			d = d.With(hash.Of("0"), p)
		}
		require.LessOrEqual(t, d.Len(), 100)
	}
	_, ok := d.Get(hash.Of("0"))
	require.True(t, ok, "a returning chat is kept")
	_, ok = d.Get(hash.Of("980"))
	require.True(t, ok)
	_, ok = d.Get(hash.Of("5"))
	require.False(t, ok)
}
