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

// A replica feeds the replicated log, carries out what the log asks for, and applies
// what is committed to the catalog.

// stepRaft feeds the replicated log and carries out what it asks for.
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
			t.roleChanged(e)
		}
	}
	// Applying comes last: it may feed the log again, and what the disk must
	// write has to leave here in log order.
	for _, e := range effects {
		switch e := e.(type) {
		case raft.Commit:
			t.applyEntries(e.Entries)
		case raft.Restore:
			t.restore(e.Snapshot)
		}
	}
}

// envelope addresses a message of the replicated log.
func (s State) envelope(e raft.Send) Raft {
	if !s.settings.Seeded() {
		return Raft{Message: e.Message}
	}
	return Raft{From: s.settings.replicaID(), To: e.To, Message: e.Message, KnowsZones: true}
}

// Envelope addresses a message that had to wait for the disk.
func (s State) Envelope(e raft.Send) (ident.Host, Raft) { return e.To.Address(), s.envelope(e) }

func (t *transition) roleChanged(e raft.RoleChange) {
	if e.Role == raft.Leader {
		t.counters.Elections++
		t.leaderSince = t.now
	}
	t.leader = e.Leader
	// Writes handed over in an older term may be lost; who waits sends again.
	t.writeOrigins = table.Table[string, ident.Host]{}
	t.seeded.inForce = t.seeded.inForce.WithoutPendingWrites()
	t.seeded.zonesInForce = t.seeded.zonesInForce.WithoutPendingWrites()
	t.log(LogReplicaRole, string(t.settings.ID), fmt.Sprintf("%s term=%d leader=%s", e.Role, e.Term, e.Leader))
}

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
			// A committed entry that cannot be read means that this replica
			// would diverge.
			panic("host: " + err.Error())
		}
		var r catalog.Result
		table, zonesBefore := t.catalog.Config.Gateway.Number, t.catalog.Zones.Revision
		t.catalog, r = t.catalog.Apply(w)
		if table > 0 && t.catalog.Config.Gateway.Number != table {
			t.seeded.inForce = t.seeded.inForce.WithCommit(t.now)
		}
		t.recordZoneCommit(zonesBefore)
		t.answerOrigin(w, r)
	}
	if t.catalog.Config.Version != before {
		t.useConfig(t.catalog.Config)
		t.pushChanges()
		t.answerReads()
		t.sendMoved()
	}
}

// answerOrigin answers a write that was applied, or has its answer wait until the table
// that it brought is in force.
func (t *transition) answerOrigin(w catalog.Write, r catalog.Result) {
	from, forwarded := t.writeOrigins.Get(w.ID)
	t.writeOrigins = t.writeOrigins.Without(w.ID)
	p, own := t.writes.Get(w.ID)
	switch {
	case r.Code == catalog.OK && t.takesForce(w) && forwarded:
		t.holdAnswer(inforce.PendingWrite{ID: w.ID, To: from, Version: t.committedVersion(w), Result: r}, isZoneOrder(w))
	case r.Code == catalog.OK && t.takesForce(w) && own:
		t.awaitInForce(p)
	case forwarded:
		t.send(from, WriteAnswered{ID: w.ID, Result: r})
	default:
		t.writeAnswered(w.ID, r)
	}
}

func (t *transition) restore(s raft.Snapshot) {
	c, err := catalog.Decode(s.Data)
	if err != nil {
		panic("host: " + err.Error())
	}
	zonesBefore := t.catalog.Zones.Revision
	t.catalog, t.applied = c, s.Index
	t.recordZoneCommit(zonesBefore)
	t.seeded.inForce = t.seeded.inForce.WithCommit(t.now)
	t.useConfig(c.Config)
	t.log(LogStateRestored, string(t.settings.ID), fmt.Sprintf("index=%d version=%d", s.Index, c.Config.Version))
}

const (
	// compactEvery is how many entries the log grows between snapshots.
	// Chosen, not measured.
	compactEvery = 4096
	// compactBytes is how many bytes of entries are applied between snapshots.
	// Chosen, not measured.
	compactBytes = 4 << 20
)

// maybeCompact takes a snapshot when the log has grown by compactEvery.
func (t *transition) maybeCompact() {
	grown := t.applied >= t.raft.SnapshotIndex()+compactEvery || t.appliedBytes >= compactBytes
	if !t.raft.Active() || !grown || t.applied <= t.raft.SnapshotIndex() {
		return
	}
	t.appliedBytes = 0
	t.stepRaft(raft.Compact{Index: t.applied, Data: t.catalog.Encode()})
}
