// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/config"
)

// travelled returns a table as it arrives by each way that tables travel and are kept: whole, as a delta, as
// a patch, and in JSON.
func travelled(t require.TestingT, before, next config.RouteTable) map[string]config.RouteTable {
	whole, err := config.UnpackRouteTable(next.Packed())
	require.NoError(t, err)
	delta, err := config.UnpackRouteTableDelta(before.DeltaTo(next).Packed())
	require.NoError(t, err)
	byDelta, err := before.WithDelta(delta)
	require.NoError(t, err)
	byPatch, err := before.WithPatch(before.PatchTo(next))
	require.NoError(t, err)
	document, err := json.Marshal(next)
	require.NoError(t, err)
	var kept config.RouteTable
	require.NoError(t, json.Unmarshal(document, &kept))
	return map[string]config.RouteTable{"whole": whole, "delta": byDelta, "patch": byPatch, "JSON": kept}
}

// TestEmptiedTablesStayEmptied guards against a list that was emptied and is taken for one that was left out,
// by which keys, accounts, routes, services or limits would stay in force, or routes would need no key.
func TestEmptiedTablesStayEmptied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, next := drawTable(t, 1), drawTable(t, 2)
		before.Limits.MaxBodyBytes = 1 << 20
		required := rapid.Bool().Draw(t, "keys are required")
		if rapid.Bool().Draw(t, "no keys") {
			next.Keys = nil
		}
		for i := range next.Keys {
			if rapid.Bool().Draw(t, "keys taken away") {
				next.Keys[i].KeyHashes = nil
			}
		}
		if rapid.Bool().Draw(t, "no routes") {
			next.Routes = nil
		}
		if rapid.Bool().Draw(t, "no services") {
			next.Pools, next.Routes = nil, nil
		}
		required = required || len(next.Keys) > 0
		if required {
			next = next.WithKeysRequired()
		}
		for name, got := range travelled(t, before, next) {
			require.ElementsMatch(t, next.Routes, got.Routes, name)
			require.ElementsMatch(t, next.Keys, got.Keys, name)
			require.ElementsMatch(t, next.Pools, got.Pools, name)
			require.Equal(t, next.Limits, got.Limits, name)
			require.Equal(t, required, got.Index().KeysRequired(), name)
		}
	})
}

// TestHostsOfEarlierVersionsKeepRoutesClosed guards against an earlier version, which looks for hashes of
// keys, that opens the routes once the last key is taken away.
func TestHostsOfEarlierVersionsKeepRoutesClosed(t *testing.T) {
	for _, keys := range [][]config.KeyOwner{nil, {}, {{Account: "a"}}, {{Account: "a"}, {Account: "b"}}} {
		g := config.RouteTable{Number: 1, Keys: keys}.WithKeysRequired()
		require.NoError(t, g.Check())
		hashes := 0
		for _, o := range g.Keys {
			hashes += len(o.KeyHashes)
		}
		require.Positive(t, hashes)
		require.Equal(t, g, g.WithKeysRequired())
	}
	held := config.RouteTable{Number: 1, Keys: []config.KeyOwner{{Account: "a", KeyHashes: []string{"k"}}}}
	require.Equal(t, held, held.WithKeysRequired())
}

// TestAccountListedTwiceKeepsOnlyItsKeys guards against a key that stays in force once the entry that held it
// is gone, while another entry of the same account stays.
func TestAccountListedTwiceKeepsOnlyItsKeys(t *testing.T) {
	first := config.KeyOwner{Account: "a", KeyHashes: []string{"k1"}}
	second := config.KeyOwner{Account: "a", KeyHashes: []string{"k2"}, Rank: 3, Ranked: true}
	tables := [][]config.KeyOwner{nil, {first}, {second}, {first, second}, {second, first}}
	for i, before := range tables {
		for j, next := range tables {
			from, to := config.RouteTable{Number: 1, Keys: before}, config.RouteTable{Number: 2, Keys: next}
			for name, got := range travelled(t, from, to) {
				require.ElementsMatch(t, next, got.Keys, "%d to %d, %s", i, j, name)
			}
		}
	}
}
