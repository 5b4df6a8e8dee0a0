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
	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/rollouts"
)

// seededDisk simulates the disk of a replica, which survives a stop.
type seededDisk struct {
	identity ident.Host
	boot     raft.Boot
	// crashes is the crash list as of crashesSavedAt.
	crashes        []host.CrashEntry
	crashesSavedAt time.Time
	// departures are those of the last PersistDepartures.
	departures []departures.Entry
	// origins are the reports of streams, as of their times.
	origins []timedReport
	// hangs is set while the disk writes no departures.
	hangs bool
}

// timedReport is a report of streams with its time.
type timedReport struct {
	report origins.Report
	at     time.Time
}

func (d *seededDisk) persist(p raft.Persist) {
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

// seededFleet simulates a small seeded fleet with one clock, disks in memory and a network
// whose links can be blocked.
type seededFleet struct {
	t      *testing.T
	now    time.Time
	states map[ident.Host]host.State
	disks  map[ident.Host]*seededDisk
	order  []ident.Host
	seeds  []ident.Host
	down   map[ident.Host]bool
	// frozen is a host that handles nothing for now; empty if there is none.
	frozen    ident.Host
	blocked   map[[2]ident.Host]bool
	wire      []seededPacket
	writes    map[string]host.AnswerWrite
	reads     map[string]bool
	decisions []requests.Decision
	starts    uint64
	voters    int
	// zones are the zones of hosts, where they are set.
	zones map[ident.Host]ident.Zone
	// heartbeatAnswers are the answers to workers.
	heartbeatAnswers []host.HeartbeatAnswer
	// onDeliver, if set, is called with each message that is delivered.
	onDeliver func(seededPacket)
	// earlierHosts run an earlier version, which neither sends nor reads crashes and zones.
	earlierHosts map[ident.Host]bool
	// delay, if set, returns how long a message stays in transit. inTransit are the messages
	// delayed so far.
	delay     func(seededPacket) time.Duration
	inTransit []delayedPacket
	// intercept, if set, is called with each message that is sent, and reports whether it delivers
	// the message itself.
	intercept func(seededPacket) bool
	// onDecision, if set, is called with each decision on requests.
	onDecision func(ident.Host, requests.Decision)
	// onLog, if set, is called with each line that is logged.
	onLog func(ident.Host, host.LogRecord)
	// entryStart is how long requests wait for an entry host that starts.
	entryStart time.Duration
	// rollouts are the settings of rollouts; disabled by default.
	rollouts rollouts.Limits
	// syncTime, if set, returns how long a write of a replica takes to be synced. unsynced are the writes that are
	// not, in their order.
	syncTime func(ident.Host) time.Duration
	unsynced []unsyncedWrite
}

// unsyncedWrite is a write of a replica's process that its disk syncs at a time.
type unsyncedWrite struct {
	replica ident.Host
	persist raft.Persist
	due     time.Time
}

type delayedPacket struct {
	seededPacket
	due time.Time
}

func replicaName(i int) ident.Host { return ident.Host(fmt.Sprintf("10.0.0.%d:7000", i+1)) }
func entryName(i int) ident.Host   { return ident.Host(fmt.Sprintf("10.0.1.%d:7000", i+1)) }

// newSeededFleet starts n replicas, the first three of which are the seeds, and m entry hosts.
func newSeededFleet(t *testing.T, n, m int) *seededFleet {
	return newSeededFleetWith(t, n, m, func(*seededFleet) {})
}

// newSeededFleetWith is newSeededFleet with a function that changes the fleet before its hosts
// start.
func newSeededFleetWith(t *testing.T, n, m int, configure func(*seededFleet)) *seededFleet {
	f := &seededFleet{
		t: t, now: time.Unix(5000, 0), states: map[ident.Host]host.State{}, disks: map[ident.Host]*seededDisk{},
		down: map[ident.Host]bool{}, blocked: map[[2]ident.Host]bool{}, writes: map[string]host.AnswerWrite{},
		reads: map[string]bool{}, voters: min(5, n-1+n%2),
	}
	for i := range min(3, n) {
		f.seeds = append(f.seeds, replicaName(i))
	}
	configure(f)
	for i := range n {
		f.addReplica(replicaName(i), slices.Contains(f.seeds, replicaName(i)))
	}
	for i := range m {
		f.order = append(f.order, entryName(i))
		f.start(entryName(i))
	}
	return f
}

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
		Rollouts: f.rollouts,
		Requests: requests.Settings{Host: id, Zone: f.zoneOf(id), StartupTimeout: f.entryStart},
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
			aged[i].Age += f.now.Sub(d.crashesSavedAt)
		}
		state = state.WithCrashList(aged, f.now).WithDepartures(d.departures, f.now)
		for _, r := range d.origins {
			state = state.WithOrigins(r.report, r.at)
		}
	}
	f.states[id], f.down[id] = state, false
}

// zoneOf returns the zone of a host; hosts are spread over three unless zones names theirs.
func (f *seededFleet) zoneOf(id ident.Host) ident.Zone {
	if zone, ok := f.zones[id]; ok {
		return zone
	}
	return ident.Zone(fmt.Sprint("z", slices.Index(f.order, id)%3))
}

func (f *seededFleet) stop(id ident.Host) { f.down[id] = true }

func (f *seededFleet) partition(id ident.Host, blocked bool) {
	for _, other := range f.order {
		f.blocked[[2]ident.Host{id, other}] = blocked
		f.blocked[[2]ident.Host{other, id}] = blocked
	}
}

func (f *seededFleet) reduce(id ident.Host, ev host.Event) {
	if f.down[id] || f.frozen != "" && f.frozen == id {
		return
	}
	next, effects := host.Reduce(f.states[id], ev, f.now)
	f.states[id] = next
	for _, e := range effects {
		switch e := e.(type) {
		case host.Send:
			f.wire = append(f.wire, seededPacket{id, e.To, e.Message})
		case host.Persist:
			if f.syncTime != nil {
				f.unsynced = append(f.unsynced, unsyncedWrite{id, e.Persist, f.now.Add(f.syncTime(id))})
				continue
			}
			f.sync(id, e.Persist)
		case host.PersistCrashes:
			f.disks[id].crashes, f.disks[id].crashesSavedAt = e.Entries, f.now
		case host.PersistDepartures:
			if d := f.disks[id]; !d.hangs {
				d.departures = e.Record.Entries()
				f.reduce(id, host.DeparturesPersisted{Position: e.Record.Position()})
			}
		case host.PersistOrigins:
			f.disks[id].origins = append(f.disks[id].origins, timedReport{e.Report, f.now})
		case host.AnswerWrite:
			f.writes[e.ID] = e
		case host.AnswerRead:
			f.reads[e.ID] = e.Current
		case host.RequestDecision:
			f.decisions = append(f.decisions, e.Decision)
			if f.onDecision != nil {
				f.onDecision(id, e.Decision)
			}
		case host.LogRecord:
			if f.onLog != nil {
				f.onLog(id, e)
			}
		case host.HeartbeatAnswer:
			f.heartbeatAnswers = append(f.heartbeatAnswers, e)
		}
	}
}

// sync puts a write on a replica's disk and reports it.
func (f *seededFleet) sync(id ident.Host, p raft.Persist) {
	f.disks[id].persist(p)
	for _, s := range p.Then {
		to, m := f.states[id].Envelope(s)
		f.wire = append(f.wire, seededPacket{id, to, m})
	}
	f.reduce(id, host.EntriesPersisted{Persisted: raft.Persisted{Index: p.Index, Term: p.Term}})
}

// syncDue syncs the writes that are due. A replica's writes are synced in their order.
func (f *seededFleet) syncDue() {
	writes := f.unsynced
	f.unsynced = nil
	waiting := map[ident.Host]bool{}
	var later []unsyncedWrite
	for _, w := range writes {
		if waiting[w.replica] || w.due.After(f.now) {
			waiting[w.replica] = true
			later = append(later, w)
			continue
		}
		f.sync(w.replica, w.persist)
	}
	f.unsynced = append(later, f.unsynced...)
}

const seededStep = 50 * time.Millisecond

func (f *seededFleet) run(d time.Duration) {
	for range int(d / seededStep) {
		f.now = f.now.Add(seededStep)
		for _, id := range f.order {
			f.reduce(id, host.Tick{})
		}
		f.syncDue()
		f.deliverDue()
		for range 6 {
			batch := f.wire
			f.wire = nil
			for _, p := range batch {
				f.transmit(p)
			}
		}
	}
}

// transmit delivers, drops or delays a message.
func (f *seededFleet) transmit(p seededPacket) {
	if f.blocked[[2]ident.Host{p.from, p.to}] || f.down[p.from] {
		return
	}
	if f.intercept != nil && f.intercept(p) {
		return
	}
	if f.delay != nil {
		if d := f.delay(p); d > 0 {
			f.inTransit = append(f.inTransit, delayedPacket{p, f.now.Add(d)})
			return
		}
	}
	f.deliver(p)
}

func (f *seededFleet) deliver(p seededPacket) {
	if f.earlierHosts[p.from] || f.earlierHosts[p.to] {
		requireKnownToEarlierVersions(f.t, p)
		p.message = asEarlierVersion(p.message)
	}
	if f.onDeliver != nil {
		f.onDeliver(p)
	}
	f.reduce(p.to, host.MessageReceived{From: p.from, Message: p.message})
}

// deliverDue delivers the delayed messages that are due.
func (f *seededFleet) deliverDue() {
	var later []delayedPacket
	for _, p := range f.inTransit {
		if p.due.After(f.now) {
			later = append(later, p)
			continue
		}
		f.deliver(p.seededPacket)
	}
	f.inTransit = later
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

// putTable submits a route table at a replica, runs until limit has passed and reports whether
// the table was acknowledged by then.
func (f *seededFleet) putTable(at ident.Host, g config.RouteTable, limit time.Duration) bool {
	f.starts++
	id := fmt.Sprintf("write-%d", f.starts)
	f.reduce(at, host.WriteSubmitted{
		Write:    catalog.Write{ID: id, Command: catalog.Edit{Change: config.PutRouteTable{Gateway: g}}},
		Deadline: f.now.Add(limit),
	})
	f.run(limit)
	return f.writes[id].Known && f.writes[id].Result.Code == catalog.OK
}

// commitTable submits a route table at the leader and requires it to be committed within half a
// second. Its acknowledgement may take longer if hosts are unreachable.
func (f *seededFleet) commitTable(at ident.Host, g config.RouteTable) string {
	id := f.submitTable(at, g)
	f.run(500 * time.Millisecond)
	require.Equal(f.t, g.Number, f.states[at].Config().Gateway.Number)
	return id
}

// sendRequest sends a request to an entry host and returns the decision.
func (f *seededFleet) sendRequest(at ident.Host, path, key string) requests.Decision {
	f.starts++
	f.decisions = nil
	f.reduce(at, host.RequestEvent{Event: requests.Arrived{Request: requests.Request{
		ID: ident.Request(fmt.Sprintf("r%d", f.starts)), Host: "a.example", Path: path, KeyHash: key,
	}}})
	require.Len(f.t, f.decisions, 1)
	return f.decisions[0]
}

func (f *seededFleet) sendHeartbeat(at ident.Host, id string, state registry.State, seq uint64) {
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
	require.Equal(t, requests.CodeNotReady, codeOf(t, f.sendRequest(entryName(0), "/x/1", "k")))
	require.True(t, f.putTable(replicaName(2), f.table(3, "k"), time.Second))
	f.sendHeartbeat(replicaName(1), "w1", registry.Ready, 1)
	f.run(time.Second)
	for i := range 4 {
		require.True(t, f.states[entryName(i)].Ready())
		require.IsType(t, requests.Dispatch{}, f.sendRequest(entryName(i), "/x/1", "k"))
		require.Equal(t, requests.CodeBadKey, codeOf(t, f.sendRequest(entryName(i), "/x/1", "other")))
		require.Equal(t, requests.CodeNoRoute, codeOf(t, f.sendRequest(entryName(i), "/y/1", "k")))
	}
}

// TestHighestNumberPrevails guards against a table being replaced by one with a lower number,
// or by other content with the same number. Both are acknowledged and change nothing.
func TestHighestNumberPrevails(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	require.True(t, f.putTable(replicaName(0), f.table(9, "k"), time.Second))
	other := f.table(9, "k")
	other.Source = []byte("other content")
	require.True(t, f.putTable(replicaName(1), other, time.Second))
	require.True(t, f.putTable(replicaName(2), f.table(4, "k"), time.Second))
	for i := range 3 {
		require.Equal(t, "document 9", string(f.states[replicaName(i)].Config().Gateway.Source))
	}
	require.False(t, f.putTable(replicaName(0), config.RouteTable{Number: 12, Routes: []config.Route{{Host: "h"}}}, time.Second))
	require.EqualValues(t, 9, f.states[entryName(0)].Requests().TableNumber())
}

// TestEntryLeavesAReplicaThatKnowsNoLeader partitions the leader from the other replicas only.
// Entry hosts must not stay with it, as it still replies but has nothing new.
func TestEntryLeavesAReplicaThatKnowsNoLeader(t *testing.T) {
	f := newSeededFleet(t, 3, 4)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
	old := f.leader()
	for i := range 3 {
		f.blocked[[2]ident.Host{old, replicaName(i)}] = true
		f.blocked[[2]ident.Host{replicaName(i), old}] = true
	}
	f.run(4 * time.Second)
	leader := f.leader()
	require.NotEmpty(t, leader)
	require.NotEqual(t, old, leader)
	id := f.commitTable(leader, f.table(2, "k"))
	f.run(time.Second)
	for i := range 4 {
		require.EqualValues(t, 2, f.states[entryName(i)].Requests().TableNumber(), "entry %d", i)
		require.True(t, f.states[entryName(i)].Ready(), "entry %d", i)
	}
	require.True(t, f.isAcknowledged(id))
}

// TestKeysStopWorkingWhereNothingIsConfirmed partitions an entry host. It must refuse all keys
// once its lease has ended.
func TestKeysStopWorkingWhereNothingIsConfirmed(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k", "l"), time.Second))
	f.sendHeartbeat(replicaName(0), "w1", registry.Ready, 1)
	f.run(time.Second)
	f.partition(entryName(0), true)
	f.run(seededStep)
	require.IsType(t, requests.Dispatch{}, f.sendRequest(entryName(0), "/x/1", "k"))
	id := f.commitTable(f.leader(), f.table(2, "l"))
	f.run(requests.DefaultKeyLease)
	require.True(t, f.isAcknowledged(id))
	require.Equal(t, requests.CodeStale, codeOf(t, f.sendRequest(entryName(0), "/x/1", "k")))
	require.Equal(t, requests.CodeBadKey, codeOf(t, f.sendRequest(entryName(1), "/x/1", "k")))
	f.partition(entryName(0), false)
	f.run(time.Second)
	require.Equal(t, requests.CodeBadKey, codeOf(t, f.sendRequest(entryName(0), "/x/1", "k")))
}

// TestWipedReplicaHasNoVote commits a table on replicas A and B, wipes A and stops B. A and C,
// which lacks the table, must not elect a leader, or the committed table would be lost.
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
	f.partition(c, true)
	require.True(t, f.putTable(a, f.table(5, "k"), time.Second))
	f.stop(b)
	f.addReplica(a, false)
	f.partition(c, false)
	f.run(20 * time.Second)
	require.Empty(t, f.leader(), "a wiped replica helped to elect one that lacks the table")
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

// TestReplicaIsReplacedAtAnotherAddress replaces a lost replica by an empty one at another
// address. The fleet must then survive the loss of a second one.
func TestReplicaIsReplacedAtAnotherAddress(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(5, "k"), time.Second))
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
	require.NotEmpty(t, f.leader(), "the new replica does not vote")
	require.True(t, f.putTable(replicaName(7), f.table(6, "k"), 2*time.Second))
	f.run(time.Second)
	require.EqualValues(t, 6, f.states[entryName(0)].Requests().TableNumber())
}

// TestReadIsConfirmedByTheNewestLeader partitions the leader. It must not answer reads once
// another leader may have committed a newer table.
func TestReadIsConfirmedByTheNewestLeader(t *testing.T) {
	f := newSeededFleet(t, 3, 0)
	f.run(5 * time.Second)
	old := f.leader()
	require.True(t, f.putTable(old, f.table(1, "k"), time.Second))
	f.reduce(replicaName(0), host.ReadSubmitted{ID: "first", Deadline: f.now.Add(time.Second)})
	f.run(300 * time.Millisecond)
	require.True(t, f.reads["first"])
	f.partition(old, true)
	f.run(4 * time.Second)
	leader := f.leader()
	require.True(t, f.putTable(leader, f.table(2, "k"), time.Second))
	f.reduce(old, host.ReadSubmitted{ID: "stale", Deadline: f.now.Add(time.Second)})
	f.reduce(leader, host.ReadSubmitted{ID: "new", Deadline: f.now.Add(time.Second)})
	f.run(1500 * time.Millisecond)
	require.False(t, f.reads["stale"])
	require.True(t, f.reads["new"])
}

// TestLeavingWorkerIsKnownEverywhereAtOnce sends a worker's draining heartbeat to one replica
// and an older ready one to another. No host may use the worker after that.
func TestLeavingWorkerIsKnownEverywhereAtOnce(t *testing.T) {
	f := newSeededFleet(t, 3, 3)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
	f.sendHeartbeat(replicaName(0), "w1", registry.Ready, 1)
	f.sendHeartbeat(replicaName(1), "w2", registry.Ready, 1)
	f.run(time.Second)
	f.sendHeartbeat(replicaName(1), "w1", registry.Draining, 3)
	f.sendHeartbeat(replicaName(2), "w1", registry.Ready, 2)
	f.run(2 * seededStep)
	for i := range 3 {
		for range 8 {
			d, ok := f.sendRequest(entryName(i), "/x/1", "k").(requests.Dispatch)
			require.True(t, ok)
			require.EqualValues(t, "w2", d.Worker.ID)
		}
	}
}

// TestRestartedReplicaDoesNotEmptyThePools restarts all replicas, which then know no workers.
// Entry hosts must not conclude that the workers are gone.
func TestRestartedReplicaDoesNotEmptyThePools(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
	f.sendHeartbeat(replicaName(0), "w1", registry.Ready, 1)
	f.run(time.Second)
	for i := range 3 {
		f.start(replicaName(i))
	}
	f.run(8 * time.Second)
	require.True(t, f.states[entryName(0)].Ready())
	require.IsType(t, requests.Dispatch{}, f.sendRequest(entryName(0), "/x/1", "k"))
}

// TestVotersGrowFromTheSeeds starts six replicas. The three seeds form the initial group and
// must add voters until the fleet survives the loss of two.
func TestVotersGrowFromTheSeeds(t *testing.T) {
	f := newSeededFleet(t, 6, 2)
	f.run(8 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
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
	require.True(t, f.putTable(f.leader(), f.table(2, "k"), time.Second))
	f.run(time.Second)
	require.EqualValues(t, 2, f.states[entryName(0)].Requests().TableNumber())
}

// TestRemovedReplicaRejoins partitions a non-voting replica until the leader removes it. Once
// reconnected it must rejoin, so that heartbeats sent to it reach the entry hosts.
func TestRemovedReplicaRejoins(t *testing.T) {
	f := newSeededFleet(t, 6, 2)
	f.run(8 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
	var learner ident.Host
	for _, m := range f.states[f.leader()].Raft().Members() {
		if !m.Voter {
			learner = m.ID
		}
	}
	require.NotEmpty(t, learner)
	at := learner.Address()
	f.partition(at, true)
	f.run(20 * time.Second)
	require.True(t, f.states[f.leader()].Raft().IsMember(learner), "a learner outlasts most partitions")
	f.run(15 * time.Second)
	require.False(t, f.states[f.leader()].Raft().IsMember(learner))
	f.partition(at, false)
	f.run(4 * time.Second)
	require.True(t, f.states[f.leader()].Raft().IsMember(learner))
	f.sendHeartbeat(at, "w1", registry.Ready, 1)
	f.run(time.Second)
	require.IsType(t, requests.Dispatch{}, f.sendRequest(entryName(0), "/x/1", "k"))
}

// TestSlowWriteIsLoggedOnce blocks the followers' replies. A pending write must not be appended
// to the log on each resend.
func TestSlowWriteIsLoggedOnce(t *testing.T) {
	f := newSeededFleet(t, 3, 0)
	f.run(5 * time.Second)
	leader := f.leader()
	var other ident.Host
	for i := range 3 {
		if replicaName(i) != leader {
			other = replicaName(i)
			// Only the way back is blocked: followers receive entries but cannot confirm them.
			f.blocked[[2]ident.Host{replicaName(i), leader}] = true
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
		f.blocked[[2]ident.Host{replicaName(i), leader}] = false
	}
	f.run(3 * time.Second)
	require.True(t, f.writes["own"].Known)

	// A forwarded write must be logged once too.
	leader = f.leader()
	if other == leader {
		other = replicaName(0)
		if other == leader {
			other = replicaName(1)
		}
	}
	before = f.states[leader].Raft().Log().Last()
	require.True(t, f.putTable(other, f.table(2, "k"), 2*time.Second))
	require.EqualValues(t, before+1, f.states[leader].Raft().Log().Last())
}

// TestHostWithoutLeaderIsUnreadyBeforeItsLeaseEnds partitions an entry host. It must become
// unready while it still serves, so that the load balancer moves new connections before
// requests are refused.
func TestHostWithoutLeaderIsUnreadyBeforeItsLeaseEnds(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
	f.sendHeartbeat(replicaName(0), "w1", registry.Ready, 1)
	f.run(time.Second)
	require.True(t, f.states[entryName(0)].Ready())
	f.partition(entryName(0), true)
	f.run(2 * time.Second)
	require.False(t, f.states[entryName(0)].Ready())
	require.True(t, f.states[entryName(1)].Ready())
	require.IsType(t, requests.Dispatch{}, f.sendRequest(entryName(0), "/x/1", "k"))
	f.run(requests.DefaultKeyLease)
	require.True(t, f.sendRequest(entryName(0), "/x/1", "k").(requests.Finish).Verdict.TryOtherHost)
	f.partition(entryName(0), false)
	f.run(time.Second)
	require.True(t, f.states[entryName(0)].Ready())
}

// TestHostIsReadyOnceItKnowsWorkers starts an entry host in a fleet without workers. It must
// wait for one before it becomes ready.
func TestHostIsReadyOnceItKnowsWorkers(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), time.Second))
	f.entryStart = 2 * time.Second
	f.start(entryName(0))
	f.run(time.Second)
	require.False(t, f.states[entryName(0)].Ready())
	f.sendHeartbeat(replicaName(0), "w1", registry.Ready, 1)
	f.run(200 * time.Millisecond)
	require.True(t, f.states[entryName(0)].Ready())
	f.start(entryName(0))
	f.run(time.Second)
	require.True(t, f.states[entryName(0)].Ready())
}
