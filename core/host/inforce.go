// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/inforce"
	"github.com/yardhall/yardhall/core/raft"
)

// Package inforce decides when a route table is acknowledged. This file collects its inputs and
// sends the answers. Drained zones and rollouts are acknowledged in the same way, each with leases
// of their own that count revisions instead of route table versions.

// replicated is a part of the replicated state whose writes are answered once the part is in force.
type replicated uint8

const (
	// otherParts are answered as soon as they are committed.
	otherParts replicated = iota
	routeTablePart
	zonesPart
	rolloutsPart
)

// revisionVersion converts a revision of the drained zones or the rollouts to the version that
// package inforce counts. It starts at 1, as 0 stands for a version that was never sent.
func revisionVersion(revision uint64) config.Version { return config.Version(revision) + 1 }

// leaseWarmUp is how long a replica must be polled after its start before it knows all lease
// holders. It exceeds the time between two polls in a fleet of any size.
const leaseWarmUp = maxPollInterval + minPollInterval

func (t *transition) inForceSettings() inforce.Settings {
	return inforce.Settings{KeyLease: t.requests.KeyLease(), InForceWithin: t.settings.InForceWithin, WarmUp: leaseWarmUp}
}

func (t *transition) inForceView() inforce.HostInfo {
	return inforce.HostInfo{Self: t.settings.ID, Started: t.started, LeaderSince: t.leaderSince}
}

// recordLease records which table a host reports in force, and that the reply confirms the
// version held here.
func (t *transition) recordLease(from ident.Host, m Poll) {
	t.seeded.inForce = t.seeded.inForce.WithGrant(inforce.Grant{
		From: from, Incarnation: m.Boot, OldestInForce: m.InForce, SentVersion: t.currentConfig().Version,
	}, t.now)
}

func (t *transition) expireLeases() {
	t.seeded.inForce = t.seeded.inForce.WithoutExpired(t.inForceSettings(), t.now)
	t.seeded.zonesInForce = t.seeded.zonesInForce.WithoutExpired(t.inForceSettings(), t.now)
	t.seeded.rollouts.inForce = t.seeded.rollouts.inForce.WithoutExpired(t.inForceSettings(), t.now)
}

// inForceReportDue reports whether this host should poll early because a leader may be waiting
// for its report.
func (t *transition) inForceReportDue() bool {
	return t.seeded.inForce.ReportDue(t.config.Version, t.inForceSettings(), t.now)
}

// inForceReport returns the oldest table in force to report in polls, and records that it is
// reported.
func (t *transition) inForceReport() config.Version {
	next, oldest := t.seeded.inForce.TakeReport(t.config.Version, t.inForceSettings(), t.now)
	t.seeded.inForce = next
	return oldest
}

// holdWrite holds the answer to a committed write until its part of the state is in force. Only a
// leader knows when that is.
func (t *transition) holdWrite(a inforce.PendingWrite, part replicated) {
	held := t.inForceOf(part)
	*held = held.WithPendingWrite(a, t.now)
	t.releaseWrites()
}

// inForceOf returns the leases of a part of the state.
func (t *transition) inForceOf(part replicated) *inforce.State {
	switch part {
	case zonesPart:
		return &t.seeded.zonesInForce
	case rolloutsPart:
		return &t.seeded.rollouts.inForce
	case routeTablePart, otherParts:
	}
	return &t.seeded.inForce
}

// releaseWrites answers the writes whose part of the state is certain to be in force in time.
func (t *transition) releaseWrites() {
	if !t.raft.LeaseHeld(t.now) {
		return
	}
	t.seeded.inForce = t.releaseWritesOf(t.seeded.inForce, t.inForceSettings(), LogTableInForce)
	if t.allReplicasSupportZones() {
		t.seeded.zonesInForce = t.releaseWritesOf(t.seeded.zonesInForce, t.zonesInForceSettings(), LogZoneOrderInForce)
	}
	t.releaseRolloutWrites()
}

// releaseWritesOf answers the released writes of one part of the state.
func (t *transition) releaseWritesOf(state inforce.State, settings inforce.Settings, kind LogKind) inforce.State {
	if state.PendingWrites() == 0 {
		return state
	}
	next, released := state.ReleaseWrites(settings, t.inForceView(), t.now)
	for _, a := range released {
		t.log(kind, a.ID, fmt.Sprintf("version=%d after=%s waited_for=%s", a.Version, a.Delay, a.BlockedBy))
		t.answerHeldWrite(a.PendingWrite)
	}
	return next
}

func (t *transition) answerHeldWrite(a inforce.PendingWrite) {
	if a.To == t.settings.ID {
		t.handleWriteAnswered(a.ID, a.Result)
		return
	}
	t.send(a.To, WriteAnswered{ID: a.ID, Result: a.Result})
}

// handleAwaitInForce holds the answer to a write that another replica knows to be committed.
func (t *transition) handleAwaitInForce(from ident.Host, m AwaitInForce) {
	part, version := routeTablePart, m.Version
	switch {
	case m.Zones > 0:
		part, version = zonesPart, m.Zones
	case m.Rollouts > 0:
		part, version = rolloutsPart, m.Rollouts
	}
	if t.raft.Role() != raft.Leader || t.committedVersion(part) < version {
		return
	}
	t.holdWrite(inforce.PendingWrite{ID: m.ID, To: from, Version: version, Result: t.successResult()}, part)
}

// awaitInForce waits until a committed write is in force.
func (t *transition) awaitInForce(p pendingWrite) {
	part := t.partOf(p.write)
	if p.inForce == 0 {
		p.inForce = t.committedVersion(part)
	}
	p.resendAt = t.now.Add(resendInterval)
	t.writes = t.writes.With(p.write.ID, p)
	if t.raft.Role() == raft.Leader {
		t.holdWrite(inforce.PendingWrite{ID: p.write.ID, To: t.settings.ID, Version: p.inForce, Result: t.successResult()}, part)
		return
	}
	m := AwaitInForce{ID: p.write.ID}
	switch part {
	case zonesPart:
		m.Zones = p.inForce
	case rolloutsPart:
		m.Rollouts = p.inForce
	case routeTablePart, otherParts:
		m.Version = p.inForce
	}
	if leader := t.leaderHint(); leader != "" && leader.Address() != t.settings.ID {
		t.send(leader, m)
	}
}

// committedVersion returns the version, as package inforce numbers it, that must be in force
// before a committed write to a part of the state is answered.
func (t *transition) committedVersion(part replicated) config.Version {
	switch part {
	case zonesPart:
		return revisionVersion(t.catalog.Zones.Revision)
	case rolloutsPart:
		return revisionVersion(t.catalog.Rollouts.Revision)
	case routeTablePart, otherParts:
	}
	return t.catalog.Config.Version
}

// successResult returns the result of a write that is in force.
func (t *transition) successResult() catalog.Result {
	return catalog.Result{
		Code: catalog.OK, Version: t.catalog.Config.Version, Zones: t.catalog.Zones.Revision, Rollouts: t.catalog.Rollouts.Revision,
	}
}

// partOf returns the part of the state that must be in force before a write is answered.
func (t *transition) partOf(w catalog.Write) replicated {
	switch c := w.Command.(type) {
	case catalog.ChangeZone:
		return zonesPart
	case catalog.OrderRollout, catalog.RevertRollout:
		return rolloutsPart
	case catalog.Edit:
		if t.settings.Seeded() && isRouteTable(c.Change) {
			return routeTablePart
		}
	}
	return otherParts
}

// isRouteTable reports whether a change replaces or patches the route table.
func isRouteTable(c config.Change) bool {
	switch c.(type) {
	case config.PutRouteTable, config.PatchRouteTable:
		return true
	}
	return false
}

// inForceReports are the oldest versions in force that a host reports in its polls.
type inForceReports struct{ table, zones, rollouts config.Version }

// takeInForceReports returns the reports for the next polls and records that they are sent.
func (t *transition) takeInForceReports() inForceReports {
	return inForceReports{table: t.inForceReport(), zones: t.zonesReport(), rollouts: t.rolloutsReport()}
}

func (m Poll) withInForce(r inForceReports) Poll {
	m.InForce, m.ZonesInForce, m.RolloutsInForce = r.table, r.zones, r.rollouts
	return m
}
