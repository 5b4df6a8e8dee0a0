// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"maps"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// syncAsked answers a host, and remembers it for what changes next.
func (t *turn) syncAsked(from ident.Host, m Sync) {
	if m.Neighbour && t.settings.Serves && !t.sync.hub.serves {
		t.serveAsHub()
	}
	if !t.answersSync() || t.isOfEarlierProcess(from, m) {
		return
	}
	if m.Leaves {
		t.sync.clients = t.sync.clients.Without(from)
		return
	}
	t.leaseAsked(from, m)
	c := client{
		version: m.Version, revision: m.Revision, heard: t.now, table: m.Table, serves: m.Serves, loads: m.Loads,
		boot: m.Boot, entry: EntryHost{Host: from, Zone: m.Zone, Relay: m.Relay}, home: m.Home, group: m.Group,
		neighbour: m.Neighbour,
	}
	if before, ok := t.sync.clients.Get(from); ok && before.boot == c.boot {
		c.newsAt = before.newsAt
		if !m.Grouped {
			c.group = before.group
		}
	}
	t.beatsTold(m.Beats)
	if m.Epoch != t.settings.Incarnation {
		c.revision = 0
	}
	if before, ok := t.sync.clients.Get(from); ok && before.boot == c.boot && before.sent > c.revision && t.now.Sub(before.sentAt) < underWay {
		// What was sent is likely still under way: sent again it would only add
		// to what holds it up.
		c.revision, c.sent, c.sentAt = before.sent, before.sent, before.sentAt
	}
	t.answerSync(from, c, m)
}

// earlierLife is how long after a process was heard a question of one that started
// before it is taken for late: longer than hosts leave between two questions. After
// that the order of starts may be wrong, as they are told by clocks, which are set.
const earlierLife = maxSyncInterval + minSyncInterval

// isOfEarlierProcess tells whether a question was under way for so long that another
// process at the same address has been heard meanwhile.
func (t *turn) isOfEarlierProcess(from ident.Host, m Sync) bool {
	before, ok := t.sync.clients.Get(from)
	return ok && m.Boot < before.boot && t.now.Sub(before.heard) < earlierLife
}

// beatsTold takes the heartbeats that a relay heard: a replica for itself, a hub for
// the replicas.
func (t *turn) beatsTold(packed []byte) {
	beats, _ := registry.Unpack(packed)
	if !t.settings.IsReplica() {
		t.relayHeard(beats...)
		return
	}
	for _, w := range beats {
		t.beaten(w)
	}
}

// underWay is how long registrations that were sent may take to arrive.
const underWay = 2 * time.Second

// answerSync sends what the client lacks and remembers what it has then.
func (t *turn) answerSync(to ident.Host, c client, asked Sync) {
	workers, revision := t.nextWorkers(c.revision)
	if t.hubsExpected() {
		workers, revision = nil, c.revision
	}
	held := t.heldConfig().Version
	a := SyncAnswer{
		Round: asked.Round, Version: held,
		Epoch: t.settings.Incarnation, Since: c.revision, Revision: revision, Workers: workers,
	}
	if t.settings.IsReplica() {
		a = t.replicaWord(a, asked)
	} else {
		a = t.hubWord(a, asked)
	}
	if a.Summed {
		a.Loads = t.sumLoads().others(to, t.sync.hub.outside)
	}
	a.Neighbour = c.neighbour
	if asked.Lead {
		a = t.tellHubs(a, asked)
		a = t.tellNeighbours(a, asked)
	}
	if c.table && c.version < held && t.sync.bulkBytes < bulkBytesPerTick {
		a.Gateway, a.Base = t.packedGateway(c.version)
		c.version = held
		t.sync.bulkBytes += len(a.Gateway)
	}
	if revision > c.revision {
		c.revision, c.sent, c.sentAt, c.newsAt = revision, revision, t.now, t.now
	}
	t.sync.clients = t.sync.clients.With(to, c)
	t.send(to, a)
}

// replicaWord adds to an answer what only a replica knows.
func (t *turn) replicaWord(a SyncAnswer, asked Sync) SyncAnswer {
	a.Leader, a.Hosts = t.raft.Leader().Address(), t.sumLoads().serving
	if asked.Lead {
		a.Fresh = t.raft.LeaseHeld(t.now)
		a.Replicas = t.memberAddresses()
	}
	a.Summed = asked.Sums && t.now.Sub(t.started) >= sumWarmUp
	return a
}

// heldConfig is the configuration that this host gives others.
func (t *turn) heldConfig() config.Config {
	if t.settings.IsReplica() {
		return t.catalog.Config
	}
	return t.config
}

// tableHistory is how many route tables back a host may be and still be sent
// only what changed.
const tableHistory = 32

// rememberTable keeps the tables from which hosts may follow. Each is packed
// once a version.
func (t *turn) rememberTable(cfg config.Config) {
	if !t.answersSync() {
		return
	}
	t.sync.tables = t.sync.tables.With(cfg.Version, cfg.Gateway.WithoutSource())
	for t.sync.tables.Len() > tableHistory {
		oldest, _, _ := t.sync.tables.First()
		t.sync.tables = t.sync.tables.Without(oldest)
	}
	t.sync.packed = table.Table[config.Version, []byte]{}
}

// packedGateway is what leads from the table of a version to the newest one:
// a delta, or with base 0 the whole table.
func (t *turn) packedGateway(from config.Version) (record []byte, base config.Version) {
	newest := t.heldConfig().Gateway
	old, ok := t.sync.tables.Get(from)
	if !ok || old.Number == 0 {
		from = 0
	}
	record, ok = t.sync.packed.Get(from)
	if !ok {
		record = newest.Packed()
		if from != 0 {
			record = old.DeltaTo(newest).Packed()
		}
		t.sync.packed = t.sync.packed.With(from, record)
	}
	return record, from
}

func (t *turn) memberAddresses() []ident.Host {
	var out []ident.Host
	for _, m := range t.raft.Members() {
		if a := m.ID.Address(); !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// loadSums are the loads of all hosts that sync with a replica. They are added
// up anew after a while, not for each question.
type loadSums struct {
	at    time.Time
	total loads.Digest
	// parts are what each host told when it was added up; never changed in place.
	parts map[ident.Host]loads.Digest
	// serving is the number of entry hosts.
	serving int
}

// others are the loads of all hosts but one, and of those outside the sum.
func (s loadSums) others(but ident.Host, outside loads.Digest) loads.Digest {
	rest := s.total.Without(s.parts[but])
	if len(outside) == 0 {
		return rest
	}
	return loads.Sum(slices.Values([]loads.Digest{rest, outside}))
}

const (
	// minSumInterval and sumShare for each host bound how long sums are used.
	minSumInterval = 50 * time.Millisecond
	sumShare       = 500 * time.Microsecond
	// sumWarmUp is how long a replica that starts hears hosts before it tells
	// sums, which would lack those not heard yet.
	sumWarmUp = 2 * maxSyncInterval
)

// sumLoads returns the sums, added up anew where they are too old.
func (t *turn) sumLoads() loadSums {
	interval := max(minSumInterval, time.Duration(t.sync.clients.Len())*sumShare)
	if t.now.Sub(t.sync.sums.at) < interval {
		return t.sync.sums
	}
	next := loadSums{at: t.now, parts: map[ident.Host]loads.Digest{}}
	for id, c := range t.sync.clients.All() {
		if t.now.Sub(c.heard) > syncLife {
			t.sync.clients = t.sync.clients.Without(id)
			continue
		}
		next.parts[id] = c.loads
	}
	if t.settings.Serves {
		next.parts[t.settings.ID] = t.gateway.Loads()
	}
	next.serving = len(t.entryHosts())
	next.total = loads.Sum(maps.Values(next.parts))
	t.sync.sums = next
	return next
}

// pushSync tells the hosts that sync with this replica of what has changed
// since the last tick. What is large goes out at a bounded rate, or heartbeats of
// the replicated log would wait behind it.
func (t *turn) pushSync() {
	t.sync.bulkBytes = 0
	pushed := 0
	for _, id := range t.sync.clients.KeysAfter(t.sync.pushedTo) {
		c, _ := t.sync.clients.Get(id)
		stale := c.table && c.version < t.heldConfig().Version && t.sync.bulkBytes < bulkBytesPerTick
		news := c.revision < t.registry.Revision() && t.now.Sub(c.newsAt) >= t.pushGap() && !t.hubsExpected()
		if t.now.Sub(c.heard) <= syncLife && (stale || news) {
			t.answerSync(id, c, Sync{})
			t.sync.pushedTo = id
			pushed++
		}
		if pushed == pushesPerTick {
			return
		}
	}
}

const (
	// pushShare for each host that asks, at most maxPushGap, is kept between two words
	// to a host on changes of registrations alone, so that those that come one by one
	// are told together: while a large fleet starts, some hundred come a second.
	pushShare  = 5 * time.Millisecond
	maxPushGap = 300 * time.Millisecond
)

// pushGap is the time kept between two words to a host on registrations.
func (t *turn) pushGap() time.Duration {
	return min(time.Duration(t.sync.clients.Len())*pushShare, maxPushGap)
}

// hubsExpected tells whether this replica of a large fleet will soon name hubs: until
// then the registrations of thousands of workers would go to hundreds of hosts, which
// fills its link for longer than the fleet needs to start.
func (t *turn) hubsExpected() bool {
	return t.settings.IsReplica() && len(t.sync.hub.list) == 0 && t.sync.clients.Len() > t.hubsAbove() &&
		t.now.Sub(t.started) < hubWarmUp+hubsSettle
}

// pushesPerTick bounds the hosts that are told of changes in a tick. Where there are
// more, they take turns, so that many changes in a row are told together.
const pushesPerTick = 16

// bulkBytesPerTick bounds the bytes of tables and of many registrations that a
// replica sends in a tick.
const bulkBytesPerTick = 20 << 10

// batchSize is how many registrations travel together at most.
const batchSize = 128

// workerBatches are batches of registrations, which many hosts are sent, by the
// revision that they follow. They are made anew after a while, as they go on
// showing what has been forgotten since; one that is not full, with the next change.
type workerBatches struct {
	since time.Time
	bySeq table.Table[uint64, workerBatch]
}

// workerBatch is one of them, packed, and the revision that it leads to.
type workerBatch struct {
	record   []byte
	revision uint64
	full     bool
}

// batchLife is how long batches are used.
const batchLife = 2 * time.Second

// nextWorkers returns the registrations after a revision that may be sent now,
// and the revision that they lead to. A few go out at once; a full batch waits
// where much has been sent in this tick.
func (t *turn) nextWorkers(after uint64) (record []byte, revision uint64) {
	if t.now.Sub(t.sync.batches.since) > batchLife {
		t.sync.batches = workerBatches{since: t.now}
	}
	b, ok := t.sync.batches.bySeq.Get(after)
	if !ok || !b.full && b.revision != t.registry.Revision() {
		workers, revision := t.registry.After(after, batchSize)
		b = workerBatch{record: registry.Pack(workers), revision: revision, full: len(workers) == batchSize}
		t.sync.batches.bySeq = t.sync.batches.bySeq.With(after, b)
	}
	if !b.full {
		return b.record, b.revision
	}
	return t.inBudget(b, after)
}

func (t *turn) inBudget(b workerBatch, after uint64) (record []byte, revision uint64) {
	if t.sync.bulkBytes >= bulkBytesPerTick {
		return nil, after
	}
	t.sync.bulkBytes += len(b.record)
	return b.record, b.revision
}
