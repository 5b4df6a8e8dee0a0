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

// pollReceived answers a host, and remembers it for what changes next.
func (t *transition) pollReceived(from ident.Host, m Poll) {
	if m.Neighbour && t.settings.Serves && !t.seeded.hub.serves {
		t.becomeHub()
	}
	if !t.answersPolls() || t.isOfEarlierProcess(from, m) {
		return
	}
	if m.Leaves {
		t.seeded.clients = t.seeded.clients.Without(from)
		return
	}
	t.grantLease(from, m)
	c := client{
		version: m.Version, revision: m.Revision, lastPoll: t.now, table: m.Table, serves: m.Serves, loads: m.Loads,
		boot: m.Boot, host: EntryHost{Host: from, Zone: m.Zone, Relay: m.Relay}, primary: m.Home, group: m.Group,
		fallback: m.Neighbour,
	}
	if before, ok := t.seeded.clients.Get(from); ok && before.boot == c.boot {
		c.updatedAt = before.updatedAt
		if !m.Grouped {
			c.group = before.group
		}
	}
	t.relayedHeartbeats(m.Beats)
	if m.Epoch != t.settings.Incarnation {
		c.revision = 0
	}
	if before, ok := t.seeded.clients.Get(from); ok && before.boot == c.boot && before.sent > c.revision && t.now.Sub(before.sentAt) < underWay {
		// What was sent is likely still under way: sent again it would only add
		// to what holds it up.
		c.revision, c.sent, c.sentAt = before.sent, before.sent, before.sentAt
	}
	t.replyTo(from, c, m)
}

// earlierLife is how long after a process was heard a question of one that started
// before it is taken for late: longer than hosts leave between two questions. After
// that the order of starts may be wrong, as they are told by clocks, which are set.
const earlierLife = maxPollInterval + minPollInterval

// isOfEarlierProcess tells whether a question was under way for so long that another
// process at the same address has been heard meanwhile.
func (t *transition) isOfEarlierProcess(from ident.Host, m Poll) bool {
	before, ok := t.seeded.clients.Get(from)
	return ok && m.Boot < before.boot && t.now.Sub(before.lastPoll) < earlierLife
}

// relayedHeartbeats takes the heartbeats that a relay heard: a replica for itself, a hub for
// the replicas.
func (t *transition) relayedHeartbeats(packed []byte) {
	beats, _ := registry.Unpack(packed)
	if !t.settings.IsReplica() {
		t.gatherHeartbeats(beats...)
		return
	}
	for _, w := range beats {
		t.registerHeartbeat(w)
	}
}

// underWay is how long registrations that were sent may take to arrive.
const underWay = 2 * time.Second

// replyTo sends what the client lacks and remembers what it has then.
func (t *transition) replyTo(to ident.Host, c client, asked Poll) {
	workers, revision := t.nextWorkers(c.revision)
	if t.hubsExpected() {
		workers, revision = nil, c.revision
	}
	held := t.heldConfig().Version
	a := PollReply{
		Round: asked.Round, Version: held,
		Epoch: t.settings.Incarnation, Since: c.revision, Revision: revision, Workers: workers,
	}
	if t.settings.IsReplica() {
		a = t.replicaReply(a, asked)
	} else {
		a = t.hubReply(a, asked)
	}
	if a.Summed {
		a.Loads = t.sumLoads().others(to, t.seeded.hub.outsideLoads)
	}
	a.Neighbour = c.fallback
	if asked.Lead {
		a = t.withHubList(a, asked)
		a = t.withFallbackPeers(a, asked)
	}
	if c.table && c.version < held && t.seeded.bulkBytes < bulkBytesPerTick {
		a.Gateway, a.Base = t.packedTable(c.version)
		c.version = held
		t.seeded.bulkBytes += len(a.Gateway)
	}
	if revision > c.revision {
		c.revision, c.sent, c.sentAt, c.updatedAt = revision, revision, t.now, t.now
	}
	t.seeded.clients = t.seeded.clients.With(to, c)
	t.send(to, a)
}

// replicaReply adds to an answer what only a replica knows.
func (t *transition) replicaReply(a PollReply, asked Poll) PollReply {
	a.Leader, a.Hosts = t.raft.Leader().Address(), t.sumLoads().serving
	if asked.Lead {
		a.Fresh = t.raft.LeaseHeld(t.now)
		a.Replicas = t.memberAddresses()
	}
	a.Summed = asked.Sums && t.now.Sub(t.started) >= sumWarmUp
	return a
}

// heldConfig is the configuration that this host gives others.
func (t *transition) heldConfig() config.Config {
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
func (t *transition) rememberTable(cfg config.Config) {
	if !t.answersPolls() {
		return
	}
	t.seeded.tables = t.seeded.tables.With(cfg.Version, cfg.Gateway.WithoutSource())
	for t.seeded.tables.Len() > tableHistory {
		oldest, _, _ := t.seeded.tables.First()
		t.seeded.tables = t.seeded.tables.Without(oldest)
	}
	t.seeded.packed = table.Table[config.Version, []byte]{}
}

// packedTable is what leads from the table of a version to the newest one:
// a delta, or with base 0 the whole table.
func (t *transition) packedTable(from config.Version) (record []byte, base config.Version) {
	newest := t.heldConfig().Gateway
	old, ok := t.seeded.tables.Get(from)
	if !ok || old.Number == 0 {
		from = 0
	}
	record, ok = t.seeded.packed.Get(from)
	if !ok {
		record = newest.Packed()
		if from != 0 {
			record = old.DeltaTo(newest).Packed()
		}
		t.seeded.packed = t.seeded.packed.With(from, record)
	}
	return record, from
}

func (t *transition) memberAddresses() []ident.Host {
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
	sumWarmUp = 2 * maxPollInterval
)

// sumLoads returns the sums, added up anew where they are too old.
func (t *transition) sumLoads() loadSums {
	interval := max(minSumInterval, time.Duration(t.seeded.clients.Len())*sumShare)
	if t.now.Sub(t.seeded.sums.at) < interval {
		return t.seeded.sums
	}
	next := loadSums{at: t.now, parts: map[ident.Host]loads.Digest{}}
	for id, c := range t.seeded.clients.All() {
		if t.now.Sub(c.lastPoll) > clientLifetime {
			t.seeded.clients = t.seeded.clients.Without(id)
			continue
		}
		next.parts[id] = c.loads
	}
	if t.settings.Serves {
		next.parts[t.settings.ID] = t.requests.Loads()
	}
	next.serving = len(t.liveEntryHosts())
	next.total = loads.Sum(maps.Values(next.parts))
	t.seeded.sums = next
	return next
}
