// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft

import "slices"

// changeMember writes a new member list that differs in one member. A learner
// is promoted only once it holds the whole log up to a batch.
func (w *step) changeMember(ev ChangeMember) {
	if w.role != Leader || w.membersAt > w.commit || !w.committedOwnTerm() {
		return
	}
	members := slices.DeleteFunc(slices.Clone(w.members), func(m Member) bool { return m.ID == ev.Member.ID })
	if !ev.Remove {
		if ev.Member.Voter && !w.caughtUp(ev.Member) {
			return
		}
		members = append(members, ev.Member)
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if countVoters(members) == 0 || slices.Equal(members, w.members) {
		return
	}
	w.propose(Entry{Kind: EntryMembers, Members: members})
	w.syncPeers()
	w.broadcast()
}

func countVoters(members []Member) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}

// caughtUp tells whether a learner may vote: it is known and holds everything
// that is committed.
func (w *step) caughtUp(m Member) bool {
	if m.ID == w.id || w.isVoter(m.ID) {
		return true
	}
	p := w.progressOf(m.ID)
	return p.id != "" && p.match >= w.commit
}

// startHandOver stops taking proposals and hands over once a voter is level.
func (w *step) startHandOver() {
	if w.role != Leader || w.voters() < 2 {
		return
	}
	w.handOver = w.now
	for i := range w.peers {
		w.maybeTimeoutNow(i)
	}
}

// handingOver holds for one election time, then the leader takes writes again.
func (w *step) handingOver() bool {
	return !w.handOver.IsZero() && w.now.Sub(w.handOver) < w.options.Election
}

func (w *step) maybeTimeoutNow(i int) {
	p := w.peers[i]
	if w.role != Leader || !w.handingOver() || p.match < w.log.Last() || !w.isVoter(p.id) {
		return
	}
	w.send(p.id, TimeoutNow{Term: w.hard.Term})
}
