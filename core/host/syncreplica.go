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
		next.parts[t.settings.ID] = t.requests.Loads()
	}
	next.serving = len(t.entryHosts())
	next.total = loads.Sum(maps.Values(next.parts))
	t.sync.sums = next
	return next
}
