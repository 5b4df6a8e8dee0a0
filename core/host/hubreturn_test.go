// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// TestLoadsAreCountedWhileHubsReturn guards against hosts that count too few requests of others, and
// so fill engines that seem free, when hubs that were cut off from the replicas return: hosts with the
// new list of hubs took the reply of a hub that still held the list before for an empty list, and
// polled the replicas instead.
func TestLoadsAreCountedWhileHubsReturn(t *testing.T) {
	t.Parallel()
	const entries = 72
	const perHost = 4
	for name, pick := range map[string]func(hubs []ident.Host, i int) bool{
		"one hub":          func(hubs []ident.Host, i int) bool { return entryName(i) == hubs[len(hubs)-1] },
		"a fifth of hosts": func(_ []ident.Host, i int) bool { return i%5 == 0 },
		"hubs of a zone":   func(hubs []ident.Host, i int) bool { return entryName(i) == hubs[0] || entryName(i) == hubs[3] },
	} {
		t.Run(name, func(t *testing.T) {
			f := newLargeFleet(t, entries)
			for range perHost {
				for i := range entries {
					f.sendRequest(entryName(i), "/x/1", "k")
				}
			}
			f.run(3 * time.Second)
			hubs := f.hubs()
			var cut []ident.Host
			for i := range entries {
				if pick(hubs, i) {
					cut = append(cut, entryName(i))
				}
			}
			require.NotEmpty(t, cut)
			f.cutFromReplicas(cut, true)
			f.run(10 * time.Second)
			f.cutFromReplicas(cut, false)
			f.run(2 * time.Second)
			for end := f.now.Add(10 * time.Second); f.now.Before(end); f.run(seededStep) {
				for i := range entries {
					require.NotEmpty(t, f.states[entryName(i)].Dump(f.now).Sync.Hubs, "%s", entryName(i))
					if n, ok := f.loadIfServing(entryName(i)); ok {
						require.GreaterOrEqual(t, n, entries*perHost*9/10, "%s, %s before the end", entryName(i), end.Sub(f.now))
					}
				}
			}
		})
	}
}

// cutFromReplicas cuts hosts off from all replicas, or reconnects them.
func (f *seededFleet) cutFromReplicas(hosts []ident.Host, blocked bool) {
	for _, h := range hosts {
		for r := range 3 {
			f.blocked[[2]ident.Host{h, replicaName(r)}] = blocked
			f.blocked[[2]ident.Host{replicaName(r), h}] = blocked
		}
	}
}

// loadIfServing returns the worker's load as a host sees it; ok is false if the host serves no requests.
func (f *seededFleet) loadIfServing(at ident.Host) (n int, ok bool) {
	d, ok := f.sendRequest(at, "/x/1", "k").(requests.Dispatch)
	if !ok {
		return 0, false
	}
	f.reduce(at, host.RequestEvent{Event: requests.AttemptEnded{
		Request: d.Request, Attempt: d.Attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true,
	}})
	return d.Inputs.Load, true
}

// TestHostsAreCountedOnceWhileHubsAreLost guards against requests that are counted twice, by a hub that is lost or
// replaced and by the next one of its clients: the mean load and the bound on loads then seem nearly twice as
// high.
func TestHostsAreCountedOnceWhileHubsAreLost(t *testing.T) {
	t.Parallel()
	const entries = 72
	const perHost = 4
	for _, down := range []time.Duration{seededStep, 2500 * time.Millisecond, 6 * time.Second} {
		t.Run(down.String(), func(t *testing.T) {
			t.Parallel()
			f := newLargeFleet(t, entries)
			hubs := f.hubs()
			for i := range entries {
				for range perHost {
					if !slices.Contains(hubs, entryName(i)) {
						f.sendRequest(entryName(i), "/x/1", "k")
					}
				}
			}
			f.run(3 * time.Second)
			for _, h := range hubs {
				f.stop(h)
			}
			f.run(down)
			for _, h := range hubs {
				f.start(h)
			}
			highest := 0
			for end := f.now.Add(10 * time.Second); f.now.Before(end); f.run(seededStep) {
				for i := range entries {
					if n, ok := f.loadIfServing(entryName(i)); ok {
						highest = max(highest, n)
					}
				}
			}
			// Hosts that nobody reports yet, as the hubs after their start, are assumed to have as many requests as others.
			require.LessOrEqual(t, highest, entries*perHost*5/4)
		})
	}
}

// TestLoadsComeFromReplicasThatReportThem guards against hosts that have no loads of others for seconds, as they ask a
// replica that has just started, while another one has them.
func TestLoadsComeFromReplicasThatReportThem(t *testing.T) {
	t.Parallel()
	const entries = 12
	f := loadedFleet(t, 3, entries)
	for i := range entries {
		f.sendRequest(entryName(i), "/x/1", "k")
	}
	f.run(2 * time.Second)
	for r := range 2 {
		f.start(replicaName(r))
	}
	f.run(1200 * time.Millisecond)
	for i := range entries {
		d, ok := f.sendRequest(entryName(i), "/x/1", "k").(requests.Dispatch)
		require.True(t, ok)
		require.Less(t, d.Inputs.LoadAge, time.Second, "%s", entryName(i))
	}
}
