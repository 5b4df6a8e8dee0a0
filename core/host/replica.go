// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/inforce"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/table"
)

// This file feeds events to the replicated log, executes its effects and applies committed
// entries to the catalog.

// stepRaft feeds an event to the replicated log and executes the resulting effects.
func (t *transition) stepRaft(ev raft.Event) {
	if !t.raft.Active() {
		return
	}
	next, effects := t.raft.Step(ev, t.now)
	t.raft = next
	for _, e := range effects {
		switch e := e.(type) {
		case raft.Send:
			t.send(e.To, t.envelope(e))
		case raft.Persist:
			t.emit(Persist{Persist: e})
		case raft.RoleChange:
			t.handleRoleChange(e)
		}
	}
	// Apply last: it may step the log again, and writes to disk must be emitted in log order.
	for _, e := range effects {
		switch e := e.(type) {
		case raft.Commit:
			t.applyEntries(e.Entries)
		case raft.Restore:
			t.restoreSnapshot(e.Snapshot)
		}
	}
}

// envelope wraps a message of the replicated log with the sender's and receiver's identity.
func (s State) envelope(e raft.Send) Raft {
	if !s.settings.Seeded() {
		return Raft{Message: e.Message}
	}
	return Raft{
		From: s.settings.replicaID(), To: e.To, Message: e.Message, KnowsZones: true, Zone: s.settings.Zone, KnowsRollouts: s.RolloutsEnabled(),
		KnowsDepartures: true, Departures: s.seeded.departures.forReplicas,
	}
}

// Envelope returns the host and the message to send to it for a log message that had to wait
// for the disk.
func (s State) Envelope(e raft.Send) (ident.Host, Raft) { return e.To.Address(), s.envelope(e) }

func (t *transition) handleRoleChange(e raft.RoleChange) {
	if e.Role == raft.Leader {
		t.counters.Elections++
		t.leaderSince = t.now
	}
	t.leader = e.Leader
	// Forwarded writes of an older term may be lost. Their origins resend them.
	t.writeOrigins = table.Table[string, ident.Host]{}
	t.seeded.inForce = t.seeded.inForce.WithoutPendingWrites()
	t.seeded.zonesInForce = t.seeded.zonesInForce.WithoutPendingWrites()
	t.resetRolloutControl()
	t.log(LogReplicaRole, string(t.settings.ID), fmt.Sprintf("%s term=%d leader=%s", e.Role, e.Term, e.Leader))
}

// applyEntries applies committed entries to the catalog and answers their writes. A changed
// configuration is applied and sent to the followers once for the whole batch, before reads and
// writes that waited for it continue. The first route table is not recorded as a commit for the
// in-force check, as it replaces none.
func (t *transition) applyEntries(entries []raft.Entry) {
	before := t.catalog.Config.Version
	for _, e := range entries {
		t.applied = e.Index
		t.appliedBytes += len(e.Data)
		if e.Kind != raft.EntryNormal {
			continue
		}
		w, err := catalog.DecodeWrite(e.Data)
		if err != nil {
			// Skipping a committed entry would make this replica diverge.
			panic("host: " + err.Error())
		}
		var r catalog.Result
		tableNumber, zonesBefore, rolloutsBefore := t.catalog.Config.Gateway.Number, t.catalog.Zones.Revision, t.catalog.Rollouts
		t.catalog, r = t.catalog.Apply(w)
		if tableNumber > 0 && t.catalog.Config.Gateway.Number != tableNumber {
			t.seeded.inForce = t.seeded.inForce.WithCommit(t.now)
		}
		t.recordZoneCommit(zonesBefore)
		t.recordRolloutCommit(rolloutsBefore)
		t.answerAppliedWrite(w, r)
	}
	if t.catalog.Config.Version != before {
		t.applyConfig(t.catalog.Config)
		t.pushChanges()
		t.answerReads()
		t.sendRebasedWrites()
	}
}

// answerAppliedWrite answers a write that was applied. If the write must be in force first, the
// answer is held until then.
func (t *transition) answerAppliedWrite(w catalog.Write, r catalog.Result) {
	origin, forwarded := t.writeOrigins.Get(w.ID)
	part := t.partOf(w)
	t.writeOrigins = t.writeOrigins.Without(w.ID)
	p, isOwn := t.writes.Get(w.ID)
	switch {
	case r.Code == catalog.OK && part != otherParts && forwarded:
		t.holdWrite(inforce.PendingWrite{ID: w.ID, To: origin, Version: t.committedVersion(part), Result: r}, part)
	case r.Code == catalog.OK && part != otherParts && isOwn:
		t.awaitInForce(p)
	case forwarded:
		t.send(origin, WriteAnswered{ID: w.ID, Result: r})
	default:
		t.handleWriteAnswered(w.ID, r)
	}
}

// restoreSnapshot replaces the catalog with a snapshot. It records a commit, as the snapshot may
// contain a newer route table.
func (t *transition) restoreSnapshot(s raft.Snapshot) {
	c, err := catalog.Decode(s.Data)
	if err != nil {
		panic("host: " + err.Error())
	}
	zonesBefore, rolloutsBefore := t.catalog.Zones.Revision, t.catalog.Rollouts
	t.catalog, t.applied = c, s.Index
	t.recordZoneCommit(zonesBefore)
	t.recordRolloutCommit(rolloutsBefore)
	t.seeded.inForce = t.seeded.inForce.WithCommit(t.now)
	t.applyConfig(c.Config)
	t.log(LogStateRestored, string(t.settings.ID), fmt.Sprintf("index=%d version=%d", s.Index, c.Config.Version))
}

const (
	// compactEntries and compactBytes are how many entries, and how many bytes of them, are
	// applied between two snapshots.
	compactEntries = 4096
	compactBytes   = 4 << 20
)

// maybeCompact takes a snapshot once enough entries or bytes have been applied since the last
// one.
func (t *transition) maybeCompact() {
	grown := t.applied >= t.raft.SnapshotIndex()+compactEntries || t.appliedBytes >= compactBytes
	if !t.raft.Active() || !grown || t.applied <= t.raft.SnapshotIndex() {
		return
	}
	t.appliedBytes = 0
	t.stepRaft(raft.Compact{Index: t.applied, Data: t.catalog.Encode()})
}
