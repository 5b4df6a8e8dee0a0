// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// leaseFleet is just large enough for hubs.
const leaseFleet = 45

// disturb draws faults for a large fleet: entry hosts to or from which messages take
// seconds, hosts that are cut off, stopped and started, and at last a zone whose hosts
// lose all replicas.
func (f *seededFleet) disturb(r *rand.Rand) {
	slow := map[ident.Host]time.Duration{}
	f.hold = func(p seededPacket) time.Duration { return slow[p.from] + slow[p.to] }
	pick := func() ident.Host { return entryName(r.IntN(leaseFleet)) }
	for range 12 {
		switch id := pick(); r.IntN(4) {
		case 0:
			slow[id] = time.Duration(r.IntN(7000)) * time.Millisecond
		case 1:
			f.cutOff(id, true)
		case 2:
			f.stop(id)
		case 3:
			if f.down[id] {
				f.start(id)
			}
		}
		f.run(time.Duration(50+r.IntN(300)) * time.Millisecond)
	}
	f.loseReplicas(ident.Zone(fmt.Sprint("z", r.IntN(3))))
}

// loseReplicas cuts the entry hosts of a zone off from all replicas; they still reach
// each other.
func (f *seededFleet) loseReplicas(zone ident.Zone) {
	for i := range leaseFleet {
		for at := range f.disks {
			if id := entryName(i); f.zoneOf(id) == zone {
				f.cut[[2]ident.Host{id, at}], f.cut[[2]ident.Host{at, id}] = true, true
			}
		}
	}
}

// TestNoKeyOutlivesItsLeaseBehindHubs takes a key away while a large fleet is
// disturbed and messages are seconds old: once the lease has passed since the change was
// committed, no host uses the key, whatever it was told by whom.
func TestNoKeyOutlivesItsLeaseBehindHubs(t *testing.T) {
	used, taken := 0, 0
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 3))
			f := startLarge(t, leaseFleet)
			require.True(t, f.put(f.leader(), f.table(2, "k", "l"), time.Second))
			f.beat(replicaName(1), "w2", registry.Ready, 1)
			f.disturb(r)
			at := f.leader()
			if at == "" {
				t.Log("there is no leader")
				return
			}
			id := f.submit(at, f.table(3, "l"))
			f.run(500 * time.Millisecond)
			if f.states[at].Config().Gateway.Number != 3 {
				t.Log("the change was not committed")
				return
			}
			taken++
			lease := f.now.Add(requests.DefaultKeyLease)
			for f.now.Before(lease.Add(4 * time.Second)) {
				f.run(400 * time.Millisecond)
				used += f.requireLease(t, lease)
			}
			require.True(t, f.acked(id))
		})
	}
	require.Greater(t, taken, 1, "changes are committed under these faults")
	require.Positive(t, used, "some host is cut off for long enough to use the key after the change")
}

// requireLease asks every host with the key that was taken away; after the lease
// none may send the request on. It returns how many did before.
func (f *seededFleet) requireLease(t *testing.T, lease time.Time) int {
	t.Helper()
	used := 0
	for i := range leaseFleet {
		id := entryName(i)
		if f.down[id] {
			continue
		}
		if _, sent := f.ask(id, "/x/1", "k").(requests.Dispatch); sent {
			require.True(t, f.now.Before(lease), "entry %d uses the key at %s, the lease ended at %s", i, f.now, lease)
			used++
		}
	}
	return used
}
