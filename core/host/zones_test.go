// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/zones"
)

// orderZone hands an order for a zone to a replica, and returns under which id it is answered.
func (f *seededFleet) orderZone(at ident.Host, zone ident.Zone, drained bool) string {
	f.starts++
	id := fmt.Sprintf("order-%d", f.starts)
	f.reduce(at, host.WriteSubmitted{
		Write:    catalog.Write{ID: id, Remember: true, Command: catalog.ChangeZone{Change: zones.Change{Zone: zone, Drained: drained}}},
		Deadline: f.now.Add(20 * time.Second),
	})
	return id
}

// beatIn has a worker of a zone register at a replica.
func (f *seededFleet) beatIn(at ident.Host, id string, zone ident.Zone, seq uint64) {
	f.reduce(at, host.HeartbeatReceived{Worker: registry.Worker{
		ID: ident.Target(id), Pool: "pool", Zone: zone, Address: "10.9.9.9:" + fmt.Sprint(80+len(id)), Slots: 4, State: registry.Ready, Seq: seq,
	}})
}

// sentTo is the zone of the worker to which an entry host sends a request, which is answered
// at once; empty where it sends it to none.
func (f *seededFleet) sentTo(at ident.Host) ident.Zone {
	d, ok := f.sendRequest(at, "/x/1", "k").(requests.Dispatch)
	if !ok {
		return ""
	}
	f.reduce(at, host.RequestEvent{Event: requests.AttemptEnded{
		Request: d.Request, Attempt: d.Attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true,
	}})
	return d.Worker.Zone
}

// startDraining is a fleet that serves from two zones, one of which is about to be drained.
func startDraining(t *testing.T, entries int) *seededFleet {
	f := newSeededFleet(t, 3, entries)
	f.run(8 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
	f.beatIn(replicaName(0), "w", "hall-a", 1)
	f.beatIn(replicaName(1), "ww", "hall-b", 1)
	f.run(2 * time.Second)
	return f
}

// TestOrderIsAcknowledgedSoon drains a zone while nothing is disturbed, in fleets without and
// with hubs: an operator waits less than the second from which on waiting is charged.
func TestOrderIsAcknowledgedSoon(t *testing.T) {
	for _, entries := range []int{3, 30, 72, 150} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := startDraining(t, entries)
			for _, drained := range []bool{true, false} {
				took := f.runUntilAcked(t, f.orderZone(f.anyFollower(), "hall-b", drained), 5*time.Second)
				t.Logf("drained=%t after %s", drained, took)
				require.Less(t, took, time.Second)
				for i := range entries {
					require.Equal(t, drained, f.states[entryName(i)].DrainedZones().IsDrained("hall-b"))
				}
			}
		})
	}
}

// zoneDrained is the time after an order's acknowledgement in which a zone must be drained,
// and a step of the fleet's clock.
const zoneDrained = requests.DefaultZoneDrain + seededStep

// orderedZones remembers what an operator ordered, and what was acknowledged.
type orderedZones struct {
	f *seededFleet
	// pending is the newest order of each zone, drainedAt when a drain was acknowledged that
	// nothing followed.
	pending   map[ident.Zone]string
	drained   map[ident.Zone]bool
	drainedAt map[ident.Zone]time.Time
	acks      int
}

func newOrderedZones(f *seededFleet) *orderedZones {
	return &orderedZones{
		f: f, pending: map[ident.Zone]string{}, drained: map[ident.Zone]bool{}, drainedAt: map[ident.Zone]time.Time{},
	}
}

// give sends an order to a replica, again where it was not acknowledged before.
func (o *orderedZones) give(at ident.Host, zone ident.Zone, drained bool) {
	if o.drained[zone] != drained || !drained {
		delete(o.drainedAt, zone)
	}
	o.drained[zone] = drained
	o.pending[zone] = o.f.orderZone(at, zone, drained)
}

// look takes note of acknowledgements, and checks that no entry host sends anything to zones
// that were drained long enough ago.
func (o *orderedZones) look(t *testing.T, entries int) {
	t.Helper()
	for zone, id := range o.pending {
		if o.f.isAcknowledged(id) {
			delete(o.pending, zone)
			o.acks++
			if at := o.drainedAt[zone]; o.drained[zone] && at.IsZero() {
				o.drainedAt[zone] = o.f.now
			}
		}
	}
	for zone, at := range o.drainedAt {
		if o.f.now.Sub(at) <= zoneDrained {
			continue
		}
		for i := range entries {
			if id := entryName(i); !o.f.down[id] {
				require.NotEqual(t, zone, o.f.sentTo(id), "%s, %s after the acknowledgement", id, o.f.now.Sub(at))
			}
		}
	}
}

// TestNoHostSendsToADrainedZone draws faults while zones are drained and taken back and the
// route table changes: held messages, cuts, stops and starts of entry hosts, leaders that are
// cut off or lose their disks. In half of the draws some entry hosts run an earlier program.
func TestNoHostSendsToADrainedZone(t *testing.T) {
	for seed := range uint64(24) {
		entries := 5
		if seed%6 == 5 {
			entries = leaseFleet
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 42))
			f := startDraining(t, entries)
			f.run(3 * time.Second)
			if seed%2 == 1 {
				f.earlierHosts = map[ident.Host]bool{entryName(0): true, entryName(3): true}
			}
			o, number, seq := newOrderedZones(f), uint64(1), uint64(1)
			slow := map[ident.Host]time.Duration{}
			f.delay = func(p seededPacket) time.Duration { return slow[p.from] + slow[p.to] }
			for step := range 240 {
				f.drawFault(r, entries, slow, leaderFaults{cut: seed%3 == 0, stop: seed%3 == 1})
				if step%12 == 0 {
					seq++
					f.beatIn(replicaName(r.IntN(3)), "w", "hall-a", seq)
					f.beatIn(replicaName(r.IntN(3)), "ww", "hall-b", seq)
				}
				switch r.IntN(40) {
				case 0, 1:
					zone := []ident.Zone{"hall-a", "hall-b"}[r.IntN(2)]
					o.give(replicaName(r.IntN(3)), zone, r.IntN(3) > 0)
				case 2:
					number++
					f.submitTable(replicaName(r.IntN(3)), f.table(number, "k"))
				}
				f.run(100 * time.Millisecond)
				o.look(t, entries)
			}
			require.Positive(t, o.acks)
		})
	}
}

// TestOrdersOutliveTheirFleet drains a zone, then kills the leader, loses a disk, changes the
// route table, takes all power and replaces a replica: the zone stays drained until an order
// takes it back.
func TestOrdersOutliveTheirFleet(t *testing.T) {
	f := startDraining(t, 4)
	f.runUntilAcked(t, f.orderZone(f.leader(), "hall-b", true), time.Second)
	f.run(zoneDrained)
	requireDrained := func(what string) {
		t.Helper()
		for i := range 4 {
			require.Equal(t, ident.Zone("hall-a"), f.sentTo(entryName(i)), "%s: entry %d", what, i)
		}
	}
	requireDrained("acknowledged")
	leader := f.leader()
	f.stop(leader)
	f.run(4 * time.Second)
	requireDrained("the leader was killed")
	f.addReplica(leader, false)
	f.run(6 * time.Second)
	requireDrained("its disk was lost")
	require.True(t, f.putTable(f.leader(), f.table(2, "k"), time.Second))
	require.True(t, f.putTable(f.leader(), f.table(2, "k"), time.Second), "sent again")
	requireDrained("the route table changed")
	for _, id := range f.order {
		f.stop(id)
	}
	f.run(time.Second)
	for _, id := range f.order {
		f.start(id)
	}
	f.run(3 * time.Second)
	f.beatIn(replicaName(0), "w", "hall-a", 5)
	f.beatIn(replicaName(1), "ww", "hall-b", 5)
	f.run(2 * time.Second)
	requireDrained("all power was lost")
	f.runUntilAcked(t, f.orderZone(f.anyFollower(), "hall-b", false), time.Second)
	f.run(time.Second)
	served := map[ident.Zone]bool{}
	for range 20 {
		served[f.sentTo(entryName(0))] = true
	}
	require.True(t, served["hall-b"])
}

// TestCutOffHostStopsByItsLease cuts one entry host off, drains a zone, and lets the host
// live on: it sends there only while its lease holds.
func TestCutOffHostStopsByItsLease(t *testing.T) {
	f := startDraining(t, 3)
	f.dropMessagesTo(entryName(0))
	took := f.runUntilAcked(t, f.orderZone(f.leader(), "hall-b", true), 5*time.Second)
	require.LessOrEqual(t, took, time.Second, "a host that is lost keeps no operator waiting")
	f.run(zoneDrained)
	for range 40 {
		require.NotEqual(t, ident.Zone("hall-b"), f.sentTo(entryName(0)))
		f.run(seededStep)
	}
}

// TestEarlierProgramsObeyOrders drains a zone and takes it back while some entry hosts, hubs
// among them, run a program that knows nothing of zones: they are told that its workers leave
// and that they are ready again.
func TestEarlierProgramsObeyOrders(t *testing.T) {
	for _, entries := range []int{6, leaseFleet} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := startDraining(t, entries)
			f.run(4 * time.Second)
			f.earlierHosts = map[ident.Host]bool{}
			for i := 0; i < entries; i += 2 {
				f.earlierHosts[entryName(i)] = true
			}
			f.run(2 * time.Second)
			seq := uint64(1)
			for range 2 {
				for _, drained := range []bool{true, false} {
					f.runUntilAcked(t, f.orderZone(f.leader(), "hall-b", drained), 4*time.Second)
					for range 5 {
						seq++
						f.beatIn(replicaName(0), "w", "hall-a", seq)
						f.beatIn(replicaName(1), "ww", "hall-b", seq)
						f.run(time.Second)
					}
					f.run(seededStep)
					f.requireSent(t, entries, drained)
				}
			}
		})
	}
}

// TestNoOrderIsAcknowledgedBesideAnEarlierReplica runs an earlier program on one replica: an
// order has no answer until it is replaced.
func TestNoOrderIsAcknowledgedBesideAnEarlierReplica(t *testing.T) {
	f := startDraining(t, 3)
	f.earlierHosts = map[ident.Host]bool{f.anyFollower(): true}
	f.run(time.Second)
	id := f.orderZone(f.leader(), "hall-b", true)
	f.run(6 * time.Second)
	require.False(t, f.isAcknowledged(id))
	f.earlierHosts = nil
	f.runUntilAcked(t, id, 6*time.Second)
}

// requireSent checks that every host sends to the zone, or that none does.
func (f *seededFleet) requireSent(t *testing.T, entries int, drained bool) {
	t.Helper()
	for i := range entries {
		sent := map[ident.Zone]bool{}
		for range 12 {
			sent[f.sentTo(entryName(i))] = true
		}
		require.True(t, sent["hall-a"], "entry %d", i)
		require.Equal(t, !drained, sent["hall-b"], "entry %d, earlier program %t", i, f.earlierHosts[entryName(i)])
	}
}

// zoneInput is an order for a zone, or a read of it.
type zoneInput struct{ read, drained bool }

// drainedZone is one zone as one copy: an acknowledged order holds until the next one, and an
// order without an answer may count once, at any time, or never.
var drainedZone = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		in := input.(zoneInput)
		if in.read {
			return state.(bool) == output.(bool), state
		}
		return true, in.drained
	},
}

// TestRacingOrdersAreLinearizable lets several operators drain one zone and take it back, at
// replicas whose messages are held up, while leaders are cut off. An operator gives up after a
// while, and its order must not take effect where a later one has been acknowledged since.
// Reads are those of a leader with a lease.
func TestRacingOrdersAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 7))
			f := startDraining(t, 2)
			slow := map[ident.Host]time.Duration{}
			f.delay = func(p seededPacket) time.Duration { return slow[p.from] + slow[p.to] }
			var history []porcupine.Operation
			open := map[string]int{}
			at := func() int64 { return f.now.UnixNano() }
			for range 300 {
				if r.IntN(3) == 0 && len(open) < 4 {
					in := zoneInput{drained: r.IntN(2) == 0}
					open[f.orderZone(replicaName(r.IntN(3)), "hall-b", in.drained)] = len(history)
					history = append(history, porcupine.Operation{ClientId: len(history), Input: in, Call: at(), Return: math.MaxInt64})
				}
				switch r.IntN(12) {
				case 0:
					slow[replicaName(r.IntN(3))] = time.Duration(r.IntN(400)) * time.Millisecond
				case 1:
					clear(slow)
				case 2:
					if leader := f.leader(); leader != "" && r.IntN(4) == 0 {
						f.partition(leader, true)
						f.run(1500 * time.Millisecond)
						f.partition(leader, false)
					}
				}
				f.run(time.Duration(1+r.IntN(4)) * seededStep)
				for id, i := range open {
					switch w, done := f.writes[id]; {
					case !done:
					case w.Known && w.Result.Code == catalog.OK:
						history[i].Return = at()
						delete(open, id)
					case w.Known:
						// It was overtaken, and had no effect.
						history[i].Input = zoneInput{read: true}
						history[i].Output, history[i].Call, history[i].Return = nil, 0, 0
						delete(open, id)
					}
				}
				if leader := f.leader(); leader != "" {
					history = append(history, porcupine.Operation{
						ClientId: len(history), Input: zoneInput{read: true}, Output: f.states[leader].DrainedZones().IsDrained("hall-b"), Call: at(), Return: at() + 1,
					})
				}
			}
			requireLinearizable(t, history)
		})
	}
}

// requireLinearizable checks a history without the orders that had no effect.
func requireLinearizable(t *testing.T, history []porcupine.Operation) {
	t.Helper()
	var kept []porcupine.Operation
	for _, op := range history {
		if op.Input.(zoneInput).read && op.Output == nil {
			continue
		}
		kept = append(kept, op)
	}
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(drainedZone, kept, 30*time.Second))
}
