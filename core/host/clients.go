// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
)

// A replica or a hub replies to each poll with what the client lacks: confirmation,
// route table, registrations, loads, lists of hubs and fallback peers. It remembers what
// it sent, so that changes can be sent without another poll (updates.go).
const (
	// clientLifetime is how long a host that polled counts as a client: almost three of
	// the longest intervals between polls.
	clientLifetime = 4 * time.Second
	// earlierProcessLifetime is how long after a poll of a process one of a process that
	// started before it is taken for late: longer than hosts leave between two polls.
	// After that the order of starts may be wrong, as it is read from clocks, which are
	// set.
	earlierProcessLifetime = maxPollInterval + minPollInterval
	// inTransit is how long registrations that were sent may take to arrive. Chosen, not
	// measured.
	inTransit = 2 * time.Second
)

// client is a host that polls this one.
type client struct {
	// version and revision are the table and the registrations that it has.
	version  config.Version
	revision uint64
	lastPoll time.Time
	boot     uint64
	// sent is the revision to which registrations were sent at sentAt, updatedAt when
	// any were sent last.
	sent      uint64
	sentAt    time.Time
	updatedAt time.Time
	// table is set where the host has the route table from this one.
	table  bool
	serves bool
	// fallback is set where the host polls this entry host in place of replicas.
	fallback bool
	// crashList names the list of crashes that it holds.
	crashList hash.Key
	// knowsZones is set where its program knows of drained zones, zones is the revision of
	// them that it holds.
	knowsZones bool
	zones      uint64
	loads      loads.Digest
	// host is how the client is reported to others. A hub counts the clients whose primary
	// hub it is; group are those that the client itself counts as a hub.
	host    hubs.Host
	primary bool
	group   []hubs.Host
}

// live tells whether the client polled not long ago.
func (c client) live(now time.Time) bool { return now.Sub(c.lastPoll) <= clientLifetime }

// pollReceived replies to a host, and remembers it for what changes next.
func (t *transition) pollReceived(from ident.Host, m Poll) {
	if m.Neighbour && t.settings.Serves && !t.seeded.hub.serves {
		t.becomeHub()
	}
	if !t.repliesToPolls() || t.isOfEarlierProcess(from, m) {
		return
	}
	if m.Leaves {
		t.seeded.clients = t.seeded.clients.Without(from)
		return
	}
	t.recordLease(from, m)
	t.grantZonesLease(from, m)
	t.relayedHeartbeats(from, m.Beats)
	t.applyReplacements(from, m.Replaced)
	t.takeCrashEntries(from, m.CrashEntries)
	t.crashesReceived(from, m.Crashes)
	t.replyTo(from, t.clientOf(from, m), m)
}

// clientOf is a client as its poll describes it, with what is known of it besides.
func (t *transition) clientOf(from ident.Host, m Poll) client {
	c := client{
		version: m.Version, revision: m.Revision, lastPoll: t.now, table: m.Table, serves: m.Serves, loads: m.Loads,
		boot: m.Boot, host: hubs.Host{Host: from, Zone: m.Zone, Relay: m.Relay}, primary: m.Home, group: m.Group,
		fallback: m.Neighbour, crashList: m.CrashList, knowsZones: m.KnowsZones, zones: m.Zones,
	}
	if m.Epoch != t.settings.Incarnation {
		c.revision = 0
	}
	before, known := t.seeded.clients.Get(from)
	if !known || before.boot != c.boot {
		return c
	}
	c.updatedAt = before.updatedAt
	if !m.Grouped {
		c.group = before.group
	}
	if before.sent > c.revision && t.now.Sub(before.sentAt) < inTransit {
		// What was sent is likely still in transit: sent again it would only add to what
		// holds it up.
		c.revision, c.sent, c.sentAt = before.sent, before.sent, before.sentAt
	}
	return c
}

// isOfEarlierProcess tells whether a poll was in transit for so long that another process
// at the same address has polled meanwhile.
func (t *transition) isOfEarlierProcess(from ident.Host, m Poll) bool {
	before, ok := t.seeded.clients.Get(from)
	return ok && m.Boot < before.boot && t.now.Sub(before.lastPoll) < earlierProcessLifetime
}

// relayedHeartbeats takes the heartbeats that a relay took: a replica registers them, a
// hub gathers them for the replicas.
func (t *transition) relayedHeartbeats(from ident.Host, packed []byte) {
	workers, err := registry.Unpack(packed)
	if err != nil {
		t.note(LogWorkerRegistration, string(from), "sent heartbeats that cannot be read: "+err.Error())
	}
	if !t.settings.IsReplica() {
		t.seeded.relay = t.seeded.relay.WithHeartbeats(workers...)
		return
	}
	for _, w := range workers {
		if reason := t.invalidReason(w); reason != "" {
			t.rejectHeartbeat(w.ID, reason+", by "+string(from))
		} else if t.registry.HasRoom(w.ID) {
			t.registerHeartbeat(w)
		}
	}
}

// replyTo sends what the client lacks and remembers what it has then.
func (t *transition) replyTo(to ident.Host, c client, m Poll) {
	workers, revision := t.nextWorkers(c.revision)
	if t.hubsExpected() {
		workers, revision = nil, c.revision
	}
	if !c.knowsZones {
		workers = t.workersForEarlier(workers)
	}
	held := t.heldConfig().Version
	r := PollReply{
		Zones: t.heldZones(),
		Round: m.Round, Version: held,
		Epoch: t.settings.Incarnation, Since: c.revision, Revision: revision, Workers: workers,
		CrashList: t.requests.CrashList().Key, CrashEntries: t.crashEntriesFor(c.crashList),
	}
	c.crashList, c.zones = r.CrashList, r.Zones.Revision
	if t.settings.IsReplica() {
		r = t.replicaReply(r, m)
	} else {
		r = t.hubReply(r, m)
	}
	if r.Summed {
		r.Loads = t.sumLoads().excluding(to, t.seeded.hub.outsideLoads)
	}
	r.Neighbour = c.fallback
	if m.Lead {
		r = t.withHubList(r, m)
		r = t.withFallbackPeers(r, m)
	}
	if c.table && c.version < held && t.seeded.bulkBytes < bulkBytesPerTick {
		r.Gateway, r.Base = t.packedTable(c.version)
		c.version = held
		t.seeded.bulkBytes += len(r.Gateway)
	}
	if revision > c.revision {
		c.revision, c.sent, c.sentAt, c.updatedAt = revision, revision, t.now, t.now
	}
	t.seeded.clients = t.seeded.clients.With(to, c)
	t.send(to, r)
}

// replicaReply adds to a reply what only a replica knows.
func (t *transition) replicaReply(r PollReply, m Poll) PollReply {
	r.Leader, r.Hosts = t.raft.Leader().Address(), t.sumLoads().entryHosts
	if m.Lead {
		r.Fresh = t.raft.LeaseHeld(t.now)
		r.Replicas = t.memberAddresses()
	}
	r.Summed = m.Sums && t.now.Sub(t.started) >= sumWarmUp
	return r
}

// heldConfig is the configuration that this host sends others.
func (t *transition) heldConfig() config.Config {
	if t.settings.IsReplica() {
		return t.catalog.Config
	}
	return t.config
}

// memberAddresses are the addresses of the replicas, as this one knows them.
func (t *transition) memberAddresses() []ident.Host {
	var out []ident.Host
	for _, m := range t.raft.Members() {
		if a := m.ID.Address(); !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}
