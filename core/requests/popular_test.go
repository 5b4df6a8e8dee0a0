// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/hash"
)

// TestOnlyPopularPrefixesAreSpread guards against spreading prefixes that one engine bears, and against sending a
// popular one to a single engine.
func TestOnlyPopularPrefixesAreSpread(t *testing.T) {
	var recent recentPrefixes
	for i := range 5 * recentPrompts {
		recent = recent.with(hash.Of(fmt.Sprint("prefix ", i)))
		if i%10 == 0 {
			recent = recent.with(hash.Of("popular"))
		}
		if i%40 == 0 {
			recent = recent.with(hash.Of("usual"))
		}
	}
	require.InDelta(t, 0.09, recent.share(hash.Of("popular")), 0.03)
	require.Zero(t, recent.share(hash.Of("usual")))
	require.Zero(t, recent.share(hash.Of("never")))
	require.Zero(t, recentPrefixes{}.share(hash.Of("never")))
}

// TestPopularPrefixIsForgotten guards against spreading a prefix that is no longer popular.
func TestPopularPrefixIsForgotten(t *testing.T) {
	var recent recentPrefixes
	for range recentPrompts {
		recent = recent.with(hash.Of("popular"))
	}
	require.InDelta(t, 1, recent.share(hash.Of("popular")), 0.02)
	for i := range recentPrompts {
		recent = recent.with(hash.Of(fmt.Sprint("prefix ", i)))
	}
	require.Zero(t, recent.share(hash.Of("popular")))
}
