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

// Package inforce decides when a route table is acknowledged; here its inputs are gathered
// and its answers sent.

// leaseWarmUp is how long a replica that starts is polled before it knows who holds
// leases: longer than hosts of any fleet leave between two polls.
const leaseWarmUp = maxPollInterval + minPollInterval

func (t *transition) inForceSettings() inforce.Settings {
	return inforce.Settings{KeyLease: t.requests.KeyLease(), InForceWithin: t.settings.InForceWithin, WarmUp: leaseWarmUp}
}

func (t *transition) inForceView() inforce.HostInfo {
	return inforce.HostInfo{Self: t.settings.ID, Started: t.started, LeaderSince: t.leaderSince}
}

// grantLease remembers what a host reports in a poll of tables in force there, and that the
// reply confirms the version held here.
func (t *transition) grantLease(from ident.Host, m Poll) {
	t.seeded.inForce = t.seeded.inForce.WithGrant(inforce.Grant{
		From: from, Incarnation: m.Boot, OldestInForce: m.InForce, SentVersion: t.currentConfig().Version,
	}, t.now)
}

func (t *transition) forgetLeases() {
	t.seeded.inForce = t.seeded.inForce.WithoutExpired(t.inForceSettings(), t.now)
	t.seeded.zonesInForce = t.seeded.zonesInForce.WithoutExpired(t.inForceSettings(), t.now)
}

// inForceReportDue tells whether this host polls early, as a leader may wait for its news.
func (t *transition) inForceReportDue() bool {
	return t.seeded.inForce.ReportDue(t.config.Version, t.inForceSettings(), t.now)
}

// inForceReport is the oldest table in force, as reported in polls now.
func (t *transition) inForceReport() config.Version {
	next, oldest := t.seeded.inForce.TakeReport(t.config.Version, t.inForceSettings(), t.now)
	t.seeded.inForce = next
	return oldest
}

// holdAnswer keeps the answer to a write until its table, or the drained zones, are in
// force; only a leader knows when that is.
func (t *transition) holdAnswer(a inforce.PendingWrite, ofZones bool) {
	if ofZones {
		t.seeded.zonesInForce = t.seeded.zonesInForce.WithPendingWrite(a, t.now)
	} else {
		t.seeded.inForce = t.seeded.inForce.WithPendingWrite(a, t.now)
	}
	t.releaseAnswers()
}

// releaseAnswers sends the answers whose tables or drained zones will be in force in time.
func (t *transition) releaseAnswers() {
	if !t.raft.LeaseHeld(t.now) {
		return
	}
	t.seeded.inForce = t.released(t.seeded.inForce, t.inForceSettings(), LogTableInForce)
	if t.allReplicasSupportZones() {
		t.seeded.zonesInForce = t.released(t.seeded.zonesInForce, t.zonesInForceSettings(), LogZoneOrderInForce)
	}
}

// released sends the answers of one kind that need not wait any more.
func (t *transition) released(s inforce.State, set inforce.Settings, kind LogKind) inforce.State {
	if s.PendingWrites() == 0 {
		return s
	}
	next, released := s.ReleaseWrites(set, t.inForceView(), t.now)
	for _, a := range released {
		t.log(kind, a.ID, fmt.Sprintf("version=%d after=%s waited_for=%s", a.Version, a.Delay, a.BlockedBy))
		if a.To == t.settings.ID {
			t.writeAnswered(a.ID, a.Result)
			continue
		}
		t.send(a.To, WriteAnswered{ID: a.ID, Result: a.Result})
	}
	return next
}

// awaitInForceReceived holds the answer to a write whose table another replica knows to
// be committed.
func (t *transition) awaitInForceReceived(from ident.Host, m AwaitInForce) {
	held := zonesVersion(t.catalog.Zones.Revision)
	if t.raft.Role() != raft.Leader || t.catalog.Config.Version < m.Version || held < m.Zones {
		return
	}
	if m.Zones > 0 {
		t.holdAnswer(inforce.PendingWrite{ID: m.ID, To: from, Version: m.Zones, Result: t.acknowledged()}, true)
		return
	}
	t.holdAnswer(inforce.PendingWrite{ID: m.ID, To: from, Version: m.Version, Result: t.acknowledged()}, false)
}

// awaitInForce waits for what answers a write, which is committed, to be in force: its
// table, or the drained zones.
func (t *transition) awaitInForce(p pendingWrite) {
	ofZones := isZoneOrder(p.write)
	if p.inForce == 0 {
		p.inForce = t.committedVersion(p.write)
	}
	p.resend = t.now.Add(resendInterval)
	t.writes = t.writes.With(p.write.ID, p)
	if t.raft.Role() == raft.Leader {
		t.holdAnswer(inforce.PendingWrite{ID: p.write.ID, To: t.settings.ID, Version: p.inForce, Result: t.acknowledged()}, ofZones)
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

// committedVersion is the version by which package inforce counts what a write leads to.
func (t *transition) committedVersion(w catalog.Write) config.Version {
	if isZoneOrder(w) {
		return zonesVersion(t.catalog.Zones.Revision)
	}
	return t.catalog.Config.Version
}

// acknowledged is the answer to a write that is in force.
func (t *transition) acknowledged() catalog.Result {
	return catalog.Result{Code: catalog.OK, Version: t.catalog.Config.Version, Zones: t.catalog.Zones.Revision}
}

// takesForce tells whether a write is answered only once what it leads to is in force.
func (t *transition) takesForce(w catalog.Write) bool { return t.changesTable(w) || isZoneOrder(w) }

// changesTable tells whether a write changes the route table of a seeded fleet.
func (t *transition) changesTable(w catalog.Write) bool {
	edit, _ := w.Command.(catalog.Edit)
	switch edit.Change.(type) {
	case config.PutRouteTable, config.PatchRouteTable:
		return t.settings.Seeded()
	}
	return false
}
