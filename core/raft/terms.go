// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// guardTerm handles messages of other terms and tells whether m is done with.
func (w *step) guardTerm(from ident.Host, m Message) bool {
	t := termOf(m)
	if v, ok := m.(VoteRequest); ok && (v.Pre || !v.Transfer) && w.leaderAlive(from, v) && t > w.hard.Term {
		// A replica back from a long cut must not unseat a live leader.
		w.send(from, VoteReply{Term: w.hard.Term, Pre: v.Pre})
		return true
	}
	if v, ok := m.(VoteReply); ok && v.Pre && v.Granted {
		return false
	}
	if v, ok := m.(VoteRequest); ok && v.Pre {
		return false
	}
	if t > w.hard.Term {
		w.become(Follower, t)
		return false
	}
	if t < w.hard.Term {
		w.answerStale(from, m)
		return true
	}
	return false
}

// answerStale tells a sender of an older term about the present one.
func (w *step) answerStale(from ident.Host, m Message) {
	switch m := m.(type) {
	case Append, SnapshotChunk:
		w.send(from, AppendReply{Term: w.hard.Term})
	case VoteRequest:
		w.send(from, VoteReply{Term: w.hard.Term, Pre: m.Pre})
	}
}

// leaderAlive tells whether a leader may rely on this replica not to elect another
// one, as a request for votes asks.
func (w *step) leaderAlive(from ident.Host, m VoteRequest) bool {
	if w.role != Leader && w.leaseIsVoid(from, m) {
		return false
	}
	if w.role == Leader || w.now.Before(w.promised) {
		return true
	}
	return w.leader != "" && w.now.Sub(w.leaderSeen) < w.options.Election
}

func (w *step) become(r Role, t Term) {
	if t > w.hard.Term {
		w.hard.Term = t
		w.hard.Vote = ""
		w.hard.Leader = ""
		w.leader = ""
		if r != Candidate {
			w.hurryUntil = time.Time{}
		}
	}
	if r != Leader && w.role == Leader {
		w.leader = ""
	}
	w.role = r
	w.votes, w.refusals = nil, nil
	if r != Leader {
		w.peers, w.rounds = nil, nil
		w.resetElection()
	}
}
