// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// TestAllHostsStopUsingReplacedWorker lets one host find another process at a worker's address,
// with and without hubs. All hosts must stop using the worker until its next heartbeat.
func TestAllHostsStopUsingReplacedWorker(t *testing.T) {
	for _, entries := range []int{3, 60} {
		f := newSeededFleet(t, 3, entries)
		f.run(8 * time.Second)
		require.True(t, f.putTable(f.leader(), f.table(1, "k"), 3*time.Second))
		f.sendHeartbeat(replicaName(0), "w1", registry.Ready, 1)
		f.run(2 * time.Second)
		stateAt := func(i int) registry.State {
			w, ok := f.states[entryName(i)].Requests().Worker("w1")
			require.True(t, ok)
			return w.State
		}
		finder := entryName(entries - 1)
		sent, ok := f.sendRequest(finder, "/x/1", "k").(requests.Dispatch)
		require.True(t, ok)
		f.reduce(finder, host.RequestEvent{Event: requests.AttemptEnded{
			Request: sent.Request, Attempt: sent.Attempt, Result: outcome.Declined{Leaving: true}, CallerWaiting: true,
		}})
		f.run(2 * time.Second)
		for i := range entries {
			require.Equal(t, registry.Silent, stateAt(i), "host %d of %d", i, entries)
		}
		f.sendHeartbeat(replicaName(0), "w1", registry.Ready, 2)
		f.run(2 * time.Second)
		for i := range entries {
			require.Equal(t, registry.Ready, stateAt(i), "host %d of %d", i, entries)
		}
	}
}

// TestLateReportOfAReplacedWorkerChangesNothing guards against a report silencing a worker that
// has sent a heartbeat since, or a later process of the worker.
func TestLateReportOfAReplacedWorkerChangesNothing(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(time.Second)
	w := registry.Worker{ID: "w1", Pool: "pool", Zone: "z", Address: "10.9.9.9:80", Slots: 4, Seq: 1, Born: firstIncarnation}
	f.reduce(replicaName(0), host.HeartbeatReceived{Worker: w})
	for _, late := range []host.ReplacedWorker{
		{Worker: "w1", Born: firstIncarnation, Age: time.Second}, {Worker: "w1", Born: firstIncarnation - 1}, {Worker: "unknown"},
	} {
		f.reduce(replicaName(0), host.MessageReceived{From: entryName(0), Message: host.Poll{
			Round: 1, Boot: 1 << 40, Replaced: []host.ReplacedWorker{late},
		}})
		known, _ := f.states[replicaName(0)].Registry().Get(ident.Target("w1"))
		require.Equal(t, registry.Ready, known.State)
	}
}
