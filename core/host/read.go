// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
)

// pendingRead waits until the leader has confirmed a version of the route table and a revision of the
// rollouts, and this replica holds both.
type pendingRead struct {
	deadline  time.Time
	resendAt  time.Time
	confirmed bool
	version   config.Version
	rollouts  uint64
}

// A read of the route table or of the rollouts is answered once the leader has confirmed, after the
// read arrived, which version and revision are the newest, and this replica holds them.

// readResendInterval is the pause before an unanswered request is resent.
const readResendInterval = 200 * time.Millisecond

func (t *transition) handleRead(ev ReadSubmitted) {
	t.reads = t.reads.With(ev.ID, pendingRead{deadline: ev.Deadline})
	t.requestRead(ev.ID)
}

// requestRead asks the leader for the newest version. The request is sent after the read
// arrived, so the reply covers every write acknowledged before the read.
func (t *transition) requestRead(id string) {
	p, ok := t.reads.Get(id)
	if !ok {
		return
	}
	p.resendAt = t.now.Add(readResendInterval)
	t.reads = t.reads.With(id, p)
	if t.raft.LeaseHeld(t.now) {
		t.handleReadReply(t.readReply(id))
		return
	}
	if leader := t.raft.Leader(); leader != "" && leader != t.settings.replicaID() {
		t.send(leader, ReadRequest{ID: id})
	}
}

func (t *transition) handleReadRequest(from ident.Host, m ReadRequest) {
	if t.raft.LeaseHeld(t.now) {
		t.send(from, t.readReply(m.ID))
	}
}

func (t *transition) readReply(id string) ReadReply {
	return ReadReply{ID: id, Version: t.catalog.Config.Version, Rollouts: t.Rollouts().Revision}
}

// handleReadReply records the version that the leader confirmed. The read is answered once this
// replica holds it.
func (t *transition) handleReadReply(m ReadReply) {
	p, ok := t.reads.Get(m.ID)
	if !ok {
		return
	}
	p.confirmed, p.version, p.rollouts = true, m.Version, m.Rollouts
	t.reads = t.reads.With(m.ID, p)
	t.answerReads()
}

// answerReads answers the reads whose confirmed version this replica holds.
func (t *transition) answerReads() {
	for id, p := range t.reads.All() {
		if p.confirmed && t.catalog.Config.Version >= p.version && t.Rollouts().Revision >= p.rollouts {
			t.reads = t.reads.Without(id)
			t.emit(AnswerRead{ID: id, Current: true})
		}
	}
}

// tickReads answers reads whose deadline has passed as not current, and repeats requests that the
// leader has not confirmed. A confirmed read only waits for this replica to apply the version.
func (t *transition) tickReads() {
	for id, p := range t.reads.All() {
		switch {
		case !t.now.Before(p.deadline):
			t.reads = t.reads.Without(id)
			t.emit(AnswerRead{ID: id})
		case !p.confirmed && !t.now.Before(p.resendAt):
			t.requestRead(id)
		}
	}
}
