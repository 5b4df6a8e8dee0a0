// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/table"
)

// In a seeded fleet hosts know replicas, not each other: each host asks every
// replica, or in a large fleet two hubs (hub.go), a few times a second, for what it
// lacks. The leader says which configuration is the newest; one replica, another
// one for each host, gives the table, and one the loads of all hosts, so that no
// replica's link carries all.
const (
	// minSyncInterval and maxSyncInterval bound the time between two questions
	// to a replica; it grows by syncShare for each host that asks replicas.
	minSyncInterval = 300 * time.Millisecond
	maxSyncInterval = 1400 * time.Millisecond
	syncShare       = 7 * time.Millisecond
	// syncLife is how long a replica keeps what a host told it.
	syncLife = 4 * time.Second
	// leadTimeout intervals without a leader's word make a host turn to another
	// replica, askAllAfter to all of them.
	leadTimeout = 3
	askAllAfter = 2
	// maxLeadWait bounds both where intervals are long: a host without a leader's
	// word may use its configuration for a few seconds only.
	maxLeadWait = 2 * time.Second
	// contactTimeout without an answer is noted as a lost dependency.
	contactTimeout = 3 * time.Second
	// loadByteTime is kept between two questions for loads, for each of the bytes
	// that the last answer took.
	loadByteTime = 50 * time.Microsecond
	// roundBits leaves room for the questions that a process may ask before its numbers
	// meet those of one that starts a millisecond later.
	roundBits = 20
	// maxRounds bounds the unanswered questions remembered.
	maxRounds = 32
	// defaultSilentAfter is how long a worker may be silent.
	defaultSilentAfter = 6 * time.Second
)

// syncState is what a host of a seeded fleet knows of replicas and, on a
// replica, of the hosts that sync with it.
type syncState struct {
	at    time.Time
	round uint64
	// rounds are the times at which unanswered questions left.
	rounds table.Table[uint64, time.Time]
	// replicas are the members last told by a leader with a lease.
	replicas []ident.Host
	contacts table.Table[ident.Host, contact]
	lead     ident.Host
	leadAt   time.Time
	turns    int
	// hosts is how many entry hosts there are, by a leader's word.
	hosts int
	// newest is the newest table that this host knows of, behindAt since when it is
	// newer than the one held.
	newest   config.Version
	behindAt time.Time
	// bulkBytes counts the bytes of tables and of many registrations sent since
	// the last tick.
	bulkBytes int
	// pushedTo is the host that was told of a change last.
	pushedTo ident.Host
	batches  workerBatches
	clients  table.Table[ident.Host, client]
	joiners  table.Table[ident.Host, time.Time]
	joinAt   time.Time
	memberAt time.Time
	sums     loadSums
	// loadsAt is when loads are next asked for.
	loadsAt time.Time
	relay   relayState
	hub     hubState
	// force is what is known of which tables are in force.
	force forceState
	// neighbours are entry hosts to ask where no replica answers.
	neighbours neighbourState
	// tables are the newest route tables, packed what leads from each of them
	// to the newest one.
	tables table.Table[config.Version, config.RouteTable]
	packed table.Table[config.Version, []byte]
}

// contact is a replica or a hub as a host sees it.
type contact struct {
	epoch    uint64
	revision uint64
	heard    time.Time
	// useful is when it answered last, as one that is in touch with replicas.
	useful time.Time
	lost   bool
}

// client is a host that syncs with this replica.
type client struct {
	version  config.Version
	revision uint64
	heard    time.Time
	boot     uint64
	// sent is the revision to which registrations were sent at sentAt.
	sent   uint64
	sentAt time.Time
	// newsAt is when registrations were sent last.
	newsAt time.Time
	// table is set where the host has the route table from this replica.
	table  bool
	serves bool
	// neighbour is set where the host asks this entry host in place of replicas.
	neighbour bool
	loads     loads.Digest
	// entry is what others are told of the host. A hub counts those whose home it
	// is; group are those that the host itself counts as a hub.
	entry EntryHost
	home  bool
	group []EntryHost
}

func (t *turn) tickSeeded() {
	t.tickWrites()
	t.tickReads()
	t.tickSync()
	if t.settings.IsReplica() {
		t.tickRegistry()
		t.pushSync()
		t.releaseAnswers()
		t.tickMembers()
		t.maybeCompact()
	}
	t.tickHub()
	if t.requests.Waiting() > 0 {
		t.routed(requests.Tick{})
	}
	ready := t.requests.Ready(t.now, t.leaveAhead())
	if ready != t.ready {
		t.note(NoteReady, string(t.settings.ID), fmt.Sprintf("ready=%t version=%d gateway=%d", ready, t.config.Version, t.requests.Number()))
	}
	t.ready = ready
}

// balancerNotice is how long a balancer goes on sending connections to a host that is
// not ready any more: it asks each second and believes the second answer.
const balancerNotice = 2400 * time.Millisecond

// leaveAhead is how long before its lease on keys ends a host tells that it is not
// ready, so that no new connection meets a refusal. Three questions may go without a
// leader's word before.
func (t *turn) leaveAhead() time.Duration {
	return min(balancerNotice, max(0, t.requests.KeyLease()-leadTimeout*t.syncInterval()))
}

// contactHosts are the addresses of seeds and members.
func (t *turn) contactHosts() []ident.Host {
	out := slices.Clone(t.sync.replicas)
	for _, s := range t.settings.Seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

func (t *turn) tickSync() {
	if !t.settings.Serves || t.now.Before(t.sync.at) && !t.reportDue() {
		return
	}
	t.sync.at = t.now.Add(t.syncInterval())
	t.renewHubs()
	hosts := t.syncHosts()
	t.pickLead(hosts)
	t.noteLost(hosts)
	t.leaveOthers(hosts)
	beats := t.relayed(hosts)
	group, grouped := []EntryHost(nil), false
	if t.isHub() {
		group, grouped = t.group()
	}
	inForce := t.reportedInForce()
	for _, h := range hosts {
		m := t.question(h)
		m.InForce = inForce
		m.Beats, m.Group, m.Grouped = registry.Pack(beats[h]), group, grouped
		t.sendSync(h, m)
	}
	for _, h := range t.neighboursToAsk() {
		m := t.neighbourQuestion(h)
		m.InForce = inForce
		t.sendSync(h, m)
	}
}

// syncHosts are the hosts to ask: replicas, or the hubs picked, and where these are
// of no use, now and then replicas too.
func (t *turn) syncHosts() []ident.Host {
	if !t.followsHubs() {
		return t.contactHosts()
	}
	out := t.hubsAsked()
	if t.hubsFailed() && !t.now.Before(t.sync.hub.directAt) {
		t.sync.hub.directAt = t.now.Add(maxSyncInterval)
		out = append(out, t.contactHosts()...)
	}
	return out
}

// syncInterval is the time between two questions: the more hosts ask replicas, the
// less often each does, so that replicas stay within their bytes.
func (t *turn) syncInterval() time.Duration {
	asking := t.sync.hosts
	if hubs := len(t.sync.hub.list); hubs > 0 {
		asking = hubs
	}
	return min(max(minSyncInterval, time.Duration(asking)*syncShare), maxSyncInterval)
}

// pickLead turns to the next replica where the present one does not answer.
func (t *turn) pickLead(hosts []ident.Host) {
	if len(hosts) == 0 || t.followsHubs() {
		return
	}
	if slices.Contains(hosts, t.sync.lead) && t.now.Sub(t.sync.leadAt) < min(leadTimeout*t.syncInterval(), maxLeadWait) {
		return
	}
	t.sync.turns++
	t.sync.lead = hosts[t.sync.turns%len(hosts)]
}

func (t *turn) noteLost(asked []ident.Host) {
	for _, h := range asked {
		c, ok := t.sync.contacts.Get(h)
		if ok && !c.lost && t.now.Sub(c.heard) > contactTimeout {
			c.lost = true
			t.sync.contacts = t.sync.contacts.With(h, c)
			t.note(NoteReplica, string(h), "lost")
		}
	}
}

// question is what this host asks another one.
func (t *turn) question(to ident.Host) Sync {
	c, _ := t.sync.contacts.Get(to)
	home := t.home()
	return Sync{
		Version: t.config.Version,
		Lead:    to == t.sync.lead || t.sync.hub.asked.Has(to) || t.now.Sub(t.sync.leadAt) > min(askAllAfter*t.syncInterval(), maxLeadWait),
		Table:   to == t.tableSource() || to == t.sync.lead && t.behind(),
		Sums:    to == t.loadSource() && !t.now.Before(t.sync.loadsAt),
		Epoch:   c.epoch, Revision: c.revision, Serves: t.settings.Serves && !t.draining, Loads: t.loadsToldTo(to),
		Boot: t.settings.Incarnation, Zone: t.settings.Zone, Relay: t.relayAddress(),
		Home: home != "" && to == home, HubList: t.sync.hub.key,
		NeighbourList: t.sync.neighbours.key,
	}
}

// relayAddress is where this host takes workers' heartbeats now. A hub has enough to
// do.
func (t *turn) relayAddress() string {
	if !t.settings.Serves || t.draining || t.sync.hub.serves {
		return ""
	}
	return t.settings.Relay
}

func (t *turn) sendSync(to ident.Host, m Sync) {
	if t.sync.round == 0 {
		// A late answer to an earlier process of this host must not be taken for one to
		// this process: it would be counted from a time at which it was old.
		t.sync.round = t.settings.Incarnation << roundBits
	}
	t.sync.round++
	m.Round = t.sync.round
	t.sync.rounds = t.sync.rounds.With(t.sync.round, t.now)
	for t.sync.rounds.Len() > maxRounds {
		oldest, _, _ := t.sync.rounds.First()
		t.sync.rounds = t.sync.rounds.Without(oldest)
	}
	t.send(to, m)
}

// tableSource is the replica that sends this host route tables.
func (t *turn) tableSource() ident.Host { return t.sourceOf("table", contactTimeout) }

// loadSource is the replica that tells this host the loads of all hosts. It is
// left soon where it is silent, as loads age fast.
func (t *turn) loadSource() ident.Host { return t.sourceOf("loads", leadTimeout*t.syncInterval()) }

// sourceOf picks one of the replicas heard within a time: another one for each
// host, so that no replica serves all of them.
func (t *turn) sourceOf(what string, within time.Duration) ident.Host {
	var heard []ident.Host
	for _, h := range t.sources() {
		if c, ok := t.sync.contacts.Get(h); ok && t.now.Sub(c.heard) <= within {
			heard = append(heard, h)
		}
	}
	source, ok := hash.Best(hash.Of(what, string(t.settings.ID)), heard, func(h ident.Host) string { return string(h) })
	if !ok {
		return t.sync.lead
	}
	return source
}

// sources are the hosts of which one may be the source of something.
func (t *turn) sources() []ident.Host {
	if t.followsHubs() && !t.hubsFailed() {
		return t.hubsAsked()
	}
	return t.contactHosts()
}
