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

// loadedFleet is a seeded fleet with a table and one worker.
func loadedFleet(t *testing.T, replicas, entries int) *seededFleet {
	f := newSeededFleet(t, replicas, entries)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	f.beat(f.leader(), "w1", registry.Ready, 1)
	f.run(time.Second)
	return f
}

// TestLoadsOfAllHostsAreTold has three hosts send requests to one worker: each
// counts its own and what the others have, and no less after some have ended.
func TestLoadsOfAllHostsAreTold(t *testing.T) {
	f := loadedFleet(t, 3, 3)
	var sent []requests.Dispatch
	for i, running := range []int{4, 3, 2} {
		for range running {
			d, ok := f.ask(entryName(i), "/x/1", "k").(requests.Dispatch)
			require.True(t, ok)
			sent = append(sent, d)
		}
	}
	f.run(2 * time.Second)
	for i := range 3 {
		require.Equal(t, 9, f.loadSeen(entryName(i)))
	}
	for _, d := range sent[:3] {
		f.reduce(entryName(0), host.RequestEvent{Event: requests.AttemptEnded{
			Request: d.Request, Attempt: d.Attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true,
		}})
	}
	f.run(2 * time.Second)
	require.Equal(t, 6, f.loadSeen(entryName(1)))
}

// loadSeen is what a host takes for the load of the worker before it sends it a
// request, which ends at once.
func (f *seededFleet) loadSeen(at ident.Host) int {
	d, ok := f.ask(at, "/x/1", "k").(requests.Dispatch)
	require.True(f.t, ok)
	f.reduce(at, host.RequestEvent{Event: requests.AttemptEnded{
		Request: d.Request, Attempt: d.Attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true,
	}})
	return d.Inputs.Load
}

// TestNoReplicaTellsAllLoads counts which replica tells each of thirty hosts the
// loads, before and after one of them is lost.
func TestNoReplicaTellsAllLoads(t *testing.T) {
	f := loadedFleet(t, 5, 30)
	before := f.sumsByReplica(time.Second)
	require.Len(t, before, 5, "each replica serves some hosts")
	for _, hosts := range before {
		require.Less(t, len(hosts), 15)
	}
	lost := f.follower()
	f.stop(lost)
	f.run(2 * time.Second)
	after := f.sumsByReplica(time.Second)
	require.Len(t, after, 4)
	served := 0
	for _, hosts := range after {
		served += len(hosts)
	}
	require.Equal(t, 30, served, "hosts turn to other replicas")
}

// sumsByReplica lists the hosts that each replica tells loads to for a time.
func (f *seededFleet) sumsByReplica(d time.Duration) map[ident.Host]map[ident.Host]bool {
	out := map[ident.Host]map[ident.Host]bool{}
	f.seen = func(p seededPacket) {
		if m, ok := p.message.(host.PollReply); ok && m.Summed {
			if out[p.from] == nil {
				out[p.from] = map[ident.Host]bool{}
			}
			out[p.from][p.to] = true
		}
	}
	f.run(d)
	f.seen = nil
	return out
}
