// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// inForceTime is the default time after an acknowledgement in which a table must be in
// force, and a step of the fleet's clock.
const inForceTime = 2*time.Second + seededStep

// submit hands a route table to a replica, and returns under which id it is answered.
func (f *seededFleet) submit(at ident.Host, g config.RouteTable) string {
	f.starts++
	id := fmt.Sprintf("write-%d", f.starts)
	f.reduce(at, host.WriteSubmitted{
		Write:    catalog.Write{ID: id, Command: catalog.Edit{Change: config.PutRouteTable{Gateway: g}}},
		Deadline: f.now.Add(20 * time.Second),
	})
	return id
}

// acked tells whether a write has been answered well.
func (f *seededFleet) acked(id string) bool {
	return f.writes[id].Known && f.writes[id].Result.Code == catalog.OK
}

// silence loses all that is sent to a host from now on.
func (f *seededFleet) silence(id ident.Host) {
	f.hold = func(p seededPacket) time.Duration {
		if p.to == id {
			return time.Hour
		}
		return 0
	}
}

// runUntilAcked runs until a write is acknowledged, and returns how long that took.
func (f *seededFleet) runUntilAcked(t *testing.T, id string, limit time.Duration) time.Duration {
	t.Helper()
	begun := f.now
	for !f.acked(id) {
		require.Less(t, f.now.Sub(begun), limit, "no acknowledgement")
		f.run(seededStep)
	}
	return f.now.Sub(begun)
}

// requireNothingOlder asks an entry host for what only tables before number allow, and
// for what that table has brought.
func (f *seededFleet) requireNothingOlder(t *testing.T, at ident.Host, number uint64, oldKey string) {
	t.Helper()
	_, served := f.ask(at, "/x/1", oldKey).(requests.Dispatch)
	require.False(t, served, "%s serves a key that is gone", at)
	if d, ok := f.ask(at, fmt.Sprintf("/only-%d/1", number), "new").(requests.Finish); ok {
		require.NotContains(t, []requests.Code{requests.CodeNoRoute, requests.CodeBadKey}, d.Verdict.Code,
			"%s refuses what table %d has brought", at, number)
	}
}

// TestAcknowledgedTableIsInForce checks what an acknowledgement promises: two seconds
// later no host serves by a table before.
func TestAcknowledgedTableIsInForce(t *testing.T) {
	t.Run("one host silenced", testSilencedHost)
	t.Run("sent again", testTableSentAgain)
	t.Run("nothing disturbed", testNothingDisturbed)
}

// testSilencedHost loses all that is sent to one entry host from the
// moment at which a table is changed. The host has done nothing wrong, and its lease on
// the table before runs for four seconds: the acknowledgement must not come before it
// is sure that the host stops in time.
func testSilencedHost(t *testing.T) {
	for _, at := range []string{"leader", "follower"} {
		t.Run(at, func(t *testing.T) {
			f := newSeededFleet(t, 3, 3)
			f.run(5 * time.Second)
			require.True(t, f.put(f.leader(), f.table(1, "old"), time.Second))
			f.beat(replicaName(1), "w1", registry.Ready, 1)
			f.run(time.Second)
			require.IsType(t, requests.Dispatch{}, f.ask(entryName(0), "/x/1", "old"))
			f.silence(entryName(0))
			to := f.leader()
			if at == "follower" {
				to = f.follower()
			}
			id := f.submit(to, f.table(2, "new"))
			took := f.runUntilAcked(t, id, 5*time.Second)
			require.LessOrEqual(t, took, 2500*time.Millisecond, "an acknowledgement waits no longer than leases need")
			f.run(inForceTime)
			for range 80 {
				f.requireNothingOlder(t, entryName(0), 2, "old")
				f.run(seededStep)
			}
		})
	}
}

// testTableSentAgain sends a change to one replica, and the
// same one to the others before the first has answered: none of them may say that it
// is in force while one host serves by the table before.
func testTableSentAgain(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "old"), time.Second))
	f.beat(replicaName(1), "w1", registry.Ready, 1)
	f.run(time.Second)
	f.silence(entryName(0))
	ids := make([]string, 0, 4)
	ids = append(ids, f.submit(replicaName(0), f.table(2, "new")))
	f.run(400 * time.Millisecond)
	for i := range 3 {
		ids = append(ids, f.submit(replicaName(i), f.table(2, "new")))
	}
	acked := time.Time{}
	for range 160 {
		f.run(seededStep)
		for _, id := range ids {
			if acked.IsZero() && f.acked(id) {
				acked = f.now
			}
		}
		if !acked.IsZero() && f.now.Sub(acked) > inForceTime {
			f.requireNothingOlder(t, entryName(0), 2, "old")
		}
	}
	for _, id := range ids {
		require.True(t, f.acked(id), id)
	}
}

// testNothingDisturbed changes tables while nothing is
// disturbed: an acknowledgement takes a few messages, whoever is asked.
func testNothingDisturbed(t *testing.T) {
	for _, entries := range []int{0, 6, largeFleet} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := newSeededFleet(t, 3, entries)
			f.run(12 * time.Second)
			for number := uint64(1); number <= 4; number++ {
				id := f.submit(replicaName(int(number)%3), f.table(number, "k"))
				require.LessOrEqual(t, f.runUntilAcked(t, id, 2*time.Second), 500*time.Millisecond, "table %d", number)
				for i := range entries {
					if number == 1 {
						// It takes the place of none, so nobody serves by an older one.
						break
					}
					require.EqualValues(t, number, f.states[entryName(i)].Requests().TableNumber(), "entry %d", i)
				}
				f.run(time.Second)
			}
		})
	}
}

// TestNoHostServesByATableOlderThanAcknowledged draws faults while tables change: held
// messages, cuts, stops and starts of entry hosts and, in half of the draws, of the
// leader.
func TestNoHostServesByATableOlderThanAcknowledged(t *testing.T) {
	for seed := range uint64(24) {
		entries := 5
		if seed%4 == 3 {
			entries = leaseFleet
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 25))
			f := newSeededFleet(t, 3, entries)
			f.run(8 * time.Second)
			require.True(t, f.put(f.leader(), f.table(1, "key-1"), 3*time.Second))
			f.beat(replicaName(1), "w1", registry.Ready, 1)
			f.run(2 * time.Second)
			slow := map[ident.Host]time.Duration{}
			f.hold = func(p seededPacket) time.Duration { return slow[p.from] + slow[p.to] }
			acks := map[uint64]time.Time{}
			pending := map[uint64]string{}
			number := uint64(1)
			for step := range 160 {
				f.injectFault(r, entries, slow, leaderFaults{cut: seed%2 == 0})
				if step%20 == 0 {
					number++
					at := replicaName(r.IntN(3))
					pending[number] = f.submit(at, f.table(number, fmt.Sprint("key-", number)))
				}
				f.run(100 * time.Millisecond)
				for n, id := range pending {
					if f.acked(id) && acks[n].IsZero() {
						acks[n] = f.now
					}
				}
				f.requireInForce(t, entries, acks)
			}
			require.NotEmpty(t, acks)
		})
	}
}

// requireInForce asks each live entry host for what was taken away by tables that were
// acknowledged long enough ago.
func (f *seededFleet) requireInForce(t *testing.T, entries int, acks map[uint64]time.Time) {
	t.Helper()
	for n, at := range acks {
		if f.now.Sub(at) <= inForceTime {
			continue
		}
		for i := range entries {
			if id := entryName(i); !f.down[id] {
				_, served := f.ask(id, "/x/1", fmt.Sprint("key-", n-1)).(requests.Dispatch)
				require.False(t, served, "%s serves by a table before %d, %s after its acknowledgement", id, n, f.now.Sub(at))
			}
		}
	}
}

// TestHostThatKnowsOfANewerTableStops tells a host of a newer table and lets no table
// reach it: once its lease is over it serves nothing by the older one, public routes
// included.
func TestHostThatKnowsOfANewerTableStops(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	g := f.table(1, "k")
	g.Routes[0].Public = true
	require.True(t, f.put(f.leader(), g, time.Second))
	f.beat(replicaName(1), "w1", registry.Ready, 1)
	f.run(time.Second)
	require.IsType(t, requests.Dispatch{}, f.ask(entryName(0), "/x/1", ""))
	f.hold = func(p seededPacket) time.Duration {
		a, ok := p.message.(host.PollReply)
		if ok && p.to == entryName(0) && len(a.Gateway) > 0 {
			return time.Hour
		}
		return 0
	}
	id := f.submit(f.leader(), f.table(2, "k"))
	f.runUntilAcked(t, id, 5*time.Second)
	f.run(inForceTime)
	require.Equal(t, requests.CodeStale, codeOf(t, f.ask(entryName(0), "/x/1", "")))
	require.False(t, f.states[entryName(0)].Ready())
}
