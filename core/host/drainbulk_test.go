// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// drainFleet is a large fleet with narrow links, whose workers send heartbeats and are being released.
type drainFleet struct {
	*linkedFleet
	// left are the workers that leave; others counts the workers that have registered meanwhile.
	left   map[ident.Target]bool
	others int
	seq    uint64
}

const (
	// drainLink is the bytes that a link carries in a tick: a hub needs seconds to send all registrations to
	// its clients.
	drainLink = 12 << 10
	// heartbeatTicks is the number of ticks between two heartbeats of a worker.
	heartbeatTicks = 60
)

func newDrainFleet(t *testing.T) *drainFleet {
	f := &drainFleet{linkedFleet: newRegistrationFleet(t, 10*drainLink), left: map[ident.Target]bool{}, seq: 1}
	f.release(2 * heartbeatTicks)
	for _, id := range f.entries() {
		require.GreaterOrEqual(t, f.states[id].Requests().WorkerCount(), manyRegistrations)
	}
	f.bytesPerTick = drainLink
	return f
}

// release runs for a number of ticks, in each of which another worker registers and some send heartbeats.
func (f *drainFleet) release(ticks int) {
	for range ticks {
		f.seq++
		for i := int(f.seq % heartbeatTicks); i < manyRegistrations; i += heartbeatTicks {
			if w := registrationOf(i); !f.left[w.ID] {
				w.Seq = f.seq
				f.reduce(replicaName(i%6), host.HeartbeatReceived{Worker: w})
			}
		}
		f.registerOther(f.others)
		f.others++
		f.runTicks(1)
	}
}

// users returns the number of entry hosts in service to which a worker is ready.
func (f *drainFleet) users(worker ident.Target) int {
	n := 0
	for _, id := range f.entries() {
		if w, ok := f.states[id].Requests().Worker(worker); !f.down[id] && ok && w.State == registry.Ready {
			n++
		}
	}
	return n
}

// drain has a worker report that it leaves, and requires that all hosts learn of it in time.
func (f *drainFleet) drain(t *testing.T, i int) {
	t.Helper()
	w := registrationOf(i)
	require.NotZero(t, f.users(w.ID))
	w.State, w.Seq, f.left[w.ID] = registry.Draining, f.seq+1, true
	f.reduce(replicaName(i%6), host.HeartbeatReceived{Worker: w})
	acknowledged := f.now
	for f.users(w.ID) > 0 {
		require.Less(t, f.now.Sub(acknowledged), maxDrainDelay, "%d hosts still use the worker", f.users(w.ID))
		f.release(1)
	}
	t.Log("known everywhere after", f.now.Sub(acknowledged))
}

// TestLeavingWorkerIsKnownWhileHubsChange guards against a leaving worker that is reported behind all other
// registrations, which are sent anew to hosts whose hubs were lost during a release.
func TestLeavingWorkerIsKnownWhileHubsChange(t *testing.T) {
	f := newDrainFleet(t)
	for i, hub := range f.hubs() {
		if i%2 == 0 {
			f.stop(hub)
		}
	}
	f.release(80)
	f.drain(t, 7)
	f.release(10)
	f.drain(t, 13)
}

// TestLeavingWorkerIsKnownWithoutHubs guards against a leaving worker that no host is told of, because all
// hubs were lost and hosts poll other replicas than the one that acknowledged its report.
func TestLeavingWorkerIsKnownWithoutHubs(t *testing.T) {
	f := newDrainFleet(t)
	for _, hub := range f.hubs() {
		f.stop(hub)
	}
	f.drain(t, 7)
}
