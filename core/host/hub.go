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
	hubsStay         = 75
	// hubGroup is how many hosts a hub is meant to serve, minZoneHubs the least
	// number of hubs in a zone.
	hubGroup    = 16
	minZoneHubs = 2
	// maxHubsAsked is how many hubs a host asks.
	maxHubsAsked = 2
	// hubTimeout is how long a hub may give no useful answer before another one is
	// asked, hubAvoided how long it is then passed over.
	hubTimeout = 1200 * time.Millisecond
	hubAvoided = 5 * time.Second
	// hubWarmUp is how long a replica that starts hears hosts before it names hubs.
	hubWarmUp = 1700 * time.Millisecond
	// hubsSettle is how long another list of hubs must have been the same before it
	// takes the place of the one in force: longer than hosts need to turn to hubs and
	// hubs to tell whom they count.
	hubsSettle = 2500 * time.Millisecond
	// groupInterval is the time between two words of a hub on whom it counts, where
	// nothing changes.
	groupInterval = 1500 * time.Millisecond
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
	// asked are the hubs that this host asks, since when; avoided those that did
	// not answer.
	asked   table.Table[ident.Host, time.Time]
	avoided table.Table[ident.Host, time.Time]
	// usefulAt is when any hub gave a useful answer last, directAt when replicas are
	// next asked because none does.
	usefulAt time.Time
	directAt time.Time
	// serves is set for good once this host was named a hub: from then on it keeps
	// registrations and answers who asks.
	serves bool
	// outside are the requests of the hosts that this hub does not count, as of
	// about outsideAt.
	outside   loads.Digest
	outsideAt time.Time
	// askedLast are the hosts asked last, replicas included.
	askedLast []ident.Host
	// toldGroup is the hash of the group last told, at groupAt.
	toldGroup hash.Key
	groupAt   time.Time
}

// isHub tells whether this host asks replicas for others.
func (t *turn) isHub() bool {
	return t.named() || t.sync.hub.serves && t.counts()
}

// counts tells whether some host has this hub for its home.
func (t *turn) counts() bool {
	for _, c := range t.sync.clients.All() {
		if c.home && t.now.Sub(c.heard) <= syncLife {
			return true
		}
	}
	return false
}

// followsHubs tells whether this host asks hubs in place of replicas.
func (t *turn) followsHubs() bool {
	return len(t.sync.hub.list) > 0 && !t.settings.IsReplica() && !t.isHub()
}

// answersSync tells whether this host answers questions of others.
func (t *turn) answersSync() bool { return t.settings.IsReplica() || t.sync.hub.serves }

// home is the hub that counts this host; empty where replicas do.
func (t *turn) home() ident.Host {
	if !t.followsHubs() {
		return ""
	}
	return t.loadSource()
}

// hubsFailed tells whether no hub has been of use for so long that replicas must be
// asked.
func (t *turn) hubsFailed() bool { return t.now.Sub(t.sync.hub.usefulAt) > maxLeadWait }

// renewHubs turns away from hubs that give no useful answer, and to those that rank
// next.
func (t *turn) renewHubs() {
	h := &t.sync.hub
	if !t.followsHubs() {
		h.asked = table.Table[ident.Host, time.Time]{}
		return
	}
	patience := max(hubTimeout, leadTimeout*t.syncInterval())
	for id, since := range h.asked.All() {
		c, _ := t.sync.contacts.Get(id)
		if t.now.Sub(since) > patience && t.now.Sub(c.useful) > patience {
			h.avoided = h.avoided.With(id, t.now)
		}
	}
	for id, since := range h.avoided.All() {
		if t.now.Sub(since) > hubAvoided {
			h.avoided = h.avoided.Without(id)
		}
	}
	t.askHubs()
}

// askHubs picks the hubs to ask: those of the own zone first, another order for each
// host, so that each hub serves about as many.
func (t *turn) askHubs() {
	h := &t.sync.hub
	key := hash.Of("hub of", string(t.settings.ID))
	ranked := slices.Clone(h.list)
	slices.SortFunc(ranked, func(a, b EntryHost) int {
		if near := a.Zone == t.settings.Zone; near != (b.Zone == t.settings.Zone) {
			return order(near)
		}
		return order(hash.Mix(key, hash.Of(string(a.Host))) > hash.Mix(key, hash.Of(string(b.Host))))
	})
	var asked table.Table[ident.Host, time.Time]
	for _, hub := range ranked {
		if asked.Len() == maxHubsAsked {
			break
		}
		if h.avoided.Has(hub.Host) {
			continue
		}
		since, ok := h.asked.Get(hub.Host)
		if !ok {
			since = t.now
		}
		asked = asked.With(hub.Host, since)
	}
	h.asked = asked
}

// leaveOthers tells hosts that are asked no more that this host counts elsewhere now.
func (t *turn) leaveOthers(asked []ident.Host) {
	if t.followsHubs() && t.hubsFailed() {
		return
	}
	for _, h := range t.sync.hub.askedLast {
		if slices.Contains(asked, h) {
			continue
		}
		t.send(h, Sync{Leaves: true, Boot: t.settings.Incarnation})
	}
	t.sync.hub.askedLast = asked
}

// hubsAsked are the hubs that this host asks.
func (t *turn) hubsAsked() []ident.Host {
	out := make([]ident.Host, 0, maxHubsAsked)
	for h := range t.sync.hub.asked.All() {
		out = append(out, h)
	}
	return out
}

// serveAsHub gives this host what it needs to answer others: the workers that it
// knows, with revisions of its own, and the table from which others may follow.
func (t *turn) serveAsHub() {
	t.sync.hub.serves = true
	for w := range t.requests.Workers() {
		t.registry = t.registry.WithWord(w, t.now)
	}
	t.rememberTable(t.config)
	t.note(NoteHub, string(t.settings.ID), "answers other hosts")
}

// hubWord adds to an answer what a hub knows in place of a leader.
func (t *turn) hubWord(a SyncAnswer, asked Sync) SyncAnswer {
	a.Leader, a.Hosts, a.Replicas = t.sync.lead, t.sync.hosts, t.sync.replicas
	a.Cut = !t.replicaHeard(hubTimeout)
	if confirmed := t.requests.Confirmed(); !confirmed.IsZero() {
		a.Age = t.now.Sub(confirmed)
		a.Fresh = a.Age < contactTimeout
	}
	if asked.Sums && !t.sync.hub.outsideAt.IsZero() {
		a.Summed, a.LoadsAge = true, t.now.Sub(t.sync.hub.outsideAt)
	}
	return a
}

// tellHubs adds the list of hubs to an answer where the asker holds another one.
func (t *turn) tellHubs(a SyncAnswer, asked Sync) SyncAnswer {
	a.HubList = t.sync.hub.key
	if a.HubList != asked.HubList {
		a.Hubs = t.sync.hub.list
	}
	return a
}

// loadsToldTo are the requests that a host is told of in a question: by a hub those
// of its group, by others their own, and to no hub but their home.
func (t *turn) loadsToldTo(to ident.Host) loads.Digest {
	switch {
	case t.isHub():
		return t.sumLoads().total
	case t.followsHubs() && to != t.home() && t.sync.hub.asked.Has(to):
		return nil
	}
	return t.requests.Loads()
}

// toldLoads takes the requests of other hosts. A hub keeps them for its group, and
// adds the group's for itself.
func (t *turn) toldLoads(told loads.Digest, asOf time.Time) {
	if t.sync.hub.serves {
		t.sync.hub.outside, t.sync.hub.outsideAt = told, asOf
		told = t.sumLoads().others(t.settings.ID, told)
	}
	t.routed(requests.LoadsReported{Loads: told, AsOf: asOf})
}

// group are the hosts that this hub counts; changed tells whether they must be told
// again.
func (t *turn) group() (hosts []EntryHost, changed bool) {
	var names []string
	for _, c := range t.sync.clients.All() {
		if c.home && c.serves && t.now.Sub(c.heard) <= syncLife {
			hosts = append(hosts, c.entry)
			names = append(names, string(c.entry.Host), c.entry.Relay)
		}
	}
	key := hash.Of(names...)
	changed = key != t.sync.hub.toldGroup || t.now.Sub(t.sync.hub.groupAt) >= groupInterval
	if changed {
		t.sync.hub.toldGroup, t.sync.hub.groupAt = key, t.now
	}
	return hosts, changed
}

// heardAsHub keeps what replicas tell of workers, for the hosts that ask this hub.
func (t *turn) heardAsHub(workers []registry.Worker) {
	if !t.sync.hub.serves {
		return
	}
	for _, w := range workers {
		t.registry = t.registry.WithWord(w, t.now)
	}
}

// tickHub tells the hosts that ask this hub of what has changed.
func (t *turn) tickHub() {
	if !t.sync.hub.serves {
		return
	}
	t.pushSync()
	if t.now.Sub(t.sync.relay.looks) >= registryInterval {
		t.sync.relay.looks = t.now
		t.registry = t.registry.Forget(t.now)
		t.forgetLeases()
	}
}
