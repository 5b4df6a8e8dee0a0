// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// maxDrainDelay is the shortest time after the acknowledgement that a deployment allows for requests to a
// leaving worker.
const maxDrainDelay = 2500 * time.Millisecond

// TestLeavingWorkerIsKnownDespiteLostUpdates guards against hosts that learn of a leaving worker seconds
// late because one update was lost on each hop, as when connections are being replaced: neither a
// replica nor a hub may take a lost update to be on its way for long.
func TestLeavingWorkerIsKnownDespiteLostUpdates(t *testing.T) {
	for name, fromHubs := range map[string]bool{"from replicas": false, "from replicas and hubs": true} {
		t.Run(name, func(t *testing.T) {
			f := newLargeFleet(t, largeFleet)
			f.run(3 * time.Second)
			lost := map[[2]ident.Host]bool{}
			f.intercept = func(p seededPacket) bool {
				m, ok := p.message.(host.PollReply)
				link := [2]ident.Host{p.from, p.to}
				if !ok || len(m.Workers) == 0 || lost[link] || f.disks[p.from] == nil && !fromHubs {
					return false
				}
				lost[link] = true
				return true
			}
			f.sendHeartbeat(replicaName(1), "w1", registry.Draining, 2)
			acknowledged := f.now
			for f.hostsThatUse("w1") > 0 {
				require.Less(t, f.now.Sub(acknowledged), maxDrainDelay, "%d hosts still use the worker", f.hostsThatUse("w1"))
				f.run(seededStep)
			}
			require.NotEmpty(t, lost)
			t.Log("known everywhere after", f.now.Sub(acknowledged), len(lost), "updates lost")
		})
	}
}

// hostsThatUse returns the number of entry hosts to which a worker is ready.
func (f *seededFleet) hostsThatUse(id ident.Target) int {
	n := 0
	for i := range largeFleet {
		if w, ok := f.states[entryName(i)].Requests().Worker(id); ok && w.State == registry.Ready {
			n++
		}
	}
	return n
}
