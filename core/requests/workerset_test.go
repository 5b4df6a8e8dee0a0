// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// TestWorkerSetMatchesAMap adds, replaces and removes workers in any order. The set must hold the
// same workers as a plain map, by id, by pool in the order of the ids, in use and by zone, and
// earlier sets must stay as they were.
func TestWorkerSetMatchesAMap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var set workerSet
		want := map[ident.Target]worker{}
		for range rapid.IntRange(0, 400).Draw(r, "changes") {
			id := ident.Target(fmt.Sprintf("w-%03d", rapid.IntRange(0, 299).Draw(r, "id")))
			before, have := set, maps.Clone(want)
			if rapid.IntRange(0, 3).Draw(r, "remove") == 0 {
				set = set.Without(id)
				delete(want, id)
			} else {
				w := worker{
					Worker: registry.Worker{
						ID: id, Pool: rapid.SampledFrom([]ident.Service{"a", "b"}).Draw(r, "pool"),
						Zone: rapid.SampledFrom([]ident.Zone{"x", "y"}).Draw(r, "zone"),
					},
					inFlight: rapid.IntRange(0, 1).Draw(r, "inFlight"),
				}
				if rapid.Bool().Draw(r, "isOnlyRegistered") {
					w.record, w.inFlight = registry.RecordOf(w.Worker), 0
				}
				set, want[id] = set.With(id, w), w
			}
			if rapid.IntRange(0, 49).Draw(r, "compare") == 0 {
				requireSame(r, have, before)
			}
		}
		requireSame(r, want, set)
	})
}

func requireSame(t require.TestingT, want map[ident.Target]worker, set workerSet) {
	require.Equal(t, len(want), set.Len())
	pools, inUse, zones := map[ident.Service][]ident.Target{}, []ident.Target(nil), map[ident.Zone]bool{}
	for _, id := range slices.Sorted(maps.Keys(want)) {
		w := want[id]
		got, ok := set.Get(id)
		require.True(t, ok)
		require.Equal(t, w, got)
		pools[w.Pool] = append(pools[w.Pool], id)
		zones[w.Zone] = true
		if w.inFlight > 0 {
			inUse = append(inUse, id)
		}
	}
	for _, pool := range []ident.Service{"a", "b"} {
		var ids []ident.Target
		for m := range set.Pool(pool).All() {
			ids = append(ids, m.idOf())
			require.Equal(t, want[m.idOf()], m.worker(set.base))
		}
		require.Equal(t, pools[pool], ids)
		require.Equal(t, len(ids), set.Pool(pool).Len())
	}
	var used []ident.Target
	for id := range set.InUse() {
		used = append(used, id)
	}
	require.Equal(t, inUse, used)
	require.ElementsMatch(t, slices.Collect(maps.Keys(zones)), slices.Collect(set.Zones()))
}
