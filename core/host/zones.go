// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/inforce"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/zones"
)

// Package zones holds which availability zones the operators have drained; here is how that
// becomes known. Replicas hold it in the catalog. Each reply to a poll carries it whole, as
// it is small, and what changes is sent at once. A confirmation therefore covers it as well
// as the route table: a host that serves by a valid lease knows every order that is older
// than the lease. The leader answers an order once it will be in force everywhere, by leases
// of its own (package inforce) that count revisions of the drained zones in place of versions
// of the route table.
//
// An earlier program reads past all that. It is sent the workers of a drained zone as leaving,
// which makes it send nothing new there either, and as ready again once the zone is taken
// back.

// zonesVersion is the number under which package inforce counts a revision: from 1 on, as 0
// stands there for what was never sent.
func zonesVersion(revision uint64) config.Version { return config.Version(revision) + 1 }

// heldZones are the drained zones that this host sends others.
func (s State) heldZones() zones.Drained {
	if s.settings.IsReplica() {
		return s.catalog.Zones
	}
	return s.seeded.zones
}

// DrainedZones are the drained zones as this host knows them.
func (s State) DrainedZones() zones.Drained { return s.heldZones() }

// takeZones serves by the drained zones that another host sent, where these are newer.
func (t *transition) takeZones(from ident.Host, sent zones.Drained) {
	before := t.seeded.zones
	t.seeded.zones = before.Latest(sent)
	if t.seeded.zones.Revision == before.Revision {
		return
	}
	t.requests = t.requests.WithDrained(t.seeded.zones)
	t.noteZones(before.Revision, string(from))
}

// zonesCommitted takes note of orders that were applied after a revision.
func (t *transition) zonesCommitted(before uint64) {
	if t.catalog.Zones.Revision == before {
		return
	}
	t.seeded.zonesInForce = t.seeded.zonesInForce.WithCommit(t.now)
	t.noteZones(before, "the log")
}

// noteZones logs the orders after a revision.
func (t *transition) noteZones(before uint64, from string) {
	for _, o := range t.heldZones().OrdersSince(before) {
		t.note(LogZoneOrder, string(o.Zone), fmt.Sprintf("drained=%t revision=%d before=%d by=%s", o.Drained, o.Revision, before, from))
	}
}

// zonesDue tells whether a client is to be sent newer drained zones now.
func (t *transition) zonesDue(c client) bool {
	return c.knowsZones && c.zones < t.heldZones().Revision
}

// workersForEarlier are registrations as a client is sent them whose program knows nothing of
// drained zones: workers of such zones leave, and those of zones that were taken back are
// sent each time, as the client would else not learn that they are ready again.
func (t *transition) workersForEarlier(packed []byte) []byte {
	held := t.heldZones()
	if held.Revision == 0 {
		return packed
	}
	workers, err := registry.Unpack(packed)
	if err != nil {
		return packed
	}
	for _, o := range held.Orders {
		workers = append(workers, t.registry.InZone(o.Zone, t.now)...)
	}
	for i, w := range workers {
		// Each order makes a worker's registration newer, as hubs may not know its latest
		// heartbeats.
		workers[i].Seq += held.RevisionOf(w.Zone)
		if held.IsDrained(w.Zone) && w.State < registry.Draining {
			workers[i].State = registry.Draining
		}
	}
	return registry.Pack(workers)
}

// A replica of an earlier program goes on sending the workers of a drained zone as ready, and
// forgets orders with each snapshot. So no order is acknowledged while one takes part in the
// replicated log: what its leader and its followers send shows that within a heartbeat.

// earlierReplicaLifetime is how long after its last message such a replica counts: longer than
// hosts may serve by what it confirmed.
const earlierReplicaLifetime = 4 * time.Second

// noteReplicaProgram notes whether a replica's program knows of zones.
func (t *transition) noteReplicaProgram(m Raft) {
	if !m.KnowsZones {
		t.seeded.earlierReplicaAt = t.now
	}
}

// allReplicasKnowZones tells whether every replica that sends anything knows of zones.
func (t *transition) allReplicasKnowZones() bool {
	return t.now.Sub(t.seeded.earlierReplicaAt) > earlierReplicaLifetime
}

// changesZone tells whether a write is an order for a zone.
func changesZone(w catalog.Write) bool {
	_, ok := w.Command.(catalog.ChangeZone)
	return ok
}

// withSeen names in an order the revision of its zone that is known where it is received.
func (t *transition) withSeen(w catalog.Write) catalog.Write {
	if order, ok := w.Command.(catalog.ChangeZone); ok {
		order.Seen = t.heldZones().RevisionOf(order.Zone)
		w.Command = order
	}
	return w
}

// ofEarlierProgram tells whether an answer to an order comes from a leader that knows
// nothing of zones: it has neither carried out the order nor waited for it to be in force.
func ofEarlierProgram(p pendingWrite, r catalog.Result) bool {
	if !changesZone(p.write) {
		return false
	}
	return r.Code == catalog.NotFound || r.Code == catalog.OK && zonesVersion(r.Zones) < p.inForce
}

// grantZonesLease remembers which drained zones a host serves by, as it reports, and that
// the reply confirms those held here.
func (t *transition) grantZonesLease(from ident.Host, m Poll) {
	t.seeded.zonesInForce = t.seeded.zonesInForce.WithGrant(inforce.Grant{
		From: from, Incarnation: m.Boot, OldestInForce: m.ZonesInForce, SentVersion: zonesVersion(t.heldZones().Revision),
	}, t.now)
}

// zonesHold is how long an order's acknowledgement waits for hosts that have not yet said
// that they serve by it, where leases would end in time without: hosts in touch know within
// half of it, and an operator is not kept waiting for one that is lost. Measured on a day
// with hosts cut off before: 1.6 s where it waited as for a route table.
const zonesHold = 800 * time.Millisecond

// zonesSettings are the bounds by which orders are acknowledged.
func (t *transition) zonesSettings() inforce.Settings {
	set := t.inForceSettings()
	return set.WithAckDelay(zonesHold, t.requests.ZoneDrain())
}

// zonesReportDue tells whether this host polls early, as a leader may wait for its news.
func (t *transition) zonesReportDue() bool {
	return t.seeded.zonesInForce.ReportDue(zonesVersion(t.seeded.zones.Revision), t.zonesSettings(), t.now)
}

// zonesReport is the oldest revision in force, as reported in polls now.
func (t *transition) zonesReport() config.Version {
	next, oldest := t.seeded.zonesInForce.TakeReport(zonesVersion(t.seeded.zones.Revision), t.zonesSettings(), t.now)
	t.seeded.zonesInForce = next
	return oldest
}
