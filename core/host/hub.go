// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// Package hubs decides who is a hub and which hubs a host polls; here is how a hub serves.
// It polls every replica, joins what they report, and replies like one of them; a leader's
// confirmation it passes on with its age. Each host has one hub as its primary hub, which
// counts the host and its requests.
const (
	// hubTimeout is how long a hub may give no useful reply before another one is polled:
	// four polls of a small fleet. Chosen, not measured.
	hubTimeout = 4 * minPollInterval
	// groupReportInterval is the time between two reports of a hub on the hosts that it
	// counts, where nothing changes: well within clientLifetime.
	groupReportInterval = 1500 * time.Millisecond
)

// hubState is what a host knows of hubs, and a hub of those that poll it. Its slices are
// never changed in place.
type hubState struct {
	// list are the hubs in force; on a replica they are those that it names.
	list hubs.Selection
	// choice are the hubs that this host polls, pollReplicasAt when replicas are next
	// polled because none of them gives a useful reply.
	choice         hubs.PollSet
	pollReplicasAt time.Time
	// serves is set for good once this host was named a hub: from then on it keeps
	// registrations and replies to polls.
	serves bool
	// outsideLoads are the requests of the hosts that this hub does not count, as of
	// outsideLoadsAt.
	outsideLoads   loads.Digest
	outsideLoadsAt time.Time
	// polledLast are the hosts polled last, replicas included.
	polledLast []ident.Host
	// reportedGroup is the hash of the group last reported, at groupReportedAt.
	reportedGroup   hash.Key
	groupReportedAt time.Time
}

// isHub tells whether this host polls replicas for others.
func (t *transition) isHub() bool {
	return t.seeded.hub.list.Has(t.settings.ID) || t.seeded.hub.serves && t.isPrimaryOfAny()
}

// isPrimaryOfAny tells whether some host has this one for its primary hub.
func (t *transition) isPrimaryOfAny() bool {
	for _, c := range t.seeded.clients.All() {
		if c.primary && c.isLive(t.now) {
			return true
		}
	}
	return false
}

// pollsHubs tells whether this host polls hubs in place of replicas.
func (t *transition) pollsHubs() bool {
	return t.seeded.hub.list.Len() > 0 && !t.settings.IsReplica() && !t.isHub()
}

// repliesToPolls tells whether this host replies to polls of others.
func (t *transition) repliesToPolls() bool { return t.settings.IsReplica() || t.seeded.hub.serves }

// primaryHub is the hub that counts this host; empty where replicas do.
func (t *transition) primaryHub() ident.Host {
	if !t.pollsHubs() {
		return ""
	}
	return t.loadSource()
}

// hubsFailed tells whether no hub has given a useful reply for so long that replicas must
// be polled.
func (t *transition) hubsFailed() bool { return t.seeded.hub.choice.Failed(t.now) }

// renewHubs turns away from hubs without a useful reply, and to those that rank next.
func (t *transition) renewHubs() {
	h := &t.seeded.hub
	if !t.pollsHubs() {
		h.choice = h.choice.Cleared()
		return
	}
	lastUseful := func(id ident.Host) time.Time {
		c, _ := t.seeded.contacts.Get(id)
		return c.lastUsefulReply
	}
	self := hubs.Self{ID: t.settings.ID, Zone: t.settings.Zone}
	timeout := max(hubTimeout, leaderTimeoutIntervals*t.pollInterval())
	h.choice = h.choice.Updated(h.list.Hosts, self, lastUseful, timeout, t.now)
}

// deregisterElsewhere tells hosts that are polled no more that others count this host now.
func (t *transition) deregisterElsewhere(polled []ident.Host) {
	if t.pollsHubs() && t.hubsFailed() {
		return
	}
	for _, h := range t.seeded.hub.polledLast {
		if !slices.Contains(polled, h) {
			t.send(h, Poll{Leaves: true, Boot: t.settings.Incarnation})
		}
	}
	t.seeded.hub.polledLast = polled
}

// becomeHub gives this host what it needs to reply to others: the workers that it knows,
// with revisions of its own, and the table from which others may follow.
func (t *transition) becomeHub() {
	t.seeded.hub.serves = true
	for w := range t.requests.Workers() {
		t.registry = t.registry.WithReport(w, t.now)
	}
	t.rememberTable(t.config)
	t.log(LogHub, string(t.settings.ID), "answers other hosts")
}

// hubReply adds to a reply what a hub knows in place of a leader.
func (t *transition) hubReply(r PollReply, m Poll) PollReply {
	r.Leader, r.Hosts, r.Replicas = t.seeded.leaderContact, t.seeded.hosts, t.seeded.replicas
	r.Cut = !t.replicaRepliedWithin(hubTimeout)
	if confirmed := t.requests.Confirmation(); !confirmed.IsZero() {
		r.Age = confirmed.Age(t.now)
		r.Fresh = r.Age < replicaTimeout
	}
	if m.Sums && !t.seeded.hub.outsideLoadsAt.IsZero() {
		r.Summed, r.LoadsAge = true, t.now.Sub(t.seeded.hub.outsideLoadsAt)
	}
	return r
}

// loadsFor are the requests that this host reports to another one: a hub those of its
// group, other hosts their own, and to no hub but their primary one.
func (t *transition) loadsFor(to ident.Host) loads.Digest {
	switch {
	case t.isHub():
		return t.sumLoads().total
	case t.pollsHubs() && to != t.primaryHub() && t.seeded.hub.choice.Has(to):
		return nil
	}
	return t.requests.Loads(t.now)
}

// takeLoads takes the requests of other hosts. A hub keeps them for its group, and adds
// the group's for itself.
func (t *transition) takeLoads(reported loads.Digest, asOf time.Time) {
	if t.seeded.hub.serves {
		t.seeded.hub.outsideLoads, t.seeded.hub.outsideLoadsAt = reported, asOf
		reported = t.sumLoads().others(t.settings.ID, reported)
	}
	t.reduceRequests(requests.LoadsReported{Loads: reported, AsOf: asOf})
}

// groupReport are the hosts that this hub counts; due tells whether they are to be
// reported now.
func (t *transition) groupReport() (hosts []hubs.Host, due bool) {
	var names []string
	for _, c := range t.seeded.clients.All() {
		if c.primary && c.serves && c.isLive(t.now) {
			hosts = append(hosts, c.host)
			names = append(names, string(c.host.Host), c.host.Relay)
		}
	}
	h := &t.seeded.hub
	key := hash.Of(names...)
	due = key != h.reportedGroup || t.now.Sub(h.groupReportedAt) >= groupReportInterval
	if due {
		h.reportedGroup, h.groupReportedAt = key, t.now
	}
	return hosts, due
}

// keepRegistrations keeps what replicas report of workers, for the clients of this hub.
func (t *transition) keepRegistrations(workers []registry.Worker) {
	if !t.seeded.hub.serves {
		return
	}
	for _, w := range workers {
		t.registry = t.registry.WithReport(w, t.now)
	}
}

// tickHub sends the clients of this hub what has changed.
func (t *transition) tickHub() {
	if !t.seeded.hub.serves {
		return
	}
	t.pushUpdates()
	if t.now.Sub(t.seeded.lookedAt) >= registryInterval {
		t.seeded.lookedAt = t.now
		t.registry = t.registry.Forget(t.now)
		t.forgetLeases()
	}
}
