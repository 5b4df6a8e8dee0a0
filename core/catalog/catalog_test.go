// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/plan"
)

var start = time.Unix(1_000_000, 0).UTC()

func edit(ch config.Change) catalog.Write {
	return catalog.Write{At: start, Command: catalog.Edit{Change: ch}}
}

// apply applies writes through their encoding, as a replica does.
func apply(t require.TestingT, c catalog.Catalog, w catalog.Write) (catalog.Catalog, catalog.Result) {
	decoded, err := catalog.DecodeWrite(w.Encode())
	require.NoError(t, err)
	return c.Apply(decoded)
}

func base(t require.TestingT, engines int) catalog.Catalog {
	var c catalog.Catalog
	changes := make([]config.Change, 0, engines+3)
	changes = append(changes,
		config.PutService{Service: config.Service{ID: "text", Kind: config.KindEngine, Multiple: 1.5}},
		config.PutModel{Model: config.Model{ID: "m1", Service: "text", WeightBytes: 10}},
		config.PutModel{Model: config.Model{ID: "m2", Service: "text", WeightBytes: 20}},
	)
	for i := range engines {
		changes = append(changes, config.PutTarget{Target: config.Target{
			ID: ident.Target(fmt.Sprintf("e%02d", i)), Service: "text", Zone: ident.Zone(fmt.Sprintf("z%d", i%3)),
			Address: "127.0.0.1:1", Slots: 4, MaxModels: 2, Models: []ident.Model{"m1"},
		}})
	}
	for _, ch := range changes {
		var r catalog.Result
		c, r = apply(t, c, edit(ch))
		require.Equal(t, catalog.OK, r.Code, r.Reason)
	}
	return c
}

// TestClaimRunsAtMostOnce draws claims, ends and time for a few keys, and
// checks that a key is never granted to a second request while the first may
// have run, that a forgotten key is refused, and that snapshots change nothing.
func TestClaimRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c catalog.Catalog
		now := start
		mayHaveRun := map[string]ident.Request{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
			k := rapid.IntRange(0, 4).Draw(t, "key")
			key := catalog.ClaimKey{Account: "a", Key: fmt.Sprint(k)}
			request := ident.Request(fmt.Sprintf("r%d", i))
			if rapid.IntRange(0, 2).Draw(t, "act") == 0 {
				holder := mayHaveRun[key.Key]
				ended := rapid.SampledFrom([]outcome.Kind{outcome.Ran, outcome.NotRun, outcome.Unknown}).Draw(t, "outcome")
				var r catalog.Result
				c, r = apply(t, c, catalog.Write{At: now, Command: catalog.EndClaim{Key: key, Request: holder, Outcome: ended}})
				if r.Code == catalog.OK && r.Claim.Ended == outcome.NotRun && ended == outcome.NotRun {
					delete(mayHaveRun, key.Key)
				}
				continue
			}
			created := start.Add(time.Duration(k) * time.Minute)
			w := catalog.Write{At: now, Command: catalog.ClaimRun{Key: key, Created: created, Request: request, Host: "h"}}
			var r catalog.Result
			c, r = apply(t, c, w)
			if r.Code == catalog.OK {
				if other, ok := mayHaveRun[key.Key]; ok {
					t.Fatalf("key %s granted to %s while %s may have run", key.Key, request, other)
				}
				mayHaveRun[key.Key] = request
				again, r2 := apply(t, c, w)
				require.Equal(t, catalog.OK, r2.Code, "the same attempt may ask again")
				c = again
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				restored, err := catalog.Decode(c.Encode())
				require.NoError(t, err)
				require.Equal(t, c.Encode(), restored.Encode())
				c = restored
			}
		}
	})
}

func TestResentWriteGetsTheFirstAnswer(t *testing.T) {
	c := base(t, 3)
	w := catalog.Write{ID: "w1", Remember: true, At: start, Command: catalog.Edit{
		Change: config.PutClass{Class: config.Class{ID: "urgent"}}, Guarded: true,
	}}
	c, first := apply(t, c, w)
	require.Equal(t, catalog.OK, first.Code)
	c, err := catalog.Decode(c.Encode())
	require.NoError(t, err)
	c, again := apply(t, c, w)
	require.Equal(t, first, again)
	require.Equal(t, first.Version, c.Config.Version, "done once")

	w.ID = "w2"
	_, lost := apply(t, c, w)
	require.Equal(t, catalog.Conflict, lost.Code, "of two with equal numbers one wins")
	require.Equal(t, first.Version, lost.Version, "the loser gets what won")
}

func TestFollowersReachEqualConfigurationsByDeltas(t *testing.T) {
	c := base(t, 5)
	deltas, ok := c.DeltasAfter(0, 100)
	require.True(t, ok)
	var follower config.Config
	for _, d := range deltas {
		var err error
		follower, err = follower.With(d.Change)
		require.NoError(t, err)
	}
	require.Equal(t, c.Config.Document(), follower.Document())
	for i := range catalog.MaxDeltas + 5 {
		c, _ = apply(t, c, edit(config.PutClass{Class: config.Class{ID: "c", Rank: i}}))
	}
	_, ok = c.DeltasAfter(1, 10)
	require.False(t, ok, "too far behind for deltas")
}

// TestPlansReachTheirIntent draws placements and intents and carries plans out
// step by step: no zone ever has fewer engines with the model than before or
// wanted, no engine holds more than fits, and a finished state gives no steps.
func TestPlansReachTheirIntent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := base(t, 9)
		in := config.Intent{ID: "i", Service: "text", Model: "m2"}
		for z := range 3 {
			in.Replicas = append(in.Replicas, config.ZoneReplicas{
				Zone: ident.Zone(fmt.Sprintf("z%d", z)), Count: rapid.IntRange(0, 4).Draw(t, "count"),
			})
		}
		for _, e := range c.Config.Targets.Values() {
			if rapid.Bool().Draw(t, "loaded") {
				c, _ = apply(t, c, edit(config.SetModels{Target: e.ID, Models: []ident.Model{"m1", "m2"}}))
			}
		}
		p := plan.Make("p", c.Config, in, nil)
		require.Equal(t, p, plan.Make("p", c.Config, in, nil), "the same input gives the same plan")
		c, r := apply(t, c, catalog.Write{At: start, Command: catalog.StateIntent{Intent: in}})
		require.Equal(t, catalog.OK, r.Code)
		version := c.Config.Version
		c, r = apply(t, c, catalog.Write{At: start, Command: catalog.Decide{Plan: r.Plan, Verb: catalog.Confirm, Rev: 1}})
		require.Equal(t, catalog.OK, r.Code, r.Reason)
		require.Equal(t, version+1, c.Config.Version, "only the intent is new")
		lowest := holders(c.Config)
		for {
			now, _ := c.Plans.Get(r.Plan)
			i, ok := now.Next(start, 0, 1)
			if !ok {
				break
			}
			var issued catalog.Result
			c, issued = apply(t, c, catalog.Write{At: start, Command: catalog.IssueOrder{Plan: r.Plan, Step: i}})
			require.Equal(t, catalog.OK, issued.Code, issued.Reason)
			c, _ = apply(t, c, catalog.Write{At: start, Command: catalog.EndOrder{Plan: r.Plan, Step: i, Token: issued.Token, OK: true}})
			for z, n := range holders(c.Config) {
				require.GreaterOrEqual(t, n, min(lowest[z], want(in, z)))
			}
		}
		done, _ := c.Plans.Get(r.Plan)
		require.Equal(t, plan.Done, done.Status)
		require.Empty(t, plan.Make("again", c.Config, in, nil).Steps)
		for _, e := range c.Config.Targets.All() {
			require.LessOrEqual(t, len(e.Models), e.MaxModels)
		}
	})
}

func holders(cfg config.Config) map[ident.Zone]int {
	out := map[ident.Zone]int{}
	for _, e := range cfg.Targets.All() {
		if e.HasModel("m2") {
			out[e.Zone]++
		}
	}
	return out
}

func want(in config.Intent, z ident.Zone) int {
	for _, r := range in.Replicas {
		if r.Zone == z {
			return r.Count
		}
	}
	return 0
}

func TestConfirmIsRefusedWhenTheGroundHasMoved(t *testing.T) {
	c := base(t, 6)
	in := config.Intent{ID: "i", Service: "text", Model: "m2", Replicas: []config.ZoneReplicas{{Zone: "z0", Count: 1}}}
	c, made := apply(t, c, catalog.Write{At: start, Command: catalog.StateIntent{Intent: in}})
	c, _ = apply(t, c, edit(config.DeleteTarget{ID: "e00"}))
	c, moved := apply(t, c, catalog.Write{At: start, Command: catalog.Decide{Plan: made.Plan, Verb: catalog.Confirm, Rev: 1}})
	require.Equal(t, catalog.GroundMoved, moved.Code)
	require.NotEqual(t, made.Plan, moved.Plan, "a fresh plan comes with the refusal")
	confirm := catalog.Write{At: start, Command: catalog.Decide{Plan: moved.Plan, Verb: catalog.Confirm, Rev: 1}}
	c, r := apply(t, c, confirm)
	require.Equal(t, catalog.OK, r.Code)
	c, r = apply(t, c, confirm)
	require.Equal(t, catalog.OK, r.Code, "confirmed twice is done once")
	p, _ := c.Plans.Get(moved.Plan)
	require.Equal(t, plan.Running, p.Status)
	require.True(t, strings.Contains(fmt.Sprint(c.Trail("")), "plan-confirmed"))

	// An order that was replaced cannot end the step.
	c, old := apply(t, c, catalog.Write{At: start, Command: catalog.IssueOrder{Plan: p.ID, Step: 0}})
	c, renewed := apply(t, c, catalog.Write{At: start, Command: catalog.IssueOrder{Plan: p.ID, Step: 0}})
	require.Greater(t, renewed.Token, old.Token)
	_, r = apply(t, c, catalog.Write{At: start, Command: catalog.EndOrder{Plan: p.ID, Token: old.Token, OK: true}})
	require.Equal(t, catalog.Conflict, r.Code)
}

func FuzzDecodeWrite(f *testing.F) {
	f.Add(edit(config.PutClass{Class: config.Class{ID: "c"}}).Encode())
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		w, err := catalog.DecodeWrite(b)
		if err == nil {
			_, _ = catalog.Catalog{}.Apply(w)
		}
	})
}

// TestRouteTablesAreKeptOnce puts many large tables in force: the snapshot
// holds the newest one only.
func TestRouteTablesAreKeptOnce(t *testing.T) {
	var c catalog.Catalog
	source := make([]byte, 50_000)
	for i := range source {
		source[i] = byte(i * i >> 3)
	}
	size := 0
	for number := range uint64(200) {
		var r catalog.Result
		c, r = c.Apply(catalog.Write{ID: fmt.Sprint(number), Command: catalog.Edit{Change: config.PutRouteTable{
			Gateway: config.RouteTable{Number: number + 1, Source: source},
		}}})
		require.Equal(t, catalog.OK, r.Code)
		if number == 0 {
			size = len(c.Encode())
		}
	}
	require.EqualValues(t, 200, c.Config.Gateway.Number)
	require.Less(t, len(c.Encode()), 2*size)
	_, kept := c.DeltasAfter(100, 10)
	require.False(t, kept, "a follower that is behind asks for the whole document")
}

// TestPatchThatLostARaceIsNotRemembered sends a remembered write as a patch of a
// table that is no longer in force, and then whole: the second one counts.
func TestPatchThatLostARaceIsNotRemembered(t *testing.T) {
	table := func(number uint64) config.RouteTable {
		return config.RouteTable{Number: number, Pools: []config.Pool{{ID: "p"}}}
	}
	write := func(id string, change config.Change) catalog.Write {
		return catalog.Write{ID: id, Remember: true, Command: catalog.Edit{Change: change}}
	}
	c, _ := catalog.Catalog{}.Apply(write("one", config.PutRouteTable{Gateway: table(1)}))
	patch := config.PatchRouteTable{Patch: table(1).PatchTo(table(3))}
	c, _ = c.Apply(write("two", config.PutRouteTable{Gateway: table(2)}))
	c, r := c.Apply(write("three", patch))
	require.Equal(t, catalog.BaseMoved, r.Code)
	require.EqualValues(t, 2, c.Config.Gateway.Number)
	c, r = c.Apply(write("three", config.PutRouteTable{Gateway: table(3)}))
	require.Equal(t, catalog.OK, r.Code)
	require.EqualValues(t, 3, c.Config.Gateway.Number)
}
