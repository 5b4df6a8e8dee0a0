// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
)

// TestReadWaitsForRollouts guards against a replica that shows rollouts as of before an acknowledged
// order: it holds the newest route table, but not the revision of the rollouts that the leader
// confirmed.
func TestReadWaitsForRollouts(t *testing.T) {
	f := newSeededFleet(t, 3, 0)
	f.run(5 * time.Second)
	leader := f.leader()
	require.True(t, f.putTable(leader, f.table(1, "k"), time.Second))
	follower := f.anyFollower()
	f.partition(follower, true)
	for id, revision := range map[string]uint64{"held": 0, "ahead": 1} {
		f.reduce(follower, host.ReadSubmitted{ID: id, Deadline: f.now.Add(time.Second)})
		f.reduce(follower, host.MessageReceived{From: leader, Message: host.ReadReply{ID: id, Rollouts: revision}})
	}
	require.True(t, f.reads["held"])
	f.run(1500 * time.Millisecond)
	require.Contains(t, f.reads, "ahead")
	require.False(t, f.reads["ahead"])
}
