// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package table_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/table"
)

// TestWalksMatchAPlainMap draws tables and compares their walks with a sorted map.
func TestWalksMatchAPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := rapid.MapOf(rapid.IntRange(0, 100), rapid.Int()).Draw(t, "entries")
		from := rapid.IntRange(-1, 101).Draw(t, "from")
		var held table.Table[int, int]
		for k, v := range plain {
			held = held.With(k, v)
		}
		keys := slices.Sorted(maps.Keys(plain))
		require.Equal(t, plain, maps.Collect(held.All()))
		var walked []int
		for k, v := range held.From(from) {
			require.Equal(t, plain[k], v)
			walked = append(walked, k)
		}
		at, _ := slices.BinarySearch(keys, from)
		require.Equal(t, len(keys)-at, len(walked))
		require.True(t, slices.Equal(keys[at:], walked))
		after, _ := slices.BinarySearch(keys, from+1)
		require.True(t, slices.Equal(append(slices.Clone(keys[after:]), keys[:after]...), held.KeysAfter(from)))
	})
}
