// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
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

// TestFrozenHostAsksBeforeItSends guards against requests to a worker that began to leave while the host
// stood still: they arrive before what waits in the host's sockets is read.
func TestFrozenHostAsksBeforeItSends(t *testing.T) {
	f := newLargeFleet(t, largeFleet)
	f.reduce(replicaName(0), host.HeartbeatReceived{Worker: registry.Worker{
		ID: "w2", Pool: "pool", Zone: "z", Address: "10.9.9.8:80", Slots: 4, Seq: 1,
	}})
	f.run(2 * time.Second)
	frozen := entryName(0)
	require.False(t, f.isHub(frozen))
	var held []seededPacket
	f.intercept = func(p seededPacket) bool {
		if p.to == frozen {
			held = append(held, p)
		}
		return p.to == frozen
	}
	f.frozen = frozen
	f.run(500 * time.Millisecond)
	f.sendHeartbeat(replicaName(1), "w1", registry.Draining, 2)
	f.run(1500 * time.Millisecond)
	f.frozen, f.intercept = "", nil

	f.decisions = nil
	f.onDecision = func(id ident.Host, d requests.Decision) {
		if sent, ok := d.(requests.Dispatch); ok && id == frozen {
			require.EqualValues(t, "w2", sent.Worker.ID, "%s after the host resumed", sent.Request)
		}
	}
	const arrivals = 20
	for i := range arrivals {
		f.reduce(frozen, host.RequestEvent{Event: requests.Arrived{Request: requests.Request{
			ID: ident.Request(fmt.Sprint("resumed", i)), Host: "a.example", Path: "/x/1", KeyHash: "k",
		}}})
	}
	for _, p := range held {
		f.deliver(p)
	}
	f.run(400 * time.Millisecond)
	sent := 0
	for _, d := range f.decisions {
		if d, ok := d.(requests.Dispatch); ok && strings.HasPrefix(string(d.Request), "resumed") {
			sent++
		}
	}
	require.Equal(t, arrivals, sent, "no request is refused or waits for longer")
}
