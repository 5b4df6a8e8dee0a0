// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// seededDisk is what survives a stop of a replica.
type seededDisk struct {
	identity ident.Host
	boot     raft.Boot
	// crashes is the list of crashes as of keptAt.
	crashes []host.CrashEntry
	keptAt  time.Time
}

func (d *seededDisk) write(p raft.Persist) {
	d.boot.Hard = p.Hard
	for _, e := range p.Entries {
		for n := len(d.boot.Entries); n > 0 && d.boot.Entries[n-1].Index >= e.Index; n = len(d.boot.Entries) {
			d.boot.Entries = d.boot.Entries[:n-1]
		}
		d.boot.Entries = append(d.boot.Entries, e)
	}
	if p.Snapshot != nil {
		d.boot.Snapshot = *p.Snapshot
		for len(d.boot.Entries) > 0 && d.boot.Entries[0].Index <= p.Snapshot.Index {
			d.boot.Entries = d.boot.Entries[1:]
		}
	}
}

type seededPacket struct {
	from, to ident.Host
	message  host.Message
}

// seededFleet is a small fleet found through seeds, under one clock, with
// memory for disks and a network that can be cut.
type seededFleet struct {
	t       *testing.T
	now     time.Time
	states  map[ident.Host]host.State
	disks   map[ident.Host]*seededDisk
	order   []ident.Host
	seeds   []ident.Host
	down    map[ident.Host]bool
	cut     map[[2]ident.Host]bool
	wire    []seededPacket
	writes  map[string]host.AnswerWrite
	reads   map[string]bool
	decided []requests.Decision
	starts  uint64
	voters  int
	// beats are the answers to workers.
	beats []host.HeartbeatAnswer
	// seen, where set, is shown each message that arrives.
	seen func(seededPacket)
	// older are hosts that run a program which neither sends nor reads crashes and zones.
	older map[ident.Host]bool
	// hold, where set, is how long a message stays on its way; held are those that
	// do.
	hold func(seededPacket) time.Duration
	held []heldPacket
	// decision, where set, is shown what each host decides on requests.
	decision func(ident.Host, requests.Decision)
	// entryStart is how long requests wait for an entry host that starts.
	entryStart time.Duration
}

// heldPacket is a message that arrives later.
type heldPacket struct {
	seededPacket
	due time.Time
}

func replicaName(i int) ident.Host { return ident.Host(fmt.Sprintf("10.0.0.%d:7000", i+1)) }
func entryName(i int) ident.Host   { return ident.Host(fmt.Sprintf("10.0.1.%d:7000", i+1)) }

// newSeededFleet starts n replicas, the first three of which are the seeds, and
// m entry hosts.
func newSeededFleet(t *testing.T, n, m int) *seededFleet {
	f := &seededFleet{
		t: t, now: time.Unix(5000, 0), states: map[ident.Host]host.State{}, disks: map[ident.Host]*seededDisk{},
		down: map[ident.Host]bool{}, cut: map[[2]ident.Host]bool{}, writes: map[string]host.AnswerWrite{},
		reads: map[string]bool{}, voters: min(5, n-1+n%2),
	}
	for i := range min(3, n) {
		f.seeds = append(f.seeds, replicaName(i))
	}
	for i := range n {
		f.addReplica(replicaName(i), i < len(f.seeds))
	}
	for i := range m {
		f.order = append(f.order, entryName(i))
		f.start(entryName(i))
	}
	return f
}

// addReplica starts a replica with an empty disk.
func (f *seededFleet) addReplica(id ident.Host, founder bool) {
	f.starts++
	d := &seededDisk{identity: id.WithDisk(fmt.Sprintf("disk-%d", f.starts))}
	if founder {
		d.identity = id.WithDisk("first")
		for _, s := range f.seeds {
			d.boot.Snapshot.Members = append(d.boot.Snapshot.Members, raft.Member{ID: s.WithDisk("first"), Voter: true})
		}
	}
	if _, known := f.disks[id]; !known {
		f.order = append(f.order, id)
	}
	f.disks[id] = d
	f.start(id)
}

func (f *seededFleet) start(id ident.Host) {
	f.starts++
	s := host.Settings{
		ID: id, Zone: f.zoneOf(id), Seeds: f.seeds, Incarnation: f.starts, Voters: f.voters, Serves: f.disks[id] == nil,
		Requests: requests.Settings{Zone: f.zoneOf(id), StartupTimeout: f.entryStart},
	}
	d := f.disks[id]
	if d != nil {
		s.Identity = d.identity
	} else {
		s.RelayAddress = "relay at " + string(id)
	}
	state := host.New(s, 7, f.now)
	if d != nil {
		var err error
		state, err = state.WithReplicaState(d.boot, f.now)
		require.NoError(f.t, err)
		aged := slices.Clone(d.crashes)
		for i := range aged {
			aged[i].Age += f.now.Sub(d.keptAt)
		}
		state = state.WithCrashList(aged, f.now)
	}
	f.states[id], f.down[id] = state, false
}

// zoneOf spreads the hosts over three zones.
func (f *seededFleet) zoneOf(id ident.Host) ident.Zone {
	return ident.Zone(fmt.Sprint("z", slices.Index(f.order, id)%3))
}

func (f *seededFleet) stop(id ident.Host) { f.down[id] = true }

func (f *seededFleet) cutOff(id ident.Host, off bool) {
	for _, other := range f.order {
		f.cut[[2]ident.Host{id, other}] = off
		f.cut[[2]ident.Host{other, id}] = off
	}
}

func (f *seededFleet) reduce(id ident.Host, ev host.Event) {
	if f.down[id] {
		return
	}
	next, effects := host.Reduce(f.states[id], ev, f.now)
	f.states[id] = next
	for _, e := range effects {
		switch e := e.(type) {
		case host.Send:
			f.wire = append(f.wire, seededPacket{id, e.To, e.Message})
		case host.Persist:
			f.disks[id].write(e.Persist)
			for _, s := range e.Persist.Then {
				to, m := f.states[id].Envelope(s)
				f.wire = append(f.wire, seededPacket{id, to, m})
			}
			f.reduce(id, host.EntriesPersisted{Persisted: raft.Persisted{Index: e.Persist.Index, Term: e.Persist.Term}})
		case host.PersistCrashes:
			f.disks[id].crashes, f.disks[id].keptAt = e.Entries, f.now
		case host.AnswerWrite:
			f.writes[e.ID] = e
		case host.AnswerRead:
			f.reads[e.ID] = e.Current
		case host.RequestDecision:
			f.decided = append(f.decided, e.Decision)
			if f.decision != nil {
				f.decision(id, e.Decision)
			}
		case host.HeartbeatAnswer:
			f.beats = append(f.beats, e)
		}
	}
}

const seededStep = 50 * time.Millisecond

func (f *seededFleet) run(d time.Duration) {
	for range int(d / seededStep) {
		f.now = f.now.Add(seededStep)
		for _, id := range f.order {
			f.reduce(id, host.Tick{})
		}
		f.release()
		for range 6 {
			batch := f.wire
			f.wire = nil
			for _, p := range batch {
				f.carry(p)
			}
		}
	}
}

// carry delivers a message, loses it, or holds it up.
func (f *seededFleet) carry(p seededPacket) {
	if f.cut[[2]ident.Host{p.from, p.to}] || f.down[p.from] {
		return
	}
	if f.hold != nil {
		if d := f.hold(p); d > 0 {
			f.held = append(f.held, heldPacket{p, f.now.Add(d)})
			return
		}
	}
	f.deliver(p)
}

func (f *seededFleet) deliver(p seededPacket) {
	if f.older[p.from] || f.older[p.to] {
		p.message = asEarlierVersion(p.message)
	}
	if f.seen != nil {
		f.seen(p)
	}
	f.reduce(p.to, host.MessageReceived{From: p.from, Message: p.message})
}

// release delivers what was held up until now.
func (f *seededFleet) release() {
	var later []heldPacket
	for _, p := range f.held {
		if p.due.After(f.now) {
			later = append(later, p)
			continue
		}
		f.deliver(p.seededPacket)
	}
	f.held = later
}

func (f *seededFleet) leader() ident.Host {
	for _, id := range f.order {
		if s := f.states[id]; !f.down[id] && s.Raft().Active() && s.Raft().LeaseHeld(f.now) {
			return id
		}
	}
	return ""
}

func (f *seededFleet) table(number uint64, keys ...string) config.RouteTable {
	g := config.RouteTable{
		Number: number, Source: []byte(fmt.Sprintf("document %d", number)),
		Pools: []config.Pool{{ID: "pool"}},
		Routes: []config.Route{
			{Host: "a.example", Prefix: "/x/", Kind: config.RouteSafe, Timeout: config.Duration(time.Second), MaxAttempts: 2, Shares: []config.Share{{Pool: "pool", Weight: 1}}},
			{Host: "a.example", Prefix: fmt.Sprintf("/only-%d/", number), Kind: config.RouteUnsafe, Timeout: config.Duration(time.Second), Shares: []config.Share{{Pool: "pool", Weight: 1}}},
		},
	}
	for _, k := range keys {
		g.Keys = append(g.Keys, config.KeyOwner{Account: ident.Account("holder-" + k), KeyHashes: []string{k}})
	}
	return g
}

// put submits a route table at a replica and tells whether it was acknowledged
// within the limit.
func (f *seededFleet) put(at ident.Host, g config.RouteTable, limit time.Duration) bool {
	f.starts++
	id := fmt.Sprintf("write-%d", f.starts)
	f.reduce(at, host.WriteSubmitted{
		Write:    catalog.Write{ID: id, Command: catalog.Edit{Change: config.PutRouteTable{Gateway: g}}},
		Deadline: f.now.Add(limit),
	})
	f.run(limit)
	return f.writes[id].Known && f.writes[id].Result.Code == catalog.OK
}

// commit submits a route table at the leader and lets half a second pass, after which it
// must be committed. Hosts that cannot be reached then hold its acknowledgement up.
func (f *seededFleet) commit(at ident.Host, g config.RouteTable) string {
	id := f.submit(at, g)
	f.run(500 * time.Millisecond)
	require.Equal(f.t, g.Number, f.states[at].Config().Gateway.Number)
	return id
}

// ask sends a request to an entry host and returns what was decided.
func (f *seededFleet) ask(at ident.Host, path, key string) requests.Decision {
	f.starts++
	f.decided = nil
	f.reduce(at, host.RequestEvent{Event: requests.Arrived{Request: requests.Request{
		ID: ident.Request(fmt.Sprintf("r%d", f.starts)), Host: "a.example", Path: path, KeyHash: key,
	}}})
	require.Len(f.t, f.decided, 1)
	return f.decided[0]
}

func (f *seededFleet) beat(at ident.Host, id string, state registry.State, seq uint64) {
	f.reduce(at, host.HeartbeatReceived{Worker: registry.Worker{
		ID: ident.Target(id), Pool: "pool", Zone: "z", Address: "10.9.9.9:80", Slots: 4, State: state, Seq: seq,
	}})
}

func codeOf(t *testing.T, d requests.Decision) requests.Code {
	t.Helper()
	f, ok := d.(requests.Finish)
	require.True(t, ok, "%#v", d)
	return f.Verdict.Code
}

func TestSeededFleetPutsATableInForceEverywhere(t *testing.T) {
	f := newSeededFleet(t, 3, 4)
	f.run(5 * time.Second)
	require.NotEmpty(t, f.leader())
	require.Equal(t, requests.CodeNotReady, codeOf(t, f.ask(entryName(0), "/x/1", "k")))
	require.True(t, f.put(replicaName(2), f.table(3, "k"), time.Second))
	f.beat(replicaName(1), "w1", registry.Ready, 1)
	f.run(time.Second)
	for i := range 4 {
		require.True(t, f.states[entryName(i)].Ready())
		require.IsType(t, requests.Dispatch{}, f.ask(entryName(i), "/x/1", "k"))
		require.Equal(t, requests.CodeBadKey, codeOf(t, f.ask(entryName(i), "/x/1", "other")))
		require.Equal(t, requests.CodeNoRoute, codeOf(t, f.ask(entryName(i), "/y/1", "k")))
	}
}

// TestHighestNumberPrevails sends an older table and other content under the
// number held: both are taken note of and change nothing.
func TestHighestNumberPrevails(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	require.True(t, f.put(replicaName(0), f.table(9, "k"), time.Second))
	other := f.table(9, "k")
	other.Source = []byte("other content")
	require.True(t, f.put(replicaName(1), other, time.Second))
	require.True(t, f.put(replicaName(2), f.table(4, "k"), time.Second))
	for i := range 3 {
		require.Equal(t, "document 9", string(f.states[replicaName(i)].Config().Gateway.Source))
	}
	require.False(t, f.put(replicaName(0), config.RouteTable{Number: 12, Routes: []config.Route{{Host: "h"}}}, time.Second))
	require.EqualValues(t, 9, f.states[entryName(0)].Requests().TableNumber())
}

// TestEntryLeavesAReplicaThatKnowsNoLeader cuts the replica that an entry host
// asks off from the other replicas only: it answers, but knows nothing new.
func TestEntryLeavesAReplicaThatKnowsNoLeader(t *testing.T) {
	f := newSeededFleet(t, 3, 4)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	old := f.leader()
	for i := range 3 {
		f.cut[[2]ident.Host{old, replicaName(i)}] = true
		f.cut[[2]ident.Host{replicaName(i), old}] = true
	}
	f.run(4 * time.Second)
	leader := f.leader()
	require.NotEmpty(t, leader)
	require.NotEqual(t, old, leader)
	id := f.commit(leader, f.table(2, "k"))
	f.run(time.Second)
	for i := range 4 {
		require.EqualValues(t, 2, f.states[entryName(i)].Requests().TableNumber(), "entry %d", i)
		require.True(t, f.states[entryName(i)].Ready(), "entry %d", i)
	}
	require.True(t, f.acked(id))
}

// TestKeysStopWorkingWhereNothingIsConfirmed cuts an entry host off from all
// replicas: within the lease it serves no key any more.
func TestKeysStopWorkingWhereNothingIsConfirmed(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k", "l"), time.Second))
	f.beat(replicaName(0), "w1", registry.Ready, 1)
	f.run(time.Second)
	f.cutOff(entryName(0), true)
	f.run(seededStep)
	require.IsType(t, requests.Dispatch{}, f.ask(entryName(0), "/x/1", "k"))
	id := f.commit(f.leader(), f.table(2, "l"))
	f.run(requests.DefaultKeyLease)
	require.True(t, f.acked(id))
	require.Equal(t, requests.CodeStale, codeOf(t, f.ask(entryName(0), "/x/1", "k")))
	require.Equal(t, requests.CodeBadKey, codeOf(t, f.ask(entryName(1), "/x/1", "k")))
	f.cutOff(entryName(0), false)
	f.run(time.Second)
	require.Equal(t, requests.CodeBadKey, codeOf(t, f.ask(entryName(0), "/x/1", "k")))
}

// TestWipedReplicaHasNoVote acknowledges by A and B, wipes A while B is dark
// and C is behind: A and C together must not elect, or what was acknowledged
// would be lost.
func TestWipedReplicaHasNoVote(t *testing.T) {
	f := newSeededFleet(t, 3, 0)
	f.run(5 * time.Second)
	a := f.leader()
	var b, c ident.Host
	for i := range 3 {
		switch {
		case replicaName(i) == a:
		case b == "":
			b = replicaName(i)
		default:
			c = replicaName(i)
		}
	}
	f.cutOff(c, true)
	require.True(t, f.put(a, f.table(5, "k"), time.Second))
	f.stop(b)
	f.addReplica(a, false)
	f.cutOff(c, false)
	f.run(20 * time.Second)
	require.Empty(t, f.leader(), "a wiped replica helped to elect one that is behind")
	f.start(b)
	f.run(10 * time.Second)
	require.NotEmpty(t, f.leader())
	for i := range 3 {
		require.EqualValues(t, 5, f.states[replicaName(i)].Config().Gateway.Number)
	}
	voters := 0
	for _, m := range f.states[f.leader()].Raft().Members() {
		if m.Voter {
			voters++
		}
	}
	require.Equal(t, 3, voters, "the wiped replica votes again once it has caught up")
}

// TestReplicaIsReplacedAtAnotherAddress loses a replica for good and starts an
// empty one elsewhere; then another one may be lost.
func TestReplicaIsReplacedAtAnotherAddress(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(5, "k"), time.Second))
	gone := f.leader()
	f.stop(gone)
	f.run(time.Second)
	f.addReplica(replicaName(7), false)
	f.run(4 * time.Second)
	leader := f.leader()
	require.NotEmpty(t, leader)
	var second ident.Host
	for _, id := range []ident.Host{replicaName(0), replicaName(1), replicaName(2)} {
		if id != gone && id != leader {
			second = id
		}
	}
	f.stop(second)
	f.run(5 * time.Second)
	require.NotEmpty(t, f.leader(), "the newcomer does not vote")
	require.True(t, f.put(replicaName(7), f.table(6, "k"), 2*time.Second))
	f.run(time.Second)
	require.EqualValues(t, 6, f.states[entryName(0)].Requests().TableNumber())
}

// TestReadIsConfirmedByTheNewestLeader cuts the leader off from the others: it
// must not answer reads once another may have accepted a newer table.
func TestReadIsConfirmedByTheNewestLeader(t *testing.T) {
	f := newSeededFleet(t, 3, 0)
	f.run(5 * time.Second)
	old := f.leader()
	require.True(t, f.put(old, f.table(1, "k"), time.Second))
	f.reduce(replicaName(0), host.ReadSubmitted{ID: "first", Deadline: f.now.Add(time.Second)})
	f.run(300 * time.Millisecond)
	require.True(t, f.reads["first"])
	f.cutOff(old, true)
	f.run(4 * time.Second)
	leader := f.leader()
	require.True(t, f.put(leader, f.table(2, "k"), time.Second))
	f.reduce(old, host.ReadSubmitted{ID: "stale", Deadline: f.now.Add(time.Second)})
	f.reduce(leader, host.ReadSubmitted{ID: "new", Deadline: f.now.Add(time.Second)})
	f.run(1500 * time.Millisecond)
	require.False(t, f.reads["stale"])
	require.True(t, f.reads["new"])
}

// TestLeavingWorkerIsKnownEverywhereAtOnce lets one replica hear that a worker
// drains, and another one an older heartbeat after that.
func TestLeavingWorkerIsKnownEverywhereAtOnce(t *testing.T) {
	f := newSeededFleet(t, 3, 3)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	f.beat(replicaName(0), "w1", registry.Ready, 1)
	f.beat(replicaName(1), "w2", registry.Ready, 1)
	f.run(time.Second)
	f.beat(replicaName(1), "w1", registry.Draining, 3)
	f.beat(replicaName(2), "w1", registry.Ready, 2)
	f.run(2 * seededStep)
	for i := range 3 {
		for range 8 {
			d, ok := f.ask(entryName(i), "/x/1", "k").(requests.Dispatch)
			require.True(t, ok)
			require.EqualValues(t, "w2", d.Worker.ID)
		}
	}
}

// TestRestartedReplicaDoesNotEmptyThePools restarts all replicas: that they
// know no worker is no sign that workers are gone.
func TestRestartedReplicaDoesNotEmptyThePools(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	f.beat(replicaName(0), "w1", registry.Ready, 1)
	f.run(time.Second)
	for i := range 3 {
		f.start(replicaName(i))
	}
	f.run(8 * time.Second)
	require.True(t, f.states[entryName(0)].Ready())
	require.IsType(t, requests.Dispatch{}, f.ask(entryName(0), "/x/1", "k"))
}

// TestVotersGrowFromTheSeeds starts six replicas that shall bear the loss of
// two: the three seeds form the group and take the others in.
func TestVotersGrowFromTheSeeds(t *testing.T) {
	f := newSeededFleet(t, 6, 2)
	f.run(8 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	voters := 0
	for _, m := range f.states[f.leader()].Raft().Members() {
		if m.Voter {
			voters++
		}
	}
	require.Equal(t, 5, voters)
	for range 2 {
		f.stop(f.leader())
		f.run(6 * time.Second)
		require.NotEmpty(t, f.leader())
	}
	require.True(t, f.put(f.leader(), f.table(2, "k"), time.Second))
	f.run(time.Second)
	require.EqualValues(t, 2, f.states[entryName(0)].Requests().TableNumber())
}

// TestReplicaThatWasPutOutComesBack cuts a replica without a vote off until the
// leader has removed it: once it is back it asks to be taken in, and what a
// worker tells it reaches the entry hosts.
func TestReplicaThatWasPutOutComesBack(t *testing.T) {
	f := newSeededFleet(t, 6, 2)
	f.run(8 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	var learner ident.Host
	for _, m := range f.states[f.leader()].Raft().Members() {
		if !m.Voter {
			learner = m.ID
		}
	}
	require.NotEmpty(t, learner)
	at := learner.Address()
	f.cutOff(at, true)
	f.run(6 * time.Second)
	require.False(t, f.states[f.leader()].Raft().IsMember(learner))
	f.cutOff(at, false)
	f.run(4 * time.Second)
	require.True(t, f.states[f.leader()].Raft().IsMember(learner))
	f.beat(at, "w1", registry.Ready, 1)
	f.run(time.Second)
	require.IsType(t, requests.Dispatch{}, f.ask(entryName(0), "/x/1", "k"))
}

// TestSlowWriteStandsOnceInTheLog lets no follower answer for a while: a write
// that waits must not be written to the log again and again, or what holds it
// up would only grow.
func TestSlowWriteStandsOnceInTheLog(t *testing.T) {
	f := newSeededFleet(t, 3, 0)
	f.run(5 * time.Second)
	leader := f.leader()
	var other ident.Host
	for i := range 3 {
		if replicaName(i) != leader {
			other = replicaName(i)
			// Heartbeats pass, entries do not: only the way back is cut at first.
			f.cut[[2]ident.Host{replicaName(i), leader}] = true
		}
	}
	before := f.states[leader].Raft().Log().Last()
	f.reduce(leader, host.WriteSubmitted{
		Write:    catalog.Write{ID: "own", Command: catalog.Edit{Change: config.PutRouteTable{Gateway: f.table(1, "k")}}},
		Deadline: f.now.Add(5 * time.Second),
	})
	f.run(800 * time.Millisecond)
	require.EqualValues(t, before+1, f.states[leader].Raft().Log().Last())
	for i := range 3 {
		f.cut[[2]ident.Host{replicaName(i), leader}] = false
	}
	f.run(3 * time.Second)
	require.True(t, f.writes["own"].Known)

	// The same for a write that another replica hands over.
	leader = f.leader()
	if other == leader {
		other = replicaName(0)
		if other == leader {
			other = replicaName(1)
		}
	}
	before = f.states[leader].Raft().Log().Last()
	require.True(t, f.put(other, f.table(2, "k"), 2*time.Second))
	require.EqualValues(t, before+1, f.states[leader].Raft().Log().Last())
}

// TestHostThatHearsNoLeaderLeavesBeforeItsLeaseEnds cuts an entry host off: the balancer
// is told while the host still serves, so that no new connection meets a refusal, and
// what comes on old ones is sent elsewhere.
func TestHostThatHearsNoLeaderLeavesBeforeItsLeaseEnds(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	f.beat(replicaName(0), "w1", registry.Ready, 1)
	f.run(time.Second)
	require.True(t, f.states[entryName(0)].Ready())
	f.cutOff(entryName(0), true)
	f.run(2 * time.Second)
	require.False(t, f.states[entryName(0)].Ready())
	require.True(t, f.states[entryName(1)].Ready())
	require.IsType(t, requests.Dispatch{}, f.ask(entryName(0), "/x/1", "k"))
	f.run(requests.DefaultKeyLease)
	require.True(t, f.ask(entryName(0), "/x/1", "k").(requests.Finish).Verdict.TryOtherHost)
	f.cutOff(entryName(0), false)
	f.run(time.Second)
	require.True(t, f.states[entryName(0)].Ready())
}

// TestHostIsReadyOnceItKnowsWorkers starts an entry host in a fleet without workers.
func TestHostIsReadyOnceItKnowsWorkers(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	f.entryStart = 2 * time.Second
	f.start(entryName(0))
	f.run(time.Second)
	require.False(t, f.states[entryName(0)].Ready())
	f.beat(replicaName(0), "w1", registry.Ready, 1)
	f.run(200 * time.Millisecond)
	require.True(t, f.states[entryName(0)].Ready())
	f.start(entryName(0))
	f.run(time.Second)
	require.True(t, f.states[entryName(0)].Ready())
}
