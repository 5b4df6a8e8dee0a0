// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
)

// TestReplicasStartedTogetherElect gives all replicas the same seed, as hosts
// have that start in the same millisecond: their election times must differ all
// the same, or each round splits the vote.
func TestReplicasStartedTogetherElect(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(2, func(f string, a ...any) { t.Fatalf(f, a...) })
		for i := range 2 {
			c.states[name(i)] = raft.New(name(i), raft.Options{}, seed, raft.Boot{Members: c.members}, c.now)
		}
		c.settle(100)
		require.NotEmpty(t, c.leader(), "seed %d: no leader after 5 s", seed)
	}
}

// TestRestartedReplicaKeepsTheLeaseOfTheLeader cuts the leader off from one
// follower, restarts the other one, and lets the first ask for votes: while the
// leader may still answer reads by its lease, nobody else may be elected.
func TestRestartedReplicaKeepsTheLeaseOfTheLeader(t *testing.T) {
	c := newCluster(3, func(f string, a ...any) { t.Fatalf(f, a...) })
	c.settle(100)
	leader := c.leader()
	var others []ident.Host
	for i := range 3 {
		if name(i) != leader {
			others = append(others, name(i))
		}
	}
	candidate, restarted := others[0], others[1]
	// The candidate hears nothing for long enough to seek votes at once.
	c.cut[candidate] = true
	c.settle(58)
	require.True(t, c.states[leader].LeaseHeld(c.now))
	// Now the leader is cut off, the other follower restarts and the candidate
	// is back: the lease runs on for a while.
	c.cut[leader] = true
	c.cut[candidate] = false
	c.boot(restarted)
	for range 60 {
		c.settle(1)
		leases := 0
		for i := range 3 {
			if c.states[name(i)].LeaseHeld(c.now) {
				leases++
			}
		}
		require.LessOrEqual(t, leases, 1, "two replicas may answer reads %s after the restart", c.now.Sub(time.Unix(1000, 0)))
	}
}
