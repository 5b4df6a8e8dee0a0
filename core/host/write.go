// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"strings"
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
)

// A write is sent to the leader, and sent again, until it is answered or its time is over.
// A route table is sent as a patch of the one in force; one whose number does not exceed a
// committed one needs no place in the log; one whose patch lost a race is made anew.

// resendInterval is the pause before an unanswered write is sent again. Chosen, not measured.
const resendInterval = 500 * time.Millisecond

// pendingWrite is a write that this process waits for.
type pendingWrite struct {
	write catalog.Write
	// logged is the write as it goes into the log, made from the configuration of
	// version base; packed is the same as it is handed to the leader.
	logged catalog.Write
	base   config.Version
	packed []byte
	// proposed is the term in which this replica, as leader, wrote it to the log.
	proposed raft.Term
	// after is the version that must be held before the write is sent again.
	after config.Version
	// inForce is the committed version, of the table or of the drained zones, that answers
	// the write once it is in force; 0 before.
	inForce  config.Version
	deadline time.Time
	resend   time.Time
}

// submit sends a write to the leader until it is answered or its time is over.
func (t *transition) submit(w catalog.Write, deadline time.Time) {
	t.counters.Writes++
	t.sendWrite(pendingWrite{write: t.withSeenRevision(w), deadline: deadline})
}

// overtaken tells whether a write is a route table whose number does not exceed
// that of a committed one: it is answered and changes nothing, whatever
// comes later, so it needs no place in the log.
func (t *transition) overtaken(w catalog.Write) bool {
	edit, _ := w.Command.(catalog.Edit)
	put, ok := edit.Change.(config.PutRouteTable)
	return ok && !edit.Guarded && put.Gateway.Number <= t.catalog.Config.Gateway.Number && put.Gateway.Check() == nil
}

// patched turns a route table into what differs from the one held, which is the
// one in force in all likelihood. The log, the disks and the links between
// replicas then carry a small change of a large table as a small entry.
func (t *transition) patched(w catalog.Write) catalog.Write {
	edit, _ := w.Command.(catalog.Edit)
	put, ok := edit.Change.(config.PutRouteTable)
	held := t.catalog.Config.Gateway
	if !ok || held.Number == 0 {
		return w
	}
	edit.Change = config.PatchRouteTable{Patch: held.PatchTo(put.Gateway)}
	w.Command = edit
	return w
}

func (t *transition) sendWrite(p pendingWrite) {
	if p.inForce > 0 || t.overtaken(p.write) {
		t.awaitInForce(p)
		return
	}
	p.resend = t.now.Add(resendInterval)
	if p.logged.Command == nil || p.base != t.catalog.Config.Version {
		p.logged, p.packed, p.base = t.patched(p.write), nil, t.catalog.Config.Version
	}
	if t.raft.Role() == raft.Leader {
		// Once in the log of a term it stays there as long as the term lasts; a
		// second copy would only add to what holds the first one up.
		again := p.proposed == t.raft.Term()
		t.writes = t.writes.With(p.write.ID, p)
		if !again && t.propose(p.logged) {
			t.markProposed(p.write.ID)
		}
		return
	}
	if p.packed == nil {
		p.packed = p.logged.Encode()
	}
	t.writes = t.writes.With(p.write.ID, p)
	if leader := t.leaderHint(); leader != "" && leader != t.settings.ID {
		t.send(leader, ForwardWrite{ID: p.write.ID, Packed: p.packed})
	}
}

// baseMoved sends a patch again that was made from a table no longer in force,
// once the one that is has come to this replica.
func (t *transition) baseMoved(p pendingWrite, inForce config.Version) {
	p.proposed, p.after = 0, inForce
	t.writes = t.writes.With(p.write.ID, p)
	t.sendMoved()
}

// sendMoved sends the writes again whose base has come.
func (t *transition) sendMoved() {
	for _, p := range t.writes.All() {
		if p.after == 0 || t.catalog.Config.Version < p.after {
			continue
		}
		p.after = 0
		t.sendWrite(p)
	}
}

func (t *transition) tickWrites() {
	for id, p := range t.writes.All() {
		switch {
		case !t.now.Before(p.deadline):
			t.writes = t.writes.Without(id)
			t.writeDone(id, catalog.Result{}, false)
		case !t.now.Before(p.resend):
			t.sendWrite(p)
		}
	}
}

// markProposed notes that a write that still waits stands in the log.
func (t *transition) markProposed(id string) {
	if p, ok := t.writes.Get(id); ok {
		p.proposed = t.raft.Term()
		t.writes = t.writes.With(id, p)
	}
}

// propose tells whether the write now stands in this leader's log.
func (t *transition) propose(w catalog.Write) bool {
	w.At = t.timeOfDay()
	before := t.raft.Log().Last()
	t.stepRaft(raft.Propose{Data: w.Encode()})
	return t.raft.Log().Last() > before
}

// forwardWrite takes a write from another host; only a leader acts on it, and
// a write that has an answer already gets it when it is applied again.
func (t *transition) forwardWrite(from ident.Host, m ForwardWrite) {
	if t.raft.Role() != raft.Leader {
		return
	}
	if have, ok := t.writeOrigins.Get(m.ID); ok && have == from {
		return
	}
	w, err := catalog.DecodeWrite(m.Packed)
	if err != nil {
		t.log(LogStateRestored, m.ID, "a forwarded write cannot be read: "+err.Error())
		return
	}
	t.writeOrigins = t.writeOrigins.With(w.ID, from)
	if !t.propose(w) {
		t.writeOrigins = t.writeOrigins.Without(w.ID)
	}
}

func (t *transition) writeAnswered(id string, r catalog.Result) {
	p, ok := t.writes.Get(id)
	if !ok {
		return
	}
	if isFromEarlierVersion(p, r) {
		return
	}
	if r.Code == catalog.BaseMoved {
		t.baseMoved(p, r.Version)
		return
	}
	t.writes = t.writes.Without(id)
	t.writeDone(id, r, true)
}

// writeDone hands the answer to whom the write was for.
func (t *transition) writeDone(id string, r catalog.Result, known bool) {
	if request, ok := strings.CutPrefix(id, "claim/"); ok {
		t.handleClaimResult(ident.Request(request), r, known)
		return
	}
	if strings.HasPrefix(id, "end/") || strings.HasPrefix(id, "auto/") {
		t.handleOwnWriteResult(id, r, known)
		return
	}
	t.emit(AnswerWrite{ID: id, Result: r, Known: known})
}
