// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/raft"
)

// TestLargeEntriesAreNotSentAgainWhileUnderWay proposes an entry that needs
// more than a second on the leader's link and lets no answer back: until then
// followers get heartbeats, but no second copy.
func TestLargeEntriesAreNotSentAgainWhileUnderWay(t *testing.T) {
	c := newCluster(3, func(f string, a ...any) { t.Fatalf(f, a...) })
	c.settle(100)
	leader := c.leader()
	require.NotEmpty(t, leader)
	for i := range 3 {
		c.cut[name(i)] = name(i) != leader
	}
	c.wire = nil
	c.step(leader, raft.Propose{Data: make([]byte, 300<<10)})
	copies, heartbeats := 0, 0
	for range 24 {
		for _, p := range c.wire {
			if a, ok := p.message.(raft.Append); ok && len(a.Entries) > 0 {
				copies++
			} else if ok {
				heartbeats++
			}
		}
		c.wire = nil
		c.now = c.now.Add(50_000_000)
		c.step(leader, raft.Tick{})
	}
	require.Equal(t, 2, copies, "one copy for each follower")
	require.Positive(t, heartbeats)
}
