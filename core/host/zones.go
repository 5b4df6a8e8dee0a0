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

// Package zones holds which availability zones the operators have drained; this file distributes
// that state. Replicas keep it in the catalog. As it is small, every poll reply carries all of it,
// and changes are sent immediately. A confirmation therefore covers it as well as the route table:
// a host with a valid lease knows every order older than the lease. The leader acknowledges an
// order once all hosts apply it, using a second set of leases (package inforce) that counts
// revisions of the drained zones instead of route table versions.
//
// Hosts of an earlier version ignore these fields. They receive the workers of a drained zone as
// leaving, so they send them no new requests, and as ready again once the drain is revoked.

// currentZones returns the drained zones that this host sends to others.
func (s State) currentZones() zones.Drained {
	if s.settings.IsReplica() {
		return s.catalog.Zones
	}
	return s.seeded.zones
}

// DrainedZones returns the drained zones known to this host.
func (s State) DrainedZones() zones.Drained { return s.currentZones() }

// applyZones applies the drained zones received from another host if they are newer.
func (t *transition) applyZones(from ident.Host, sent zones.Drained) {
	before := t.seeded.zones
	t.seeded.zones = before.Latest(sent)
	if t.seeded.zones.Revision == before.Revision {
		return
	}
	t.requests = t.requests.WithDrainedZones(t.seeded.zones)
	t.logZoneOrders(before.Revision, string(from))
}

// recordZoneCommit records and logs the zone orders committed after a revision.
func (t *transition) recordZoneCommit(before uint64) {
	if t.catalog.Zones.Revision == before {
		return
	}
	t.seeded.zonesInForce = t.seeded.zonesInForce.WithCommit(t.now)
	t.logZoneOrders(before, "the log")
}

// logZoneOrders logs the orders after a revision.
func (t *transition) logZoneOrders(before uint64, from string) {
	for _, o := range t.currentZones().OrdersSince(before) {
		t.log(LogZoneOrder, string(o.Zone), fmt.Sprintf("drained=%t revision=%d before=%d by=%s", o.Drained, o.Revision, before, from))
	}
}

// zonesDue reports whether a client needs an update of the drained zones.
func (t *transition) zonesDue(c client) bool {
	return c.supportsZones && c.zonesRevision < t.currentZones().Revision
}

// workersForEarlierVersion rewrites registrations for a client that does not support drained zones:
// workers of drained zones appear as leaving. Workers of zones whose drain was revoked are included
// every time, or the client would not learn that they are ready again.
func (t *transition) workersForEarlierVersion(packed []byte) []byte {
	drained := t.currentZones()
	if drained.Revision == 0 {
		return packed
	}
	workers, err := registry.Unpack(packed)
	if err != nil {
		return packed
	}
	for _, o := range drained.Orders {
		workers = append(workers, t.registry.InZone(o.Zone, t.now)...)
	}
	for i, w := range workers {
		// Each order raises the sequence number of the zone's workers above that of their latest
		// heartbeats, which hubs may not have.
		workers[i].Seq += drained.RevisionOf(w.Zone)
		if drained.IsDrained(w.Zone) && w.State < registry.Draining {
			workers[i].State = registry.Draining
		}
	}
	return registry.Pack(workers)
}

// A replica of an earlier version sends the workers of a drained zone as ready and loses orders
// with each snapshot. So no order is acknowledged while such a replica takes part in the replicated
// log, which the messages of its leader and followers show within a heartbeat.

// earlierReplicaLifetime is how long such a replica counts after its last message. It exceeds the
// time that hosts may apply what the replica confirmed.
const earlierReplicaLifetime = 4 * time.Second

// recordReplicaVersion records whether a replica's version supports drained zones.
func (t *transition) recordReplicaVersion(m Raft) {
	if !m.KnowsZones {
		t.seeded.earlierReplicaSeenAt = t.now
	}
	t.recordRolloutSupport(m)
}

// allReplicasSupportZones reports whether all replicas that sent a message recently support drained
// zones.
func (t *transition) allReplicasSupportZones() bool {
	return t.now.Sub(t.seeded.earlierReplicaSeenAt) > earlierReplicaLifetime
}

// isZoneOrder reports whether a write is a zone order.
func isZoneOrder(w catalog.Write) bool {
	_, ok := w.Command.(catalog.ChangeZone)
	return ok
}

// withSeenRevision sets the revision of the zone known to this host in a zone order.
func (t *transition) withSeenRevision(w catalog.Write) catalog.Write {
	if order, ok := w.Command.(catalog.ChangeZone); ok {
		order.Seen = t.currentZones().RevisionOf(order.Zone)
		w.Command = order
	}
	return w
}

// isFromEarlierVersion reports whether the result of a zone order comes from a leader that does not
// support drained zones: it neither applied the order nor waited until all hosts do.
func isFromEarlierVersion(p pendingWrite, r catalog.Result) bool {
	if !isZoneOrder(p.write) {
		return false
	}
	return r.Code == catalog.NotFound || r.Code == catalog.OK && revisionVersion(r.Zones) < p.inForce
}

// grantZonesLease records the oldest drained zones that the polling host reports to apply, and that
// the reply confirms the current ones.
func (t *transition) grantZonesLease(from ident.Host, m Poll) {
	t.seeded.zonesInForce = t.seeded.zonesInForce.WithGrant(inforce.Grant{
		From: from, Incarnation: m.Boot, OldestInForce: m.ZonesInForce, SentVersion: revisionVersion(t.currentZones().Revision),
	}, t.now)
}

// minZonesAckTimeout is the minimum time after which a zone order is acknowledged without the
// reports of silent hosts, even if their leases allow it earlier. Reachable hosts report within
// half of it, and an operator should not wait longer for unreachable ones: by the limit of route tables
// it was 1.6 s after hosts had been cut off.
const minZonesAckTimeout = 800 * time.Millisecond

// zonesInForceSettings returns the settings of package inforce for zone orders.
func (t *transition) zonesInForceSettings() inforce.Settings {
	settings := t.inForceSettings()
	return settings.WithAckDelay(minZonesAckTimeout, t.requests.ZoneDrain())
}

// zonesReportDue reports whether this host should poll early, as a leader may wait for its report.
func (t *transition) zonesReportDue() bool {
	return t.seeded.zonesInForce.ReportDue(revisionVersion(t.seeded.zones.Revision), t.zonesInForceSettings(), t.now)
}

// zonesReport returns the oldest revision that this host or its clients may apply, for the next
// polls.
func (t *transition) zonesReport() config.Version {
	next, oldest := t.seeded.zonesInForce.TakeReport(revisionVersion(t.seeded.zones.Revision), t.zonesInForceSettings(), t.now)
	t.seeded.zonesInForce = next
	return oldest
}
