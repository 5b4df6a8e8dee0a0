// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft

import "github.com/yardhall/yardhall/core/ident"

// A replica that has answered a leader helps to elect nobody for an election time,
// since that leader's lease may rest on its answer, and a replica that was restarted
// does not know whether it has answered one. Where all replicas were restarted, this
// wait protects nobody: the leader they had holds no lease any more.
//
// So replicas keep on disk who led the newest term they know. When the leader of that
// very term asks for votes for the next one, or is this replica itself, its lease is
// void: a replica asks for votes only while it does not lead, and never leads a term
// again that it has left. So it may be helped at once.
//
// The next term, and no later one: a replica that answered the leader of a later term
// may have been restarted before its disk held that term. Each quorum that could
// elect for the next term then holds a replica whose vote for the later leader was on
// disk before it counted, and which refuses.
const (
	// hurryElections election times after its restart, a replica that led asks for
	// votes more often: about once in a heartbeat over hurriedShare. The others may
	// not have started yet. Chosen, not measured.
	hurryElections = 2
	hurriedShare   = 4
	// votesDue heartbeats are waited for votes once others have promised theirs: they
	// need the disks of these, and with each election that is given up before the next
	// term has to be voted on again. On processors of a tenth of a core at 300 machines a
	// leader that had been restarted went through five terms in 1.2 s.
	votesDue = 2
)

// leaseIsVoid tells whether the leader of this replica's term surely holds no lease,
// as a request for votes shows.
func (w *step) leaseIsVoid(from ident.Host, m VoteRequest) bool {
	if m.Term != w.hard.Term+1 || w.hard.Leader == "" {
		return false
	}
	return from == w.hard.Leader || w.id == w.hard.Leader
}
