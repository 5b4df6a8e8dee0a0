// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// The size of the fleets of this file. Larger ones are run by hand, as -drain-replicas 9 -drain-entries 328
// -drain-workers 10000 -drain-link 64000.
var (
	drainReplicas = flag.Int("drain-replicas", 2, "replicas of each zone")
	drainEntries  = flag.Int("drain-entries", 20, "entry hosts of each zone")
	drainWorkers  = flag.Int("drain-workers", manyRegistrations, "workers of the fleet")
	drainLink     = flag.Int("drain-link", 12<<10, "bytes that a link carries in a tick of 50 ms")
)

// heartbeatTicks is the number of ticks between two heartbeats of a worker.
const heartbeatTicks = 60

// drainFleet is a large fleet with narrow links, whose workers send heartbeats and are being released: a hub
// needs seconds to send all registrations to its clients.
type drainFleet struct {
	*linkedFleet
	size fleetSize
	// left are the workers that leave; others counts the workers that have registered meanwhile.
	left   map[ident.Target]time.Time
	others int
	seq    uint64
}

func newDrainFleet(t *testing.T) *drainFleet {
	f := &drainFleet{size: fleetSize{*drainReplicas, *drainEntries, *drainWorkers}, left: map[ident.Target]time.Time{}, seq: 1}
	f.linkedFleet = newRegistrationFleetOf(t, f.size, 10**drainLink)
	f.release(2 * heartbeatTicks)
	for _, id := range f.entries() {
		require.GreaterOrEqual(t, f.states[id].Requests().WorkerCount(), f.size.workers)
	}
	f.bytesPerTick = *drainLink
	return f
}

// release runs for a number of ticks, in each of which another worker registers and some send heartbeats.
func (f *drainFleet) release(ticks int) {
	for range ticks {
		f.seq++
		for i := int(f.seq % heartbeatTicks); i < f.size.workers; i += heartbeatTicks {
			w := registrationOf(i)
			if _, leaves := f.left[w.ID]; !leaves {
				w.Seq = f.seq
				f.reduce(f.size.replicaOf(i), host.HeartbeatReceived{Worker: w})
			}
		}
		f.registerOther(f.others)
		f.others++
		f.runTicks(1)
	}
}

// report has a worker report that it leaves.
func (f *drainFleet) report(i int) registry.Worker {
	w := registrationOf(i)
	w.State, w.Seq, f.left[w.ID] = registry.Draining, f.seq+1, f.now
	f.reduce(f.size.replicaOf(i), host.HeartbeatReceived{Worker: w})
	return w
}

// drain has a worker report that it leaves, and runs until that is acknowledged.
func (f *drainFleet) drain(i int) ident.Target {
	w, at := f.report(i), f.size.replicaOf(i)
	for end := f.now.Add(host.MaxShareTime); !f.isSecured(at, w.ID) && f.now.Before(end); {
		f.release(1)
	}
	f.left[w.ID] = f.now
	return w.ID
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

// requireKnown requires that all hosts learn in time of all workers that leave.
func (f *drainFleet) requireKnown(t *testing.T, workers ...ident.Target) {
	t.Helper()
	var longest time.Duration
	for len(workers) > 0 {
		workers = slices.DeleteFunc(workers, func(id ident.Target) bool {
			users, since := f.users(id), f.now.Sub(f.left[id])
			require.False(t, users > 0 && since > maxDrainDelay, "%d hosts still use %s after %s", users, id, since)
			longest = max(longest, since)
			return users == 0
		})
		f.release(1)
	}
	t.Log("known everywhere after", longest)
}

// stopHubs stops every n-th hub.
func (f *drainFleet) stopHubs(n int) {
	for i, hub := range f.hubs() {
		if i%n == 0 {
			f.stop(hub)
		}
	}
}

// TestLeavingWorkerIsKnownWhileHubsChange guards against a leaving worker that is reported behind all other
// registrations, which are sent anew to hosts whose hubs were lost during a release.
func TestLeavingWorkerIsKnownWhileHubsChange(t *testing.T) {
	t.Parallel()
	f := newDrainFleet(t)
	f.stopHubs(2)
	f.release(80)
	f.requireKnown(t, f.drain(7))
	f.release(10)
	f.requireKnown(t, f.drain(13))
}

// TestLeavingWorkerIsKnownWithoutHubs guards against a leaving worker that no host is told of, because all
// hubs were lost and hosts poll other replicas than the one that acknowledged its report.
func TestLeavingWorkerIsKnownWithoutHubs(t *testing.T) {
	t.Parallel()
	f := newDrainFleet(t)
	f.stopHubs(1)
	f.requireKnown(t, f.drain(7))
}

// TestAcknowledgedDepartureOutlivesItsReplica guards against a departure that is forgotten with the replica
// which acknowledged it and was lost at once: the worker's next heartbeat may be late.
func TestAcknowledgedDepartureOutlivesItsReplica(t *testing.T) {
	t.Parallel()
	f := newDrainFleet(t)
	for _, i := range []int{1, 2} {
		leaving := f.drain(i)
		f.stop(f.size.replicaOf(i))
		f.requireKnown(t, leaving)
	}
	leading := slices.IndexFunc(f.order, func(id ident.Host) bool { return id == f.leader() })
	leaving := f.drain(leading)
	f.stop(f.size.replicaOf(leading))
	f.requireKnown(t, leaving)
}

// TestLeavingWorkersAreKnownInARelease guards against departures that wait behind each other, or behind
// registrations, while a large part of the workers is replaced and a replica and hubs are lost.
func TestLeavingWorkersAreKnownInARelease(t *testing.T) {
	t.Parallel()
	f := newDrainFleet(t)
	const perTick, ticks = 6, 40
	var reported []int
	var acknowledged []ident.Target
	for tick := range ticks {
		for i := tick * perTick; i < (tick+1)*perTick; i++ {
			if !f.down[f.size.replicaOf(i)] {
				f.report(i)
				reported = append(reported, i)
			}
		}
		f.release(1)
		reported = slices.DeleteFunc(reported, func(i int) bool {
			id, at := registrationOf(i).ID, f.size.replicaOf(i)
			isAnswered := f.isSecured(at, id) || f.now.Sub(f.left[id]) >= host.MaxShareTime
			if isAnswered && !f.down[at] {
				f.left[id] = f.now
				acknowledged = append(acknowledged, id)
			}
			return isAnswered || f.down[at]
		})
		switch tick {
		case ticks / 4:
			f.stop(replicaName(1))
		case ticks / 2:
			f.stopHubs(3)
		}
	}
	f.requireKnown(t, acknowledged...)
}
