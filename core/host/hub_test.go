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

// largeFleet has enough entry hosts, in three zones, that replicas name hubs.
const largeFleet = 60

func startLarge(t *testing.T, entries int) *seededFleet {
	f := newSeededFleet(t, 3, entries)
	f.run(8 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	f.beat(replicaName(0), "w1", registry.Ready, 1)
	f.run(2 * time.Second)
	return f
}

// askers are the hosts whose questions reach a replica within a time, and those
// that hosts ask instead.
func (f *seededFleet) askers(d time.Duration) (direct, hubs map[ident.Host]bool) {
	direct, hubs = map[ident.Host]bool{}, map[ident.Host]bool{}
	f.seen = func(p seededPacket) {
		if _, ok := p.message.(host.Poll); !ok {
			return
		}
		if f.disks[p.to] != nil {
			direct[p.from] = true
		} else {
			hubs[p.to] = true
		}
	}
	f.run(d)
	f.seen = nil
	return direct, hubs
}

func (f *seededFleet) requireServing(t *testing.T, entries int, number uint64, but ...ident.Host) {
	t.Helper()
	for i := range entries {
		id := entryName(i)
		if f.down[id] || len(but) > 0 && but[0] == id {
			continue
		}
		require.EqualValues(t, number, f.states[id].Requests().TableNumber(), "entry %d", i)
		require.True(t, f.states[id].Ready(), "entry %d", i)
		require.IsType(t, requests.Dispatch{}, f.ask(id, "/x/1", "k"), "entry %d", i)
	}
}

// anyHub is a hub that hosts ask.
func (f *seededFleet) anyHub(t *testing.T) ident.Host {
	t.Helper()
	_, hubs := f.askers(2 * time.Second)
	for i := range largeFleet {
		if hubs[entryName(i)] {
			return entryName(i)
		}
	}
	require.Fail(t, "no hub is asked")
	return ""
}

// TestReplicasOfALargeFleetAreAskedByFewHosts grows a fleet: the hosts that ask
// replicas grow far less than the fleet.
func TestReplicasOfALargeFleetAreAskedByFewHosts(t *testing.T) {
	for _, entries := range []int{30, largeFleet, 150} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := startLarge(t, entries)
			direct, _ := f.askers(3 * time.Second)
			if entries == 30 {
				require.Len(t, direct, entries)
			} else {
				require.Less(t, len(direct), 8+entries/8)
			}
			f.requireServing(t, entries, 1)
			f.requireDumped(t, entries)
		})
	}
}

// requireDumped compares the dump of a host with the fleet.
func (f *seededFleet) requireDumped(t *testing.T, entries int) {
	t.Helper()
	d := f.states[entryName(0)].Dump(f.now).Sync
	require.Equal(t, entries, d.Hosts)
	require.Equal(t, 1, d.Workers)
	require.Equal(t, entries > 40, len(d.Hubs) > 0)
	for _, asked := range d.Asks {
		require.Equal(t, d.Serves || len(d.Hubs) == 0, f.disks[asked] != nil, "%s", asked)
	}
	leader := f.states[f.leader()].Dump(f.now).Sync
	require.True(t, leader.Serves)
	require.Positive(t, leader.Askers)
}

// TestChangesReachALargeFleetAtOnce changes the table, has a worker drain and
// another one join: all hosts know within a few ticks.
func TestChangesReachALargeFleetAtOnce(t *testing.T) {
	f := startLarge(t, largeFleet)
	require.True(t, f.put(f.leader(), f.table(2, "k"), 500*time.Millisecond))
	f.requireServing(t, largeFleet, 2)
	f.beat(replicaName(1), "w2", registry.Ready, 1)
	f.beat(replicaName(2), "w1", registry.Draining, 2)
	f.run(300 * time.Millisecond)
	for i := range largeFleet {
		d, ok := f.ask(entryName(i), "/x/1", "k").(requests.Dispatch)
		require.True(t, ok)
		require.EqualValues(t, "w2", d.Worker.ID, "entry %d", i)
	}
}

// TestHostsLeaveAHubThatIsLost kills a hub, and freezes another: hosts ask others,
// learn of a table that is put in force right after, and are never unready.
func TestHostsLeaveAHubThatIsLost(t *testing.T) {
	f := startLarge(t, largeFleet)
	lost := f.anyHub(t)
	f.stop(lost)
	require.True(t, f.put(f.leader(), f.table(2, "k"), 2*time.Second))
	f.requireServing(t, largeFleet, 2)
	f.run(8 * time.Second)
	_, hubs := f.askers(2 * time.Second)
	require.False(t, hubs[lost])
	f.requireServing(t, largeFleet, 2)
	require.Equal(t, largeFleet-1, f.hostsCounted())
}

// hostsCounted is how many hosts the leader told.
func (f *seededFleet) hostsCounted() int {
	n := 0
	f.seen = func(p seededPacket) {
		if m, ok := p.message.(host.PollReply); ok && m.Fresh && p.from == f.leader() {
			n = m.Hosts
		}
	}
	f.run(time.Second)
	f.seen = nil
	return n
}

// TestHostsLeaveAHubThatIsCutOff cuts a hub off from replicas only: it answers,
// but knows nothing new.
func TestHostsLeaveAHubThatIsCutOff(t *testing.T) {
	f := startLarge(t, largeFleet)
	hub := f.anyHub(t)
	for i := range 3 {
		f.cut[[2]ident.Host{hub, replicaName(i)}] = true
		f.cut[[2]ident.Host{replicaName(i), hub}] = true
	}
	f.run(3 * time.Second)
	id := f.commit(f.leader(), f.table(2, "k"))
	f.run(500 * time.Millisecond)
	f.requireServing(t, largeFleet, 2, hub)
	f.run(5 * time.Second)
	f.requireServing(t, largeFleet, 2, hub)
	require.True(t, f.acked(id))
}

// TestKeyLeaseHoldsBehindAHub cuts a zone off from all replicas, its hubs
// included: no host there uses a key for longer than the lease.
func TestKeyLeaseHoldsBehindAHub(t *testing.T) {
	f := startLarge(t, largeFleet)
	for i := range largeFleet {
		for r := range 3 {
			f.cut[[2]ident.Host{entryName(i), replicaName(r)}] = true
			f.cut[[2]ident.Host{replicaName(r), entryName(i)}] = true
		}
	}
	f.run(requests.DefaultKeyLease)
	for i := range largeFleet {
		require.Equal(t, requests.CodeStale, codeOf(t, f.ask(entryName(i), "/x/1", "k")), "entry %d", i)
	}
	clear(f.cut)
	f.run(2 * time.Second)
	f.requireServing(t, largeFleet, 1)
}

// TestAllHubsAreLost stops all hubs at once: hosts ask replicas until others are
// named.
func TestAllHubsAreLost(t *testing.T) {
	f := startLarge(t, largeFleet)
	_, hubs := f.askers(2 * time.Second)
	for hub := range hubs {
		f.stop(hub)
	}
	f.run(9 * time.Second)
	f.requireServing(t, largeFleet, 1)
	direct, _ := f.askers(2 * time.Second)
	require.Less(t, len(direct), 30)
}

// TestReplicasRestartBehindHubs restarts all replicas: the fleet is served again
// soon and hubs stay few.
func TestReplicasRestartBehindHubs(t *testing.T) {
	f := startLarge(t, largeFleet)
	for i := range 3 {
		f.stop(replicaName(i))
		f.start(replicaName(i))
	}
	f.run(7 * time.Second)
	f.beat(replicaName(1), "w1", registry.Ready, 3)
	f.run(500 * time.Millisecond)
	f.requireServing(t, largeFleet, 1)
	direct, _ := f.askers(2 * time.Second)
	require.Less(t, len(direct), 20)
}

// TestLoadsAreToldThroughHubs has each host send a request to one worker: each
// host counts all of them, once.
func TestLoadsAreToldThroughHubs(t *testing.T) {
	f := startLarge(t, largeFleet)
	for i := range largeFleet {
		require.IsType(t, requests.Dispatch{}, f.ask(entryName(i), "/x/1", "k"))
	}
	f.run(3 * time.Second)
	for i := range largeFleet {
		require.Equal(t, largeFleet, f.loadSeen(entryName(i)), "entry %d", i)
	}
	hub := f.anyHub(t)
	f.reduce(hub, host.Drain{})
	f.run(8 * time.Second)
	for i := range largeFleet {
		require.Equal(t, largeFleet, f.loadSeen(entryName(i)), "entry %d, after a hub's planned stop", i)
	}
}

// TestHeartbeatsTravelThroughHubs has relays hear many workers of a large fleet
// for longer than a worker may be silent.
func TestHeartbeatsTravelThroughHubs(t *testing.T) {
	f := startRelayed(t, largeFleet)
	for range 12 {
		f.beatAll()
		f.run(time.Second)
	}
	used := map[ident.Host]bool{}
	for _, relay := range f.relay {
		used[relay] = true
	}
	require.Greater(t, len(used), largeFleet/2, "replicas know the relays behind hubs")
	for i := range largeFleet {
		require.Equal(t, manyWorkers, f.usableAt(entryName(i)), "entry %d", i)
	}
}

// TestChangesAreToldToAFewHostsATick has a worker come at a replica that many hosts
// ask: in each tick it tells a bounded number of them, and soon all.
func TestChangesAreToldToAFewHostsATick(t *testing.T) {
	const entries = 39
	f := startLarge(t, entries)
	told := map[time.Time]int{}
	f.seen = func(p seededPacket) {
		if m, ok := p.message.(host.PollReply); ok && m.Round == 0 && p.from == replicaName(1) {
			told[f.now]++
		}
	}
	f.beat(replicaName(1), "w2", registry.Ready, 1)
	f.run(4 * seededStep)
	for at, n := range told {
		require.LessOrEqual(t, n, 16, "%s", at)
	}
	for i := range entries {
		_, known := f.states[entryName(i)].Requests().Worker("w2")
		require.True(t, known, "entry %d", i)
	}
}

// TestRelaysOfAVeryLargeFleet has workers come for the first time: each is sent to a
// relay of its zone with its first heartbeat, and a relay that gets too many of them
// sends some back.
func TestRelaysOfAVeryLargeFleet(t *testing.T) {
	const entries = 120
	f := startLarge(t, entries)
	answer := func(at ident.Host, id string) host.HeartbeatAnswer {
		f.beats = nil
		f.reduce(at, host.HeartbeatReceived{Worker: registry.Worker{ID: ident.Target(id), Pool: "pool", Zone: "z1", Address: "10.9.9.9:80", Slots: 4, Seq: 1}})
		require.Len(t, f.beats, 1)
		return f.beats[0]
	}
	first := answer(replicaName(0), "new")
	relay, ok := strings.CutPrefix(first.Relay, "relay at ")
	require.True(t, first.Accepted && ok, "%#v", first)
	require.EqualValues(t, "z1", f.zoneOf(ident.Host(relay)))
	taken := 0
	for i := range 100 {
		if answer(ident.Host(relay), fmt.Sprint("many-", i)).Accepted {
			taken++
		}
	}
	require.Greater(t, taken, 10)
	require.Less(t, taken, 30)
}
