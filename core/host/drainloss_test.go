// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// TestLostUpdateIsRepeatedWhileOthersFollow guards against hosts that go on using a leaving worker because
// the update that said so was lost and later updates, as during a release, made it seem in transit.
func TestLostUpdateIsRepeatedWhileOthersFollow(t *testing.T) {
	for name, fromHubs := range map[string]bool{"from replicas": false, "from replicas and hubs": true} {
		t.Run(name, func(t *testing.T) {
			f := newLargeFleet(t, largeFleet)
			f.sendHeartbeat(replicaName(1), "w2", registry.Ready, 1)
			f.run(3 * time.Second)
			lost := map[[2]ident.Host]bool{}
			f.intercept = func(p seededPacket) bool {
				m, ok := p.message.(host.PollReply)
				link := [2]ident.Host{p.from, p.to}
				if !ok || lost[link] || !mentionsWorker(t, m, "w2") || f.disks[p.from] == nil && !fromHubs {
					return false
				}
				lost[link] = true
				return true
			}
			f.sendHeartbeat(replicaName(1), "w2", registry.Draining, 2)
			acknowledged := f.now
			for others := 0; f.hostsThatUse("w2") > 0; others++ {
				require.Less(t, f.now.Sub(acknowledged), maxDrainDelay, "%d hosts still use the worker", f.hostsThatUse("w2"))
				f.registerOther(others)
				f.run(2 * seededStep)
			}
			require.NotEmpty(t, lost)
			t.Log("known everywhere after", f.now.Sub(acknowledged), len(lost), "updates lost")
		})
	}
}

// registerOther registers another worker at a replica, as a release does.
func (f *seededFleet) registerOther(i int) {
	f.reduce(replicaName(1), host.HeartbeatReceived{Worker: registry.Worker{
		ID: ident.Target(fmt.Sprint("released-", i)), Pool: "pool", Zone: "z", Address: fmt.Sprintf("10.9.8.%d:80", i%250), Slots: 4, Seq: 1,
	}})
}

// mentionsWorker reports whether a reply has a registration of a worker.
func mentionsWorker(t *testing.T, m host.PollReply, id ident.Target) bool {
	workers, err := registry.Unpack(m.Workers)
	require.NoError(t, err)
	for _, w := range workers {
		if w.ID == id {
			return true
		}
	}
	return false
}
