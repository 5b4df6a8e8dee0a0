// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/ident"
)

// rounds is how many steps of settle pass until a leader holds a lease.
func (c *cluster) rounds(t *testing.T, most int) int {
	t.Helper()
	for n := range most {
		if c.leader() != "" {
			return n
		}
		c.settle(1)
	}
	require.Fail(t, "no leader")
	return most
}

const settleStep = 50 * time.Millisecond

// TestRestartedLeaderLeadsAgainAtOnce restarts all replicas: nobody holds a lease that
// their wait could protect, so it is not waited for. The others may start later than
// the leader.
func TestRestartedLeaderLeadsAgainAtOnce(t *testing.T) {
	for _, lag := range []int{0, 4} {
		c := newCluster(3, func(f string, a ...any) { t.Fatalf(f, a...) })
		c.settle(100)
		leader := c.leader()
		for i := range 3 {
			c.down[name(i)] = true
		}
		c.boot(leader)
		c.settle(lag)
		for i := range 3 {
			if name(i) != leader {
				c.boot(name(i))
			}
		}
		n := c.rounds(t, 100)
		require.Equal(t, leader, c.leader())
		require.Less(t, time.Duration(n)*settleStep, raft900/2, "lag %d", lag)
	}
}

// raft900 is the shortest time in which others could elect.
const raft900 = 900 * time.Millisecond

// TestRestartedLeaderWaitsForItsVotes restarts all replicas, whose disks are slow at
// first: the leader does not give its election up again and again meanwhile.
func TestRestartedLeaderWaitsForItsVotes(t *testing.T) {
	c := newCluster(3, func(f string, a ...any) { t.Fatalf(f, a...) })
	c.settle(100)
	leader := c.leader()
	term := c.states[leader].Term()
	for i := range 3 {
		c.down[name(i)] = true
	}
	for i := range 3 {
		c.boot(name(i))
		c.stalled[name(i)] = name(i) != leader
	}
	c.settle(44)
	for i := range 3 {
		c.stalled[name(i)] = false
	}
	c.rounds(t, 100)
	require.Equal(t, leader, c.leader())
	require.LessOrEqual(t, c.states[leader].Term(), term+3, "an election is not given up while votes are on their way")
}

// TestLeaderThatComesBackIsHelpedAtOnce restarts only the leader, before the others
// miss it.
func TestLeaderThatComesBackIsHelpedAtOnce(t *testing.T) {
	c := newCluster(3, func(f string, a ...any) { t.Fatalf(f, a...) })
	c.settle(100)
	leader := c.leader()
	c.down[leader] = true
	c.settle(2)
	c.boot(leader)
	require.Less(t, time.Duration(c.rounds(t, 100))*settleStep, raft900/2)
	require.Equal(t, leader, c.leader())
}

// TestOthersStillWaitForALeaderThatIsGone restarts the two followers, while the leader
// is cut off with a lease that may run: they elect nobody for an election time.
func TestOthersStillWaitForALeaderThatIsGone(t *testing.T) {
	c := newCluster(3, func(f string, a ...any) { t.Fatalf(f, a...) })
	c.settle(100)
	leader := c.leader()
	c.cut[leader] = true
	for i := range 3 {
		if name(i) != leader {
			c.boot(name(i))
		}
	}
	began := c.now
	for c.leader() == leader || c.leader() == "" {
		c.settle(1)
	}
	require.Greater(t, c.now.Sub(began), raft900)
}

// TestOneLeaseUnderRestarts draws worlds in which little but time, cuts between pairs,
// stalled disks and restarts happens, a step of the network at a time: that is what
// leases depend on, and what the drawn runs of single messages rarely reach. A restart
// loses what the disk had not synced.
func TestOneLeaseUnderRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "replicas")
		c := newCluster(n, func(f string, a ...any) { t.Fatalf(f, a...) })
		c.settle(60)
		for range rapid.IntRange(4, 40).Draw(t, "steps") {
			id := name(rapid.IntRange(0, n-1).Draw(t, "replica"))
			other := name(rapid.IntRange(0, n-1).Draw(t, "other"))
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 0, 1, 2, 3:
				c.settle(rapid.IntRange(1, 12).Draw(t, "rounds"))
			case 4:
				c.cut[id] = !c.cut[id]
			case 5, 6:
				c.apart[[2]ident.Host{id, other}] = !c.apart[[2]ident.Host{id, other}]
				c.apart[[2]ident.Host{other, id}] = c.apart[[2]ident.Host{id, other}]
			case 7:
				c.boot(id)
			case 8:
				c.boot(id)
				c.boot(other)
			case 9:
				c.stalled[id] = !c.stalled[id]
			}
		}
	})
}
