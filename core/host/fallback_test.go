// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// partitionFromReplicas blocks or unblocks the links between an entry host and all replicas.
func (f *seededFleet) partitionFromReplicas(id ident.Host, blocked bool) {
	for replica := range f.disks {
		f.blocked[[2]ident.Host{id, replica}] = blocked
		f.blocked[[2]ident.Host{replica, id}] = blocked
	}
}

// newServingFleet returns a fleet of three replicas and some entry hosts, with a table and a
// worker.
func newServingFleet(t *testing.T, entries int) *seededFleet {
	f := newSeededFleet(t, 3, entries)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k", "l"), time.Second))
	f.sendHeartbeat(replicaName(0), "w1", registry.Ready, 1)
	f.run(time.Second)
	return f
}

// TestHostCutOffFromReplicasServesByFallbackPeers partitions an entry host from all replicas
// for longer than its lease. It must stay ready, follow changes of table and workers, refuse
// revoked keys, and stop polling fallback peers once reconnected.
func TestHostCutOffFromReplicasServesByFallbackPeers(t *testing.T) {
	f := newServingFleet(t, 5)
	f.partitionFromReplicas(entryName(0), true)
	f.run(3 * requests.DefaultKeyLease)
	require.True(t, f.states[entryName(0)].Ready())
	require.IsType(t, requests.Dispatch{}, f.sendRequest(entryName(0), "/x/1", "k"))
	id := f.commitTable(f.leader(), f.table(2, "l"))
	f.sendHeartbeat(replicaName(1), "w2", registry.Ready, 1)
	f.sendHeartbeat(replicaName(0), "w1", registry.Draining, 2)
	f.run(2 * time.Second)
	require.True(t, f.isAcknowledged(id))
	require.Equal(t, requests.CodeBadKey, codeOf(t, f.sendRequest(entryName(0), "/x/1", "k")))
	sent, ok := f.sendRequest(entryName(0), "/x/1", "l").(requests.Dispatch)
	require.True(t, ok)
	require.EqualValues(t, "w2", sent.Worker.ID)
	f.partitionFromReplicas(entryName(0), false)
	f.run(2 * time.Second)
	polledPeer := false
	f.onDeliver = func(p seededPacket) {
		if s, ok := p.message.(host.Poll); ok && s.Neighbour {
			polledPeer = true
		}
	}
	f.run(2 * time.Second)
	require.False(t, polledPeer)
}

// TestHostsCutOffTogetherStopInTime partitions all entry hosts from the replicas, but not from
// each other. They must not renew each other's leases.
func TestHostsCutOffTogetherStopInTime(t *testing.T) {
	f := newServingFleet(t, 5)
	for i := range 5 {
		f.partitionFromReplicas(entryName(i), true)
	}
	f.run(requests.DefaultKeyLease)
	for i := range 5 {
		require.Equal(t, requests.CodeStale, codeOf(t, f.sendRequest(entryName(i), "/x/1", "k")))
	}
}

// TestRevokedKeysStopInTimeUnderDrawnFaults draws blocked links and delayed messages while a
// key is revoked. No host may accept the key once the lease has passed, whichever hosts
// forwarded its confirmation.
func TestRevokedKeysStopInTimeUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newServingFleet(t, 4)
		injectFaults := func() {
			for range rapid.IntRange(0, 3).Draw(rt, "changes") {
				a := f.order[rapid.IntRange(0, len(f.order)-1).Draw(rt, "a")]
				b := f.order[rapid.IntRange(0, len(f.order)-1).Draw(rt, "b")]
				off := rapid.Bool().Draw(rt, "off")
				f.blocked[[2]ident.Host{a, b}] = off
				f.blocked[[2]ident.Host{b, a}] = off && rapid.Bool().Draw(rt, "both ways")
			}
			if rapid.IntRange(0, 5).Draw(rt, "all") == 0 {
				f.partitionFromReplicas(entryName(rapid.IntRange(0, 3).Draw(rt, "entry")), true)
			}
			slow := rapid.IntRange(0, 4).Draw(rt, "slow host")
			delay := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond
			f.delay = func(p seededPacket) time.Duration {
				if p.from == entryName(slow) {
					return delay
				}
				return 0
			}
			f.run(time.Duration(rapid.IntRange(1, 30).Draw(rt, "steps")) * seededStep)
		}
		for range rapid.IntRange(0, 4).Draw(rt, "before") {
			injectFaults()
		}
		f.blocked = map[[2]ident.Host]bool{}
		f.delay = nil
		committed := false
		for range 8 {
			f.run(500 * time.Millisecond)
			committed = committed || f.leader() != "" && f.putTable(f.leader(), f.table(2, "l"), time.Second)
		}
		require.True(rt, committed, "the table cannot be changed after all links are restored")
		since := f.now
		for f.now.Sub(since) < requests.DefaultKeyLease {
			injectFaults()
		}
		for i := range 4 {
			_, served := f.sendRequest(entryName(i), "/x/1", "k").(requests.Dispatch)
			if served {
				rt.Fatalf("entry %d accepts a key %s after it was revoked", i, f.now.Sub(since))
			}
		}
	})
}

// TestHostCutOffFromReplicasAcknowledgesNoHeartbeat guards against a host that serves by
// fallback peers accepting a heartbeat, which it could not forward to a replica.
func TestHostCutOffFromReplicasAcknowledgesNoHeartbeat(t *testing.T) {
	f := newServingFleet(t, 5)
	f.partitionFromReplicas(entryName(0), true)
	f.run(2 * requests.DefaultKeyLease)
	require.True(t, f.states[entryName(0)].Ready())
	f.heartbeatAnswers = nil
	f.sendHeartbeat(entryName(0), "w1", registry.Ready, 9)
	require.False(t, f.heartbeatAnswers[0].Accepted)
}

// TestLargeFleetsGetNoFallbackPeers guards against lists of fallback peers being sent in a
// large fleet, where they would change with each new host. A hub without replicas must poll
// other hubs instead.
func TestLargeFleetsGetNoFallbackPeers(t *testing.T) {
	f := newSeededFleet(t, 3, largeFleet)
	lists := 0
	f.onDeliver = func(p seededPacket) {
		if m, ok := p.message.(host.PollReply); ok && len(m.Neighbours) > 0 {
			lists++
		}
	}
	f.run(8 * time.Second)
	require.Zero(t, lists)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
	f.run(2 * time.Second)
	hub := f.anyHub(t)
	f.partitionFromReplicas(hub, true)
	f.run(2 * requests.DefaultKeyLease)
	require.True(t, f.states[hub].Ready())
}

// TestChangesAreAcceptedSoonAfterALeaderCannotSend blocks messages from the leader, but not to
// it. It must step down, and a change must be accepted soon after the links are restored.
func TestChangesAreAcceptedSoonAfterALeaderCannotSend(t *testing.T) {
	f := newServingFleet(t, 4)
	leader := f.leader()
	for replica := range f.disks {
		f.blocked[[2]ident.Host{leader, replica}] = replica != leader
	}
	blockedAt := f.now
	for f.leader() != "" {
		f.run(seededStep)
		require.Less(t, f.now.Sub(blockedAt), 3*time.Second, "a leader that cannot send keeps its lease")
	}
	clear(f.blocked)
	f.run(500 * time.Millisecond)
	require.NotEmpty(t, f.leader())
	require.True(t, f.putTable(f.leader(), f.table(2, "l"), time.Second))
}
