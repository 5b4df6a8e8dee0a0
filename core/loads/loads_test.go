// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package loads_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
)

func drawCounts(t *rapid.T, label string) loads.Counts {
	c := loads.Counts{}
	for i := range 12 {
		if n := rapid.IntRange(0, 300).Draw(t, label); n > 0 {
			c[loads.TagOf(ident.Target(fmt.Sprint("i-", i)))] = n
		}
	}
	return c
}

// TestSubtractUndoesSum guards against a sum of several hosts' loads that is wrong after
// subtracting one of them.
func TestSubtractUndoesSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawCounts(t, "a"), drawCounts(t, "b"), drawCounts(t, "c")
		sum := loads.Sum(slices.Values([]loads.Digest{loads.Pack(a), loads.Pack(b), loads.Pack(c)}))
		rest := sum.Subtract(loads.Pack(b)).Counts()
		require.Equal(t, loads.Sum(slices.Values([]loads.Digest{loads.Pack(a), loads.Pack(c)})).Counts(), rest)
		require.Equal(t, a, loads.Pack(a).Counts())
	})
}

func TestCorruptDigestIsCutOff(t *testing.T) {
	d := loads.Pack(loads.Counts{1: 5, 2: 300})
	for i := range d {
		require.LessOrEqual(t, len(d[:i].Counts()), 2)
	}
	require.Empty(t, loads.Digest{0, 0, 1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1}.Counts())
}

// TestDigestSizeForLargeFleet guards the size of a digest that docs/CAPACITY.md relies on.
func TestDigestSizeForLargeFleet(t *testing.T) {
	c := loads.Counts{}
	for i := range 910 {
		c[loads.TagOf(ident.Target(fmt.Sprintf("i-%010x", i*7919)))] = 80
	}
	require.LessOrEqual(t, len(loads.Pack(c)), 910*4)
}

// TestDigestFormatIsStable guards against a format that hosts of the first version with digests
// cannot exchange.
func TestDigestFormatIsStable(t *testing.T) {
	record := []byte{0x00, 0x00, 0x07, 0x05, 0x01, 0x02, 0x03, 0xac, 0x02}
	counts := loads.Counts{0x000007: 5, 0x010203: 300}
	require.Equal(t, counts, loads.Digest(record).Counts())
	require.Equal(t, loads.Digest(record), loads.Pack(counts))
}

// TestPartsOfScaledCountsAddUp guards against parts of a digest that lose or invent requests.
func TestPartsOfScaledCountsAddUp(t *testing.T) {
	total := func(d loads.Digest) (n int) {
		for _, count := range d.All() {
			n += count
		}
		return n
	}
	rapid.Check(t, func(t *rapid.T) {
		d, parts := loads.Pack(drawCounts(t, "counts")), rapid.IntRange(1, 40).Draw(t, "parts")
		counted := rapid.IntRange(0, parts).Draw(t, "counted")
		fraction := float64(counted) / float64(parts)
		require.InDelta(t, fraction*float64(total(d)), total(d.Scaled(fraction)), 1)
		require.InDelta(t, total(d), total(d.Scaled(fraction))+total(d.Scaled(1-fraction)), 1)
	})
}
