// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMemoryIsGivenBack guards against a host that buffers no response any more because ended ones still count.
func TestMemoryIsGivenBack(t *testing.T) {
	m := &memory{limit: 1 << 20}
	for range 3 {
		first, second := reservation{memory: m}, reservation{memory: m}
		require.NoError(t, first.grow(unreservedBytes+int(m.limit)))
		require.NoError(t, second.grow(unreservedBytes), "an ordinary response needs none")
		require.ErrorIs(t, second.grow(unreservedBytes+1), errMemory)
		second.release()
		first.release()
		first.release()
		require.Zero(t, m.used.Load())
	}
}
