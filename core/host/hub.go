// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/table"
)

// In a large fleet replicas answer a few entry hosts only, the hubs, and all others
// ask hubs. A hub asks every replica, joins what they tell, and answers like one of
// them, but for a leader's word, which it passes on with its age. Each host has one
// hub as its home, which counts it and its requests, and asks a second one, so that
// it misses nothing while the first is lost.
//
// The replicas name the hubs: in each zone those that rank highest among its live
// entry hosts, by a hash that is the same everywhere. So a new leader names the same
// ones, and nothing about hubs needs to be kept or agreed on.
const (
	// defaultHubsAbove is the number of entry hosts above which hubs are named. They
	// stay until there are fewer than hubsStay hundredths of that.
	defaultHubsAbove = 40
	hubsStayPercent  = 75
	// hostsPerHub is how many hosts a hub is meant to serve, minZoneHubs the least
	// number of hubs in a zone.
	hostsPerHub    = 16
	minHubsPerZone = 2
	// hubsPolled is how many hubs a host asks.
	hubsPolled = 2
	// hubTimeout is how long a hub may give no useful answer before another one is
	// asked, hubAvoided how long it is then passed over.
	hubTimeout   = 1200 * time.Millisecond
	hubAvoidance = 5 * time.Second
	// hubWarmUp is how long a replica that starts hears hosts before it names hubs.
	hubWarmUp = 1700 * time.Millisecond
	// hubListSettle is how long another list of hubs must have been the same before it
	// takes the place of the one in force: longer than hosts need to turn to hubs and
	// hubs to tell whom they count.
	hubListSettle = 2500 * time.Millisecond
	// groupReportInterval is the time between two words of a hub on whom it counts, where
	// nothing changes.
	groupReportInterval = 1500 * time.Millisecond
)

// EntryHost is an entry host of a seeded fleet, as others are told of it.
type EntryHost struct {
	Host ident.Host
	Zone ident.Zone
	// Relay is where it takes workers' heartbeats; empty for nowhere.
	Relay string
}

// hubState is what a host knows of hubs, and a hub of those that it serves. Its
// slices are never changed in place.
type hubState struct {
	// list are the hubs of the fleet and key the hash of their names; 0 is none
	// heard of. On a replica they are those that it names.
	list []EntryHost
	key  hash.Key
	// nextKey is the key of the list last made on a replica, the same since nextSince.
	nextKey   hash.Key
	nextSince time.Time
	// polled are the hubs that this host asks, since when; avoided those that did
	// not answer.
	polled  table.Table[ident.Host, time.Time]
	avoided table.Table[ident.Host, time.Time]
	// usefulAt is when any hub gave a useful answer last, directAt when replicas are
	// next asked because none does.
	usefulAt       time.Time
	pollReplicasAt time.Time
	// serves is set for good once this host was named a hub: from then on it keeps
	// registrations and answers who asks.
	serves bool
	// outsideLoads are the requests of the hosts that this hub does not count, as of
	// about outsideAt.
	outsideLoads   loads.Digest
	outsideLoadsAt time.Time
	// polledLast are the hosts asked last, replicas included.
	polledLast []ident.Host
	// reportedGroup is the hash of the group last told, at groupAt.
	reportedGroup   hash.Key
	groupReportedAt time.Time
}

// isHub tells whether this host asks replicas for others.
func (t *transition) isHub() bool {
	return t.isNamedHub() || t.seeded.hub.serves && t.isPrimaryOfAny()
}

// isPrimaryOfAny tells whether some host has this hub for its home.
func (t *transition) isPrimaryOfAny() bool {
	for _, c := range t.seeded.clients.All() {
		if c.primary && t.now.Sub(c.lastPoll) <= clientLifetime {
			return true
		}
	}
	return false
}

// pollsHubs tells whether this host asks hubs in place of replicas.
func (t *transition) pollsHubs() bool {
	return len(t.seeded.hub.list) > 0 && !t.settings.IsReplica() && !t.isHub()
}

// answersPolls tells whether this host answers questions of others.
func (t *transition) answersPolls() bool { return t.settings.IsReplica() || t.seeded.hub.serves }

// primaryHub is the hub that counts this host; empty where replicas do.
func (t *transition) primaryHub() ident.Host {
	if !t.pollsHubs() {
		return ""
	}
	return t.loadSource()
}

// hubsFailed tells whether no hub has been of use for so long that replicas must be
// asked.
func (t *transition) hubsFailed() bool { return t.now.Sub(t.seeded.hub.usefulAt) > maxLeaderWait }

// renewHubs turns away from hubs that give no useful answer, and to those that rank
// next.
func (t *transition) renewHubs() {
	h := &t.seeded.hub
	if !t.pollsHubs() {
		h.polled = table.Table[ident.Host, time.Time]{}
		return
	}
	patience := max(hubTimeout, leaderTimeoutIntervals*t.pollInterval())
	for id, since := range h.polled.All() {
		c, _ := t.seeded.contacts.Get(id)
		if t.now.Sub(since) > patience && t.now.Sub(c.lastUsefulReply) > patience {
			h.avoided = h.avoided.With(id, t.now)
		}
	}
	for id, since := range h.avoided.All() {
		if t.now.Sub(since) > hubAvoidance {
			h.avoided = h.avoided.Without(id)
		}
	}
	t.pickHubs()
}

// pickHubs picks the hubs to ask: those of the own zone first, another order for each
// host, so that each hub serves about as many.
func (t *transition) pickHubs() {
	h := &t.seeded.hub
	key := hash.Of("hub of", string(t.settings.ID))
	ranked := slices.Clone(h.list)
	slices.SortFunc(ranked, func(a, b EntryHost) int {
		if near := a.Zone == t.settings.Zone; near != (b.Zone == t.settings.Zone) {
			return orderFirst(near)
		}
		return orderFirst(hash.Mix(key, hash.Of(string(a.Host))) > hash.Mix(key, hash.Of(string(b.Host))))
	})
	var asked table.Table[ident.Host, time.Time]
	for _, hub := range ranked {
		if asked.Len() == hubsPolled {
			break
		}
		if h.avoided.Has(hub.Host) {
			continue
		}
		since, ok := h.polled.Get(hub.Host)
		if !ok {
			since = t.now
		}
		asked = asked.With(hub.Host, since)
	}
	h.polled = asked
}

// deregisterElsewhere tells hosts that are asked no more that this host counts elsewhere now.
func (t *transition) deregisterElsewhere(asked []ident.Host) {
	if t.pollsHubs() && t.hubsFailed() {
		return
	}
	for _, h := range t.seeded.hub.polledLast {
		if slices.Contains(asked, h) {
			continue
		}
		t.send(h, Poll{Leaves: true, Boot: t.settings.Incarnation})
	}
	t.seeded.hub.polledLast = asked
}

// polledHubs are the hubs that this host asks.
func (t *transition) polledHubs() []ident.Host {
	out := make([]ident.Host, 0, hubsPolled)
	for h := range t.seeded.hub.polled.All() {
		out = append(out, h)
	}
	return out
}

// becomeHub gives this host what it needs to answer others: the workers that it
// knows, with revisions of its own, and the table from which others may follow.
func (t *transition) becomeHub() {
	t.seeded.hub.serves = true
	for w := range t.requests.Workers() {
		t.registry = t.registry.WithReport(w, t.now)
	}
	t.rememberTable(t.config)
	t.note(NoteHub, string(t.settings.ID), "answers other hosts")
}

// hubReply adds to an answer what a hub knows in place of a leader.
func (t *transition) hubReply(a PollReply, asked Poll) PollReply {
	a.Leader, a.Hosts, a.Replicas = t.seeded.leaderContact, t.seeded.hosts, t.seeded.replicas
	a.Cut = !t.replicaRepliedWithin(hubTimeout)
	if confirmed := t.requests.Confirmed(); !confirmed.IsZero() {
		a.Age = t.now.Sub(confirmed)
		a.Fresh = a.Age < replicaTimeout
	}
	if asked.Sums && !t.seeded.hub.outsideLoadsAt.IsZero() {
		a.Summed, a.LoadsAge = true, t.now.Sub(t.seeded.hub.outsideLoadsAt)
	}
	return a
}

// withHubList adds the list of hubs to an answer where the asker holds another one.
func (t *transition) withHubList(a PollReply, asked Poll) PollReply {
	a.HubList = t.seeded.hub.key
	if a.HubList != asked.HubList {
		a.Hubs = t.seeded.hub.list
	}
	return a
}

// loadsFor are the requests that a host is told of in a question: by a hub those
// of its group, by others their own, and to no hub but their home.
func (t *transition) loadsFor(to ident.Host) loads.Digest {
	switch {
	case t.isHub():
		return t.sumLoads().total
	case t.pollsHubs() && to != t.primaryHub() && t.seeded.hub.polled.Has(to):
		return nil
	}
	return t.requests.Loads()
}

// takeLoads takes the requests of other hosts. A hub keeps them for its group, and
// adds the group's for itself.
func (t *transition) takeLoads(told loads.Digest, asOf time.Time) {
	if t.seeded.hub.serves {
		t.seeded.hub.outsideLoads, t.seeded.hub.outsideLoadsAt = told, asOf
		told = t.sumLoads().others(t.settings.ID, told)
	}
	t.reduceRequests(requests.LoadsReported{Loads: told, AsOf: asOf})
}

// groupReport are the hosts that this hub counts; changed tells whether they must be told
// again.
func (t *transition) groupReport() (hosts []EntryHost, changed bool) {
	var names []string
	for _, c := range t.seeded.clients.All() {
		if c.primary && c.serves && t.now.Sub(c.lastPoll) <= clientLifetime {
			hosts = append(hosts, c.host)
			names = append(names, string(c.host.Host), c.host.Relay)
		}
	}
	key := hash.Of(names...)
	changed = key != t.seeded.hub.reportedGroup || t.now.Sub(t.seeded.hub.groupReportedAt) >= groupReportInterval
	if changed {
		t.seeded.hub.reportedGroup, t.seeded.hub.groupReportedAt = key, t.now
	}
	return hosts, changed
}

// keepRegistrations keeps what replicas tell of workers, for the hosts that ask this hub.
func (t *transition) keepRegistrations(workers []registry.Worker) {
	if !t.seeded.hub.serves {
		return
	}
	for _, w := range workers {
		t.registry = t.registry.WithReport(w, t.now)
	}
}

// tickHub tells the hosts that ask this hub of what has changed.
func (t *transition) tickHub() {
	if !t.seeded.hub.serves {
		return
	}
	t.pushUpdates()
	if t.now.Sub(t.seeded.relay.lookedAt) >= registryInterval {
		t.seeded.relay.lookedAt = t.now
		t.registry = t.registry.Forget(t.now)
		t.forgetLeases()
	}
}
