// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/registry"
)

// heartbeatInterval is that of workers in these tests.
const heartbeatInterval = 1200 * time.Millisecond

// TestWorkerThatReturnsToAReplicaStaysReady guards against a worker that is taken for silent because the
// replica that it reported to in between hears no more of it: the first replica, where it is registered
// unchanged, has nothing newer to say.
func TestWorkerThatReturnsToAReplicaStaysReady(t *testing.T) {
	for _, beatsElsewhere := range []int{1, 2, 3, 4} {
		f := newSeededFleet(t, 3, 3)
		f.run(5 * time.Second)
		require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
		seq := uint64(0)
		send := func(replica, beats int) {
			for range beats {
				seq++
				f.sendHeartbeat(replicaName(replica), "w1", registry.Ready, seq)
				f.run(heartbeatInterval)
				for i := range 3 {
					w, known := f.states[entryName(i)].Requests().Worker("w1")
					require.True(t, known)
					require.Equal(t, registry.Ready, w.State, "heartbeat %d, %d sent to the other replica", seq, beatsElsewhere)
				}
			}
		}
		send(0, 4)
		send(1, beatsElsewhere)
		send(0, 8)
	}
}

// TestDrainIsKnownAlthoughItsReplicaIsLost guards against a worker that leaves while the replica that
// acknowledged it is lost before it has told anybody: the next heartbeat must be enough.
func TestDrainIsKnownAlthoughItsReplicaIsLost(t *testing.T) {
	f := newLargeFleet(t, largeFleet)
	f.run(3 * time.Second)
	f.sendHeartbeat(replicaName(1), "w1", registry.Draining, 2)
	acknowledged := f.now
	f.stop(replicaName(1))
	f.run(heartbeatInterval)
	f.sendHeartbeat(replicaName(2), "w1", registry.Draining, 3)
	for f.hostsThatUse("w1") > 0 {
		require.Less(t, f.now.Sub(acknowledged), maxDrainDelay)
		f.run(seededStep)
	}
	t.Log("known everywhere after", f.now.Sub(acknowledged))
}
