// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// Package hubs decides which hosts are hubs and which hubs a host polls; this file implements
// what a hub does. A hub polls every replica, merges what they report and replies to its
// clients like a replica. It forwards a leader's confirmation together with its age. Each host
// has one primary hub, which counts the host and its requests.
const (
	// hubTimeout is how long a hub may give no useful reply before another one is polled: four
	// polls of a small fleet.
	hubTimeout = 4 * minPollInterval
	// groupReportInterval is the time between two reports of the hosts that a hub counts while
	// they do not change. It is well below clientLifetime.
	groupReportInterval = 1500 * time.Millisecond
)

// hubState is what a host knows about hubs and, on a hub, about its clients. Its slices are
// never modified in place.
type hubState struct {
	// list holds the hubs in force; on a replica, those it selected.
	list hubs.Selection
	// pollSet holds the hubs that this host polls. pollReplicasAt is when replicas are polled
	// next while no hub gives a useful reply.
	pollSet        hubs.PollSet
	pollReplicasAt time.Time
	// replies is set once this host has been listed as a hub or polled as a fallback
	// peer, and stays set. From then on it keeps registrations and replies to polls.
	replies bool
	// outsideLoads are the requests of the hosts that this hub does not count, as of
	// outsideLoadsAt.
	outsideLoads   loads.Digest
	outsideLoadsAt time.Time
	// lastPolled are the hosts polled in the last round, replicas included.
	lastPolled []ident.Host
	// reportedGroupHash is the hash of the group last reported, at groupReportedAt.
	reportedGroupHash hash.Key
	groupReportedAt   time.Time
}

// isHub reports whether this host polls replicas on behalf of others.
func (t *transition) isHub() bool {
	return t.seeded.hub.list.Has(t.settings.ID) || t.seeded.hub.replies && t.isPrimaryOfAny()
}

// isPrimaryOfAny reports whether this host is the primary hub of any live client.
func (t *transition) isPrimaryOfAny() bool {
	for _, c := range t.seeded.clients.All() {
		if c.primary && c.isLive(t.now) {
			return true
		}
	}
	return false
}

// pollsHubs reports whether this host polls hubs instead of replicas.
func (t *transition) pollsHubs() bool {
	return t.seeded.hub.list.Len() > 0 && !t.settings.IsReplica() && !t.isHub()
}

// repliesToPolls reports whether this host replies to polls of other hosts.
func (t *transition) repliesToPolls() bool { return t.settings.IsReplica() || t.seeded.hub.replies }

// primaryHub returns the hub that counts this host, or "" if replicas do.
func (t *transition) primaryHub() ident.Host {
	if !t.pollsHubs() {
		return ""
	}
	return t.loadSource()
}

// hubsFailed reports whether hubs have given no useful reply for so long that replicas must be
// polled.
func (t *transition) hubsFailed() bool { return t.seeded.hub.pollSet.Failed(t.now) }

// hubsSilent reports whether hubs have given no useful reply for so long that a replica must be polled
// for departures.
func (t *transition) hubsSilent() bool { return t.seeded.hub.pollSet.Silent(t.now) }

// updateHubPollSet replaces polled hubs that give no useful replies with the next in rank.
func (t *transition) updateHubPollSet() {
	h := &t.seeded.hub
	if !t.pollsHubs() {
		h.pollSet = h.pollSet.Cleared()
		return
	}
	lastUseful := func(id ident.Host) time.Time {
		c, _ := t.seeded.contacts.Get(id)
		return c.lastUsefulReply
	}
	self := hubs.Self{ID: t.settings.ID, Zone: t.settings.Zone}
	timeout := max(hubTimeout, leaderTimeoutIntervals*t.pollInterval())
	h.pollSet = h.pollSet.Updated(h.list.Hosts, self, lastUseful, timeout, t.now)
}

// deregisterFromUnpolled deregisters this host from hosts that it has stopped polling, because
// others count it now.
func (t *transition) deregisterFromUnpolled(polled []ident.Host) {
	if t.pollsHubs() && t.hubsSilent() {
		return
	}
	for _, h := range t.seeded.hub.lastPolled {
		if !slices.Contains(polled, h) {
			t.send(h, Poll{Leaves: true, Boot: t.settings.Incarnation})
		}
	}
	t.seeded.hub.lastPolled = polled
}

// startReplyingToPolls prepares this host to reply to polls: it registers the known workers
// under revisions of its own and records the current table as a base for deltas.
func (t *transition) startReplyingToPolls() {
	t.seeded.hub.replies = true
	for w := range t.requests.Workers() {
		t.registry = t.registry.WithReport(w, t.now)
	}
	t.recordTable(t.config)
	t.log(LogHub, string(t.settings.ID), "answers other hosts")
}

// hubReply adds to a reply what a hub reports in place of a leader.
func (t *transition) hubReply(r PollReply, m Poll) PollReply {
	r.Leader, r.Hosts, r.Replicas = t.seeded.leaderContact, t.seeded.hosts, t.seeded.replicas
	r.Cut = !t.replicaRepliedWithin(hubTimeout)
	r.SilentZones, r.WorkersAge = t.silentZones(), t.workersAge()
	if confirmed := t.requests.Confirmation(); !confirmed.IsZero() {
		r.Age = confirmed.Age(t.now)
		r.Fresh = r.Age < replicaTimeout
	}
	if m.Sums && !t.seeded.hub.outsideLoadsAt.IsZero() {
		r.Summed, r.LoadsAge = true, t.now.Sub(t.seeded.hub.outsideLoadsAt)
	}
	return r
}

// loadsToReport returns the requests that this host reports to another one: a hub those of its
// group, other hosts their own, and nothing to hubs other than the primary one.
func (t *transition) loadsToReport(receiver ident.Host) loads.Digest {
	switch {
	case t.isHub():
		return t.sumLoads().total
	case t.pollsHubs() && receiver != t.primaryHub() && t.seeded.hub.pollSet.Has(receiver):
		return nil
	}
	return t.requests.Loads(t.now)
}

// applyReportedLoads stores the reported requests of other hosts. A hub keeps them for its
// group and adds the group's own before it uses them.
func (t *transition) applyReportedLoads(reported loads.Digest, asOf time.Time) {
	if t.seeded.hub.replies {
		t.seeded.hub.outsideLoads, t.seeded.hub.outsideLoadsAt = reported, asOf
		reported = t.sumLoads().excluding(t.settings.ID, t.loadsOutside())
	}
	t.reduceRequests(requests.LoadsReported{Loads: reported, AsOf: asOf})
}

// groupReport returns the hosts that this hub counts, including those that have just departed. due reports
// whether they must be reported in this round, which groupReport then records. A host that is no longer a hub
// reports none for as long as a replica may hold its last report.
func (t *transition) groupReport() (hosts []hubs.Host, due bool) {
	if !t.isHub() {
		return nil, !t.seeded.hub.groupReportedAt.IsZero() && t.now.Sub(t.seeded.hub.groupReportedAt) <= clientLifetime
	}
	var names []string
	add := func(h hubs.Host) {
		hosts = append(hosts, h)
		names = append(names, string(h.Host), h.Relay)
	}
	for _, c := range t.seeded.clients.All() {
		if c.primary && c.serves && c.isLive(t.now) {
			add(c.host)
		}
	}
	t.forgetDepartures()
	for _, d := range t.seeded.departed.All() {
		if !t.hasExpired(d) {
			add(d.host)
		}
	}
	h := &t.seeded.hub
	key := hash.Of(names...)
	due = key != h.reportedGroupHash || t.now.Sub(h.groupReportedAt) >= groupReportInterval
	if due {
		h.reportedGroupHash, h.groupReportedAt = key, t.now
	}
	return hosts, due
}

// storeRegistrations adds workers that replicas reported to the registry that this hub serves
// to its clients.
func (t *transition) storeRegistrations(workers []registry.Worker) {
	if !t.seeded.hub.replies {
		return
	}
	for _, w := range workers {
		if before, known := t.registry.Get(w.ID); known && !departures.IsLeaving(before) {
			t.recordDeparture(w, departures.Registered)
		}
		t.registry = t.registry.WithReport(w, t.now)
	}
}

// tickHub sends changes to the clients of this hub and expires old state.
func (t *transition) tickHub() {
	if !t.seeded.hub.replies {
		return
	}
	t.pushUpdates()
	if t.now.Sub(t.seeded.registryScannedAt) >= registryScanInterval {
		t.seeded.registryScannedAt = t.now
		t.registry = t.registry.Forget(t.now)
		t.expireLeases()
	}
}
