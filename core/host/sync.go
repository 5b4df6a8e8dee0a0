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
	// minPollInterval and maxSyncInterval bound the time between two questions
	// to a replica; it grows by syncShare for each host that asks replicas.
	minPollInterval     = 300 * time.Millisecond
	maxPollInterval     = 1400 * time.Millisecond
	pollIntervalPerHost = 7 * time.Millisecond
	// clientLifetime is how long a replica keeps what a host told it.
	clientLifetime = 4 * time.Second
	// leaderTimeoutIntervals intervals without a leader's word make a host turn to another
	// replica, askAllAfter to all of them.
	leaderTimeoutIntervals = 3
	pollAllAfterIntervals  = 2
	// maxLeaderWait bounds both where intervals are long: a host without a leader's
	// word may use its configuration for a few seconds only.
	maxLeaderWait = 2 * time.Second
	// replicaTimeout without an answer is noted as a lost dependency.
	replicaTimeout = 3 * time.Second
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

// seededState is what a host of a seeded fleet knows of replicas and, on a
// replica, of the hosts that sync with it.
type seededState struct {
	pollAt time.Time
	round  uint64
	// rounds are the times at which unanswered questions left.
	rounds table.Table[uint64, time.Time]
	// replicas are the members last told by a leader with a lease.
	replicas      []ident.Host
	contacts      table.Table[ident.Host, contact]
	leaderContact ident.Host
	leaderReplyAt time.Time
	leaderPicks   int
	// hosts is how many entry hosts there are, by a leader's word.
	hosts int
	// newest is the newest table that this host knows of, behindAt since when it is
	// newer than the one held.
	newest       config.Version
	newerKnownAt time.Time
	// bulkBytes counts the bytes of tables and of many registrations sent since
	// the last tick.
	bulkBytes int
	// updatedLast is the host that was told of a change last.
	updatedLast ident.Host
	batches     workerBatches
	clients     table.Table[ident.Host, client]
	joiners     table.Table[ident.Host, time.Time]
	joinAt      time.Time
	memberAt    time.Time
	sums        loadSums
	// loadsAt is when loads are next asked for.
	loadsAt time.Time
	relay   relayState
	hub     hubState
	// inForce is what is known of which tables are in force.
	inForce inForceState
	// fallback are entry hosts to ask where no replica answers.
	fallback fallbackState
	// tables are the newest route tables, packed what leads from each of them
	// to the newest one.
	tables table.Table[config.Version, config.RouteTable]
	packed table.Table[config.Version, []byte]
}

// contact is a replica or a hub as a host sees it.
type contact struct {
	epoch     uint64
	revision  uint64
	lastReply time.Time
	// lastUsefulReply is when it answered last, as one that is in touch with replicas.
	lastUsefulReply time.Time
	lost            bool
}

// client is a host that syncs with this replica.
type client struct {
	version  config.Version
	revision uint64
	lastPoll time.Time
	boot     uint64
	// sent is the revision to which registrations were sent at sentAt.
	sent   uint64
	sentAt time.Time
	// updatedAt is when registrations were sent last.
	updatedAt time.Time
	// table is set where the host has the route table from this replica.
	table  bool
	serves bool
	// fallback is set where the host asks this entry host in place of replicas.
	fallback bool
	loads    loads.Digest
	// host is what others are told of the host. A hub counts those whose home it
	// is; group are those that the host itself counts as a hub.
	host    EntryHost
	primary bool
	group   []EntryHost
}

func (t *transition) tickSeeded() {
	t.tickWrites()
	t.tickReads()
	t.tickPolls()
	if t.settings.IsReplica() {
		t.tickRegistry()
		t.pushUpdates()
		t.releaseAnswers()
		t.tickMembers()
		t.maybeCompact()
	}
	t.tickHub()
	if t.requests.Waiting() > 0 {
		t.reduceRequests(requests.Tick{})
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
func (t *transition) leaveAhead() time.Duration {
	return min(balancerNotice, max(0, t.requests.KeyLease()-leaderTimeoutIntervals*t.pollInterval()))
}

// knownReplicas are the addresses of seeds and members.
func (t *transition) knownReplicas() []ident.Host {
	out := slices.Clone(t.seeded.replicas)
	for _, s := range t.settings.Seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

func (t *transition) tickPolls() {
	if !t.settings.Serves || t.now.Before(t.seeded.pollAt) && !t.inForceReportDue() {
		return
	}
	t.seeded.pollAt = t.now.Add(t.pollInterval())
	t.renewHubs()
	hosts := t.hostsToPoll()
	t.pickLeaderContact(hosts)
	t.noteLostReplicas(hosts)
	t.deregisterElsewhere(hosts)
	beats := t.heartbeatsFor(hosts)
	group, grouped := []EntryHost(nil), false
	if t.isHub() {
		group, grouped = t.groupReport()
	}
	inForce := t.reportedInForce()
	for _, h := range hosts {
		m := t.poll(h)
		m.InForce = inForce
		m.Beats, m.Group, m.Grouped = registry.Pack(beats[h]), group, grouped
		t.sendPoll(h, m)
	}
	for _, h := range t.fallbackPeersToPoll() {
		m := t.fallbackPoll(h)
		m.InForce = inForce
		t.sendPoll(h, m)
	}
}

// hostsToPoll are the hosts to ask: replicas, or the hubs picked, and where these are
// of no use, now and then replicas too.
func (t *transition) hostsToPoll() []ident.Host {
	if !t.pollsHubs() {
		return t.knownReplicas()
	}
	out := t.polledHubs()
	if t.hubsFailed() && !t.now.Before(t.seeded.hub.pollReplicasAt) {
		t.seeded.hub.pollReplicasAt = t.now.Add(maxPollInterval)
		out = append(out, t.knownReplicas()...)
	}
	return out
}

// pollInterval is the time between two questions: the more hosts ask replicas, the
// less often each does, so that replicas stay within their bytes.
func (t *transition) pollInterval() time.Duration {
	asking := t.seeded.hosts
	if hubs := len(t.seeded.hub.list); hubs > 0 {
		asking = hubs
	}
	return min(max(minPollInterval, time.Duration(asking)*pollIntervalPerHost), maxPollInterval)
}

// pickLeaderContact turns to the next replica where the present one does not answer.
func (t *transition) pickLeaderContact(hosts []ident.Host) {
	if len(hosts) == 0 || t.pollsHubs() {
		return
	}
	if slices.Contains(hosts, t.seeded.leaderContact) && t.now.Sub(t.seeded.leaderReplyAt) < min(leaderTimeoutIntervals*t.pollInterval(), maxLeaderWait) {
		return
	}
	t.seeded.leaderPicks++
	t.seeded.leaderContact = hosts[t.seeded.leaderPicks%len(hosts)]
}

func (t *transition) noteLostReplicas(asked []ident.Host) {
	for _, h := range asked {
		c, ok := t.seeded.contacts.Get(h)
		if ok && !c.lost && t.now.Sub(c.lastReply) > replicaTimeout {
			c.lost = true
			t.seeded.contacts = t.seeded.contacts.With(h, c)
			t.note(NoteReplica, string(h), "lost")
		}
	}
}

// poll is what this host asks another one.
func (t *transition) poll(to ident.Host) Poll {
	c, _ := t.seeded.contacts.Get(to)
	home := t.primaryHub()
	return Poll{
		Version: t.config.Version,
		Lead:    to == t.seeded.leaderContact || t.seeded.hub.polled.Has(to) || t.now.Sub(t.seeded.leaderReplyAt) > min(pollAllAfterIntervals*t.pollInterval(), maxLeaderWait),
		Table:   to == t.tableSource() || to == t.seeded.leaderContact && t.tableOverdue(),
		Sums:    to == t.loadSource() && !t.now.Before(t.seeded.loadsAt),
		Epoch:   c.epoch, Revision: c.revision, Serves: t.settings.Serves && !t.draining, Loads: t.loadsFor(to),
		Boot: t.settings.Incarnation, Zone: t.settings.Zone, Relay: t.relayAddress(),
		Home: home != "" && to == home, HubList: t.seeded.hub.key,
		NeighbourList: t.seeded.fallback.key,
	}
}

// relayAddress is where this host takes workers' heartbeats now. A hub has enough to
// do.
func (t *transition) relayAddress() string {
	if !t.settings.Serves || t.draining || t.seeded.hub.serves {
		return ""
	}
	return t.settings.Relay
}

func (t *transition) sendPoll(to ident.Host, m Poll) {
	if t.seeded.round == 0 {
		// A late answer to an earlier process of this host must not be taken for one to
		// this process: it would be counted from a time at which it was old.
		t.seeded.round = t.settings.Incarnation << roundBits
	}
	t.seeded.round++
	m.Round = t.seeded.round
	t.seeded.rounds = t.seeded.rounds.With(t.seeded.round, t.now)
	for t.seeded.rounds.Len() > maxRounds {
		oldest, _, _ := t.seeded.rounds.First()
		t.seeded.rounds = t.seeded.rounds.Without(oldest)
	}
	t.send(to, m)
}

// tableSource is the replica that sends this host route tables.
func (t *transition) tableSource() ident.Host { return t.sourceOf("table", replicaTimeout) }

// loadSource is the replica that tells this host the loads of all hosts. It is
// left soon where it is silent, as loads age fast.
func (t *transition) loadSource() ident.Host {
	return t.sourceOf("loads", leaderTimeoutIntervals*t.pollInterval())
}

// sourceOf picks one of the replicas heard within a time: another one for each
// host, so that no replica serves all of them.
func (t *transition) sourceOf(what string, within time.Duration) ident.Host {
	var heard []ident.Host
	for _, h := range t.sources() {
		if c, ok := t.seeded.contacts.Get(h); ok && t.now.Sub(c.lastReply) <= within {
			heard = append(heard, h)
		}
	}
	source, ok := hash.Best(hash.Of(what, string(t.settings.ID)), heard, func(h ident.Host) string { return string(h) })
	if !ok {
		return t.seeded.leaderContact
	}
	return source
}

// sources are the hosts of which one may be the source of something.
func (t *transition) sources() []ident.Host {
	if t.pollsHubs() && !t.hubsFailed() {
		return t.polledHubs()
	}
	return t.knownReplicas()
}
