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

// A write is sent to the leader and resent until it is answered or its deadline passes. A route
// table is logged as a patch of the current one. A table whose number does not exceed a
// committed one is not logged, and a patch that lost a race is rebuilt from the newer table.

// resendInterval is the pause before an unanswered write is resent.
const resendInterval = 500 * time.Millisecond

// pendingWrite is a write that this process has not yet seen answered.
type pendingWrite struct {
	write catalog.Write
	// logEntry is the write as it is logged, made from the configuration of version base.
	// packed is its encoding for the leader.
	logEntry catalog.Write
	base     config.Version
	packed   []byte
	// proposedTerm is the term in which this replica, as leader, appended the write to the log.
	proposedTerm raft.Term
	// waitVersion is the version that this replica must hold before it rebuilds and resends the
	// write; 0 if it need not wait.
	waitVersion config.Version
	// inForce is the committed version, of the table, the drained zones or the rollouts, that must
	// be in force before the write is answered; 0 before the commit.
	inForce  config.Version
	deadline time.Time
	resendAt time.Time
}

// submit sends a write to the leader until it is answered or its deadline passes.
func (t *transition) submit(w catalog.Write, deadline time.Time) {
	t.counters.Writes++
	if r, isRefused := t.refusalIfDisabled(w); isRefused {
		t.completeWrite(w.ID, r, true)
		return
	}
	t.sendWrite(pendingWrite{write: t.withSeenRevision(w), deadline: deadline})
}

// isSuperseded reports whether a write is a valid route table whose number does not exceed that
// of a committed one. It can never change anything, so it is answered without being logged.
func (t *transition) isSuperseded(w catalog.Write) bool {
	edit, _ := w.Command.(catalog.Edit)
	put, ok := edit.Change.(config.PutRouteTable)
	return ok && !edit.Guarded && put.Gateway.Number <= t.catalog.Config.Gateway.Number && put.Gateway.Check() == nil
}

// asPatch converts a route table into a patch of the one held, so that a small change of a
// large table stays small in the log, on disk and between replicas. The one held is most likely
// the one that the patch will be applied to.
func (t *transition) asPatch(w catalog.Write) catalog.Write {
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

// sendWrite proposes a write if this replica leads, or else forwards it to the leader. A committed
// or superseded write only waits until its version is in force. If the configuration has changed
// since the log entry was made, the entry is rebuilt, as a patch fits only the table it was made
// from.
func (t *transition) sendWrite(p pendingWrite) {
	if p.inForce > 0 || t.isSuperseded(p.write) {
		t.awaitInForce(p)
		return
	}
	p.resendAt = t.now.Add(resendInterval)
	if p.logEntry.Command == nil || p.base != t.catalog.Config.Version {
		p.logEntry, p.base = t.asPatch(p.write), t.catalog.Config.Version
		p.packed = p.logEntry.Encode()
		if _, err := catalog.DecodeWrite(p.packed); err != nil {
			// No replica could apply it, and those that had committed it would stop at each start.
			t.writes = t.writes.Without(p.write.ID)
			t.completeWrite(p.write.ID, catalog.Result{Code: catalog.Invalid, Reason: err.Error()}, true)
			return
		}
	}
	if t.raft.Role() == raft.Leader {
		if r, isRefused := t.refusalIfUnsupported(p.write); isRefused {
			t.writes = t.writes.Without(p.write.ID)
			t.completeWrite(p.write.ID, r, true)
			return
		}
		// An entry stays in the log for the rest of its term. A second copy would only add to
		// the backlog that delays the first.
		alreadyProposed := p.proposedTerm == t.raft.Term()
		t.writes = t.writes.With(p.write.ID, p)
		if !alreadyProposed && t.propose(p.logEntry) {
			t.markProposed(p.write.ID)
		}
		return
	}
	t.writes = t.writes.With(p.write.ID, p)
	if leader := t.leaderHint(); leader != "" && leader != t.settings.ID {
		t.send(leader, ForwardWrite{ID: p.write.ID, Packed: p.packed})
	}
}

// rebaseWrite resends a write whose patch was made from an outdated table, once this replica
// holds the version that is in force.
func (t *transition) rebaseWrite(p pendingWrite, version config.Version) {
	p.proposedTerm, p.waitVersion = 0, version
	t.writes = t.writes.With(p.write.ID, p)
	t.sendRebasedWrites()
}

// sendRebasedWrites rebuilds and resends the writes whose base version has arrived.
func (t *transition) sendRebasedWrites() {
	for _, p := range t.writes.All() {
		if p.waitVersion == 0 || t.catalog.Config.Version < p.waitVersion {
			continue
		}
		p.waitVersion = 0
		t.sendWrite(p)
	}
}

// tickWrites resends unanswered writes. A write whose deadline has passed ends with an unknown
// result, as it may still be committed.
func (t *transition) tickWrites() {
	for id, p := range t.writes.All() {
		switch {
		case !t.now.Before(p.deadline):
			t.writes = t.writes.Without(id)
			t.completeWrite(id, catalog.Result{}, false)
		case !t.now.Before(p.resendAt):
			t.sendWrite(p)
		}
	}
}

// markProposed records that a pending write is in the log of this term.
func (t *transition) markProposed(id string) {
	if p, ok := t.writes.Get(id); ok {
		p.proposedTerm = t.raft.Term()
		t.writes = t.writes.With(id, p)
	}
}

// propose appends a write to the log and reports whether it did.
func (t *transition) propose(w catalog.Write) bool {
	w.At = t.wallClock()
	before := t.raft.Log().Last()
	t.stepRaft(raft.Propose{Data: w.Encode()})
	return t.raft.Log().Last() > before
}

// handleForwardWrite logs a write from another host if this one leads. A write that was answered
// before gets the same answer when it is applied again.
func (t *transition) handleForwardWrite(from ident.Host, m ForwardWrite) {
	if t.raft.Role() != raft.Leader {
		return
	}
	if origin, ok := t.writeOrigins.Get(m.ID); ok && origin == from {
		return
	}
	w, err := catalog.DecodeWrite(m.Packed)
	if err != nil {
		t.log(LogStateRestored, m.ID, "cannot decode forwarded write: "+err.Error())
		return
	}
	if r, isRefused := t.refusalIfUnsupported(w); isRefused {
		t.send(from, WriteAnswered{ID: w.ID, Result: r})
		return
	}
	t.writeOrigins = t.writeOrigins.With(w.ID, from)
	if !t.propose(w) {
		t.writeOrigins = t.writeOrigins.Without(w.ID)
	}
}

// handleWriteAnswered completes a pending write. A patch whose base table has changed is rebuilt
// and resent instead. A zone order that the leader did not support stays pending, and is resent
// until its deadline; a rollout order ends as unsupported.
func (t *transition) handleWriteAnswered(id string, r catalog.Result) {
	p, ok := t.writes.Get(id)
	if !ok {
		return
	}
	if isFromEarlierVersion(p, r) {
		return
	}
	if t.isRolloutUnsupported(p, r) {
		r = unsupportedRollout()
	}
	if r.Code == catalog.BaseMoved {
		t.rebaseWrite(p, r.Version)
		return
	}
	t.writes = t.writes.Without(id)
	t.completeWrite(id, r, true)
}

// completeWrite passes the result of a write to its origin. known is false if the write timed
// out.
func (t *transition) completeWrite(id string, result catalog.Result, known bool) {
	if request, ok := strings.CutPrefix(id, "claim/"); ok {
		t.handleClaimResult(ident.Request(request), result, known)
		return
	}
	if strings.HasPrefix(id, "end/") || strings.HasPrefix(id, "auto/") {
		t.handleOwnWriteResult(id, result, known)
		return
	}
	t.emit(AnswerWrite{ID: id, Result: result, Known: known})
}
