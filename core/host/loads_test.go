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

// loadedFleet returns a seeded fleet with a table and one worker.
func loadedFleet(t *testing.T, replicas, entries int) *seededFleet {
	f := newSeededFleet(t, replicas, entries)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
	f.sendHeartbeat(f.leader(), "w1", registry.Ready, 1)
	f.run(time.Second)
	return f
}

// TestLoadsOfAllHostsAreReported sends requests from three hosts to one worker. Each host must
// count its own and the others' requests, also after some have ended.
func TestLoadsOfAllHostsAreReported(t *testing.T) {
	f := loadedFleet(t, 3, 3)
	var sent []requests.Dispatch
	for i, running := range []int{4, 3, 2} {
		for range running {
			d, ok := f.sendRequest(entryName(i), "/x/1", "k").(requests.Dispatch)
			require.True(t, ok)
			sent = append(sent, d)
		}
	}
	f.run(2 * time.Second)
	for i := range 3 {
		require.Equal(t, 9, f.observedLoad(entryName(i)))
	}
	for _, d := range sent[:3] {
		f.reduce(entryName(0), host.RequestEvent{Event: requests.AttemptEnded{
			Request: d.Request, Attempt: d.Attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true,
		}})
	}
	f.run(2 * time.Second)
	require.Equal(t, 6, f.observedLoad(entryName(1)))
}

// observedLoad returns the worker's load as a host sees it, by a request that ends immediately.
func (f *seededFleet) observedLoad(at ident.Host) int {
	d, ok := f.sendRequest(at, "/x/1", "k").(requests.Dispatch)
	require.True(f.t, ok)
	f.reduce(at, host.RequestEvent{Event: requests.AttemptEnded{
		Request: d.Request, Attempt: d.Attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true,
	}})
	return d.Inputs.Load
}

// TestLoadReportsAreSpreadOverReplicas guards against one replica reporting the loads to most
// hosts, before and after another is lost.
func TestLoadReportsAreSpreadOverReplicas(t *testing.T) {
	f := loadedFleet(t, 5, 30)
	before := f.loadReportsByReplica(time.Second)
	require.Len(t, before, 5, "each replica serves some hosts")
	for _, hosts := range before {
		require.Less(t, len(hosts), 15)
	}
	lost := f.anyFollower()
	f.stop(lost)
	f.run(2 * time.Second)
	after := f.loadReportsByReplica(time.Second)
	require.Len(t, after, 4)
	served := 0
	for _, hosts := range after {
		served += len(hosts)
	}
	require.Equal(t, 30, served, "hosts turn to other replicas")
}

// loadReportsByReplica runs for d and returns the hosts to which each replica reported loads.
func (f *seededFleet) loadReportsByReplica(d time.Duration) map[ident.Host]map[ident.Host]bool {
	out := map[ident.Host]map[ident.Host]bool{}
	f.onDeliver = func(p seededPacket) {
		if m, ok := p.message.(host.PollReply); ok && m.Summed {
			if out[p.from] == nil {
				out[p.from] = map[ident.Host]bool{}
			}
			out[p.from][p.to] = true
		}
	}
	f.run(d)
	f.onDeliver = nil
	return out
}
