// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/registry"
)

// restartEntries is the number of entry hosts of the fleets of this file.
const restartEntries = 2

// leaver is the worker that leaves, as it registers.
func leaver(state registry.State, seq uint64) registry.Worker {
	return registry.Worker{ID: "w2", Pool: "pool", Zone: "z", Address: "10.9.9.8:80", Slots: 4, State: state, Seq: seq}
}

// newRestartFleet returns a fleet in which two workers are ready at all hosts.
func newRestartFleet(t *testing.T) *seededFleet {
	f := newLargeFleet(t, restartEntries)
	f.reduce(replicaName(0), host.HeartbeatReceived{Worker: leaver(registry.Ready, 1)})
	f.run(time.Second)
	require.Equal(t, restartEntries, f.usersOf("w2"))
	return f
}

// isSecured reports whether a replica can acknowledge a worker's departure.
func (f *seededFleet) isSecured(replica ident.Host, id ident.Target) bool {
	_, is := f.states[replica].DepartureStatus(id, f.now).(host.DepartureSecured)
	return is
}

// usersOf returns the number of entry hosts to which a worker is ready.
func (f *seededFleet) usersOf(id ident.Target) int {
	n := 0
	for i := range restartEntries {
		if w, ok := f.states[entryName(i)].Requests().Worker(id); ok && w.State == registry.Ready {
			n++
		}
	}
	return n
}

// runUntilSecured runs until a replica can acknowledge a departure.
func (f *seededFleet) runUntilSecured(replica ident.Host, id ident.Target) {
	for end := f.now.Add(2 * raft.DefaultHeartbeat); !f.isSecured(replica, id); {
		require.True(f.t, f.now.Before(end), "the departure is not secured in time")
		f.run(seededStep)
	}
}

// restartAll stops all processes and starts them again a second later, with their disks.
func (f *seededFleet) restartAll() {
	for _, id := range f.order {
		f.stop(id)
	}
	f.wire = nil
	f.now = f.now.Add(time.Second)
	for _, id := range f.order {
		f.start(id)
	}
}

// TestDepartureOutlivesAllProcesses guards against a worker that is used again by a heartbeat that was sent
// before its departure and arrives after all processes were killed.
func TestDepartureOutlivesAllProcesses(t *testing.T) {
	reports := map[string]host.Event{
		"gone":     host.DeregistrationReceived{Worker: "w2"},
		"draining": host.HeartbeatReceived{Worker: leaver(registry.Draining, 2)},
	}
	for name, report := range reports {
		for receiver := range 3 {
			t.Run(name+" at "+string(replicaName(receiver)), func(t *testing.T) {
				f := newRestartFleet(t)
				f.reduce(replicaName(0), report)
				f.runUntilSecured(replicaName(0), "w2")
				f.restartAll()
				f.run(time.Second)
				f.sendHeartbeat(replicaName(1), "w1", registry.Ready, 2)
				f.reduce(replicaName(receiver), host.HeartbeatReceived{Worker: leaver(registry.Ready, 1)})
				for range 100 {
					f.run(seededStep)
					require.Zero(t, f.usersOf("w2"))
				}
				require.Equal(t, restartEntries, f.usersOf("w1"), "the fleet serves again")
			})
		}
	}
}

// TestDepartureOutlivesAllProcessesAndADisk guards against a departure that only the replica that acknowledged
// it has on its disk.
func TestDepartureOutlivesAllProcessesAndADisk(t *testing.T) {
	f := newRestartFleet(t)
	f.reduce(replicaName(0), host.DeregistrationReceived{Worker: "w2"})
	f.runUntilSecured(replicaName(0), "w2")
	f.disks[replicaName(0)] = &seededDisk{identity: replicaName(0).WithDisk("empty"), boot: raft.Boot{}}
	f.restartAll()
	f.run(3 * time.Second)
	f.reduce(replicaName(0), host.HeartbeatReceived{Worker: leaver(registry.Ready, 1)})
	f.run(2 * time.Second)
	require.Zero(t, f.usersOf("w2"))
}

// TestDepartureIsNotAcknowledgedBeforeItIsOnDisk guards against an acknowledgement that a hanging disk would
// break, and against a replica that vouches for what is not on its own disk.
func TestDepartureIsNotAcknowledgedBeforeItIsOnDisk(t *testing.T) {
	f := newRestartFleet(t)
	f.disks[replicaName(0)].hangs = true
	f.reduce(replicaName(0), host.DeregistrationReceived{Worker: "w2"})
	f.run(2 * host.MaxShareTime)
	require.IsType(t, host.DepartureUnpersisted{}, f.states[replicaName(0)].DepartureStatus("w2", f.now))
	require.Zero(t, f.usersOf("w2"), "hosts need not wait for the disk")

	f.disks[replicaName(2)].hangs = true
	f.reduce(replicaName(1), host.DeregistrationReceived{Worker: "w2"})
	f.run(2 * host.MaxShareTime)
	require.IsType(t, host.DepartureUnshared{}, f.states[replicaName(1)].DepartureStatus("w2", f.now))
}

// TestWorkerThatStartsAgainOutlivesAllProcesses guards against a worker that is kept out after a restart of
// the fleet because an earlier process of it had left.
func TestWorkerThatStartsAgainOutlivesAllProcesses(t *testing.T) {
	f := newRestartFleet(t)
	first, second := leaver(registry.Ready, 2), leaver(registry.Ready, 1)
	first.Born, second.Born = 1000, 2000
	f.reduce(replicaName(0), host.HeartbeatReceived{Worker: first})
	f.reduce(replicaName(0), host.DeregistrationReceived{Worker: "w2", Born: 1000})
	f.run(time.Second)
	require.Zero(t, f.usersOf("w2"))
	f.reduce(replicaName(0), host.HeartbeatReceived{Worker: second})
	f.run(time.Second)
	f.restartAll()
	f.run(time.Second)
	second.Seq++
	f.reduce(replicaName(0), host.HeartbeatReceived{Worker: second})
	f.run(2 * time.Second)
	require.Equal(t, restartEntries, f.usersOf("w2"))
}
