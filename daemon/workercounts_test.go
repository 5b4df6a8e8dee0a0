// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
)

// TestWorkerCountsAreBounded guards against counters that grow with each worker that ever registered.
func TestWorkerCountsAreBounded(t *testing.T) {
	var w workerCounts
	for i := range 2 * maxCountedWorkers {
		w.add(ident.Target(fmt.Sprint("w", i)))
	}
	w.add("w0")
	counts, ok := w.snapshot().(map[ident.Target]int64)
	require.True(t, ok)
	require.Len(t, counts, maxCountedWorkers+1)
	require.EqualValues(t, 2, counts["w0"])
	require.EqualValues(t, maxCountedWorkers, counts[uncountedWorkers])
}
