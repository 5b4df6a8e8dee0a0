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
