// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
)

// TestPartialSumsAreExtrapolated guards against taking the requests of some hosts for those of all: a replica that
// lacks hosts says of how many its sum is.
func TestPartialSumsAreExtrapolated(t *testing.T) {
	const entries = 9
	for lacking, want := range map[int]int{0: 18, 4: 18, 7: 18} {
		f := loadedFleet(t, 3, entries)
		for i := range entries {
			f.sendRequest(entryName(i), "/x/1", "k")
			f.sendRequest(entryName(i), "/x/1", "k")
		}
		f.run(2 * time.Second)
		// The polls of some hosts are lost; the host that is asked and the leader's number of hosts are not affected.
		f.intercept = func(p seededPacket) bool {
			m, ok := p.message.(host.PollReply)
			if !ok || !m.Summed || p.to != entryName(0) || lacking == 0 {
				return false
			}
			m.LoadsOf = entries - 1 - lacking
			m.Loads = m.Loads.Scaled(float64(m.LoadsOf) / (entries - 1))
			f.deliver(seededPacket{p.from, p.to, m})
			return true
		}
		f.run(time.Second)
		require.InDelta(t, want, f.observedLoad(entryName(0)), 2, "%d hosts lacking", lacking)
	}
}

// TestHostsThatALeaderLacksStillCount guards against limits of the whole fleet that hosts exceed together after the
// replicas have started again, as the leader counts the hosts that have polled it so far.
func TestHostsThatALeaderLacksStillCount(t *testing.T) {
	f := newLargeFleet(t, largeFleet)
	fewest := largeFleet
	f.onDeliver = func(p seededPacket) {
		if m, ok := p.message.(host.PollReply); ok && m.Fresh && m.Hosts > 0 {
			fewest = min(fewest, m.Hosts)
		}
	}
	for r := range 3 {
		f.start(replicaName(r))
	}
	for end := f.now.Add(4 * time.Second); f.now.Before(end); f.run(seededStep) {
		for i := range largeFleet {
			require.GreaterOrEqual(t, f.states[entryName(i)].Requests().HostCount(), largeFleet, "%s", entryName(i))
		}
	}
	require.Less(t, fewest, largeFleet, "the leader counted all hosts at once")
}
