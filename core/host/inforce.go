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
// sends the answers.

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

// holdWrite holds the answer to a committed write until its table, or the drained zones, are in
// force. Only a leader knows when that is.
func (t *transition) holdWrite(a inforce.PendingWrite, ofZones bool) {
	if ofZones {
		t.seeded.zonesInForce = t.seeded.zonesInForce.WithPendingWrite(a, t.now)
	} else {
		t.seeded.inForce = t.seeded.inForce.WithPendingWrite(a, t.now)
	}
	t.releaseWrites()
}

// releaseWrites answers the writes whose tables or drained zones are certain to be in force in
// time.
func (t *transition) releaseWrites() {
	if !t.raft.LeaseHeld(t.now) {
		return
	}
	t.seeded.inForce = t.releaseWritesOf(t.seeded.inForce, t.inForceSettings(), LogTableInForce)
	if t.allReplicasSupportZones() {
		t.seeded.zonesInForce = t.releaseWritesOf(t.seeded.zonesInForce, t.zonesInForceSettings(), LogZoneOrderInForce)
	}
}

// releaseWritesOf answers the released writes of one kind: route tables or drained zones.
func (t *transition) releaseWritesOf(state inforce.State, settings inforce.Settings, kind LogKind) inforce.State {
	if state.PendingWrites() == 0 {
		return state
	}
	next, released := state.ReleaseWrites(settings, t.inForceView(), t.now)
	for _, a := range released {
		t.log(kind, a.ID, fmt.Sprintf("version=%d after=%s waited_for=%s", a.Version, a.Delay, a.BlockedBy))
		if a.To == t.settings.ID {
			t.handleWriteAnswered(a.ID, a.Result)
			continue
		}
		t.send(a.To, WriteAnswered{ID: a.ID, Result: a.Result})
	}
	return next
}

// handleAwaitInForce holds the answer to a write that another replica knows to be committed.
func (t *transition) handleAwaitInForce(from ident.Host, m AwaitInForce) {
	held := zonesVersion(t.catalog.Zones.Revision)
	if t.raft.Role() != raft.Leader || t.catalog.Config.Version < m.Version || held < m.Zones {
		return
	}
	if m.Zones > 0 {
		t.holdWrite(inforce.PendingWrite{ID: m.ID, To: from, Version: m.Zones, Result: t.successResult()}, true)
		return
	}
	t.holdWrite(inforce.PendingWrite{ID: m.ID, To: from, Version: m.Version, Result: t.successResult()}, false)
}

// awaitInForce waits until the table or the drained zones of a committed write are in force.
func (t *transition) awaitInForce(p pendingWrite) {
	ofZones := isZoneOrder(p.write)
	if p.inForce == 0 {
		p.inForce = t.committedVersion(p.write)
	}
	p.resendAt = t.now.Add(resendInterval)
	t.writes = t.writes.With(p.write.ID, p)
	if t.raft.Role() == raft.Leader {
		t.holdWrite(inforce.PendingWrite{ID: p.write.ID, To: t.settings.ID, Version: p.inForce, Result: t.successResult()}, ofZones)
		return
	}
	m := AwaitInForce{ID: p.write.ID, Version: p.inForce}
	if ofZones {
		m = AwaitInForce{ID: p.write.ID, Zones: p.inForce}
	}
	if leader := t.leaderHint(); leader != "" && leader.Address() != t.settings.ID {
		t.send(leader, m)
	}
}

// committedVersion returns the version, as package inforce numbers it, that must be in force
// before a committed write is answered.
func (t *transition) committedVersion(w catalog.Write) config.Version {
	if isZoneOrder(w) {
		return zonesVersion(t.catalog.Zones.Revision)
	}
	return t.catalog.Config.Version
}

// successResult returns the result of a write that is in force.
func (t *transition) successResult() catalog.Result {
	return catalog.Result{Code: catalog.OK, Version: t.catalog.Config.Version, Zones: t.catalog.Zones.Revision}
}

// mustBeInForce reports whether a write is answered only once its change is in force.
func (t *transition) mustBeInForce(w catalog.Write) bool { return t.changesTable(w) || isZoneOrder(w) }

// changesTable reports whether a write changes the route table of a seeded fleet.
func (t *transition) changesTable(w catalog.Write) bool {
	edit, _ := w.Command.(catalog.Edit)
	switch edit.Change.(type) {
	case config.PutRouteTable, config.PatchRouteTable:
		return t.settings.Seeded()
	}
	return false
}
