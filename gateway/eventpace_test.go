// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPaceLeavesOutTheFirstEvent guards against a pace that includes the time in which an engine reads
// a prompt, and against one from too few events.
func TestPaceLeavesOutTheFirstEvent(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		events []int
		want   time.Duration
	}{{nil, 0}, {[]int{1, 1}, 0}, {[]int{1, 0, 0, 1, 1}, time.Second}, {[]int{1, 1, 1, 1}, time.Second}, {[]int{1, 2, 0, 1}, time.Second}, {[]int{5}, 0}} {
		var p eventPace
		for i, n := range tt.events {
			if n > 0 {
				p = p.with(n, start.Add(time.Duration(i)*time.Second))
			}
		}
		require.Equal(t, tt.want, p.mean(), tt.events)
	}
}
