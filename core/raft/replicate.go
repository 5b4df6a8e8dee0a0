// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

func (w *step) propose(e Entry) {
	if w.role != Leader || w.handingOver() {
		return
	}
	e.Index = w.log.Last() + 1
	e.Term = w.hard.Term
	w.appendEntries([]Entry{e})
	for i := range w.peers {
		w.replicateTo(i, false)
	}
}

// appendEntries adds entries to the log and to what the disk must write.
func (w *step) appendEntries(entries []Entry) {
	w.log = w.log.WithAppended(entries)
	w.fresh = append(w.fresh, entries...)
	for _, e := range entries {
		if e.Kind == EntryMembers {
			w.members = e.Members
			w.membersAt = e.Index
		}
	}
}

// withMembersFromLog takes the newest member list that the log holds.
func (s State) withMembersFromLog() State {
	for i := s.log.Last(); i >= s.log.First(); i-- {
		if e := s.log.At(i); e.Kind == EntryMembers {
			s.members, s.membersAt = e.Members, i
			return s
		}
	}
	if len(s.snapshot.Members) > 0 {
		s.members, s.membersAt = s.snapshot.Members, s.snapshot.Index
	}
	return s
}

func (w *step) leaderTick() {
	if w.now.Sub(w.quorumTime(w.now, func(p progress) time.Time { return p.lastReply })) > w.options.Election {
		// Cut off from the quorum: a leader that cannot commit must not go on.
		w.become(Follower, w.hard.Term)
		return
	}
	if w.now.Before(w.due) {
		return
	}
	w.broadcast()
}

// broadcast sends a heartbeat round to every member.
func (w *step) broadcast() {
	w.round++
	w.rounds = append(slices.Clone(w.rounds), sentRound{round: w.round, at: w.now})
	if len(w.rounds) > maxRounds {
		w.rounds = w.rounds[len(w.rounds)-maxRounds:]
	}
	w.due = w.now.Add(w.options.Heartbeat)
	for i := range w.peers {
		w.replicateTo(i, true)
	}
}

// replicateTo sends what the peer lacks. Without heartbeat it stays silent
// where entries are still unanswered, so that a slow peer is not flooded.
func (w *step) replicateTo(i int, heartbeat bool) {
	p := w.peers[i]
	prevTerm, ok := w.log.TermAt(p.next - 1)
	if !ok {
		if heartbeat {
			w.sendChunk(i)
		}
		return
	}
	if !p.sentAt.IsZero() && w.now.Sub(p.sentAt) < w.patience(p) {
		if heartbeat {
			w.sendEmpty(i)
		}
		return
	}
	entries := w.log.Slice(p.next, w.log.Last(), w.options.MaxBatch)
	w.send(p.id, Append{
		Term: w.hard.Term, Prev: p.next - 1, PrevTerm: prevTerm,
		Entries: entries, Commit: w.commit, Round: w.round,
	})
	p.sentCommit = max(p.sentCommit, min(w.commit, p.next-1+Index(len(entries))))
	if len(entries) > 0 {
		p.sentAt, p.sentBytes = w.now, sizeOf(entries)
	}
	w.setPeer(i, p)
}

const (
	// resendAfter is how many heartbeats an answer to entries may take, beside
	// the time that their bytes need. Chosen, not measured.
	resendAfter = 2
	// assumedRate is the bytes a second that a leader's link is sure to carry.
	// Chosen, not measured.
	assumedRate = 400 << 10
)

// patience is how long entries may be under way before they are sent again:
// sending large ones sooner would choke a slow link, as all members get them at
// once.
func (w *step) patience(p progress) time.Duration {
	needed := time.Duration(p.sentBytes*len(w.peers)) * time.Second / assumedRate
	return resendAfter*w.options.Heartbeat + needed
}

func sizeOf(entries []Entry) int {
	total := 0
	for _, e := range entries {
		total += e.size()
	}
	return total
}

// sendEmpty sends a heartbeat without the entries that are under way.
func (w *step) sendEmpty(i int) {
	p := w.peers[i]
	prevTerm, ok := w.log.TermAt(p.match)
	if !ok {
		return
	}
	p.sentCommit = max(p.sentCommit, min(w.commit, p.match))
	w.setPeer(i, p)
	w.send(p.id, Append{
		Term: w.hard.Term, Prev: p.match, PrevTerm: prevTerm, Commit: min(w.commit, p.match), Round: w.round,
	})
}

func (w *step) setPeer(i int, p progress) {
	w.peers = slices.Clone(w.peers)
	w.peers[i] = p
}

func (w *step) peerIndex(id ident.Host) int {
	return slices.IndexFunc(w.peers, func(p progress) bool { return p.id == id })
}

func (w *step) onAppend(from ident.Host, m Append) {
	w.followLeader(from)
	if prevTerm, ok := w.log.TermAt(m.Prev); m.Prev > w.log.base && (!ok || prevTerm != m.PrevTerm) {
		hint := min(m.Prev-1, w.log.Last())
		w.send(from, AppendReply{Term: w.hard.Term, Hint: max(hint, w.commit), Round: m.Round})
		return
	}
	w.storeNew(m.Entries)
	last := m.Prev + Index(len(m.Entries))
	w.commitTo(min(m.Commit, last))
	reply := AppendReply{Term: w.hard.Term, Success: true, Match: last, Round: m.Round}
	if last > w.stable || len(w.fresh) > 0 {
		w.sendSynced(from, reply)
		return
	}
	w.send(from, reply)
}

func (w *step) followLeader(from ident.Host) {
	if w.role != Follower {
		w.become(Follower, w.hard.Term)
	}
	w.leader = from
	w.hard.Leader = from
	w.hurryUntil = time.Time{}
	w.leaderSeen = w.now
	w.resetElection()
}

// storeNew appends the entries that are missing and cuts those that conflict.
func (w *step) storeNew(entries []Entry) {
	for i, e := range entries {
		if e.Index <= w.log.base {
			continue
		}
		t, ok := w.log.TermAt(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			if e.Index <= w.commit {
				panic("raft: a committed entry would be replaced")
			}
			w.log = w.log.WithTruncated(e.Index)
			w.stable = min(w.stable, e.Index-1)
			if w.membersAt >= e.Index {
				w.State = w.withMembersFromLog()
			}
		}
		w.appendEntries(entries[i:])
		return
	}
}

func (w *step) onAppendReply(from ident.Host, m AppendReply) {
	i := w.peerIndex(from)
	if w.role != Leader || i < 0 {
		return
	}
	p := w.peers[i]
	p.lastReply = w.now
	for _, r := range w.rounds {
		if r.round == m.Round && r.at.After(p.acked) {
			p.acked = r.at
		}
	}
	if !m.Success {
		p.next = max(min(m.Hint+1, w.log.Last()+1), p.match+1)
		p.sentAt = time.Time{}
		w.setPeer(i, p)
		w.replicateTo(i, false)
		return
	}
	if m.Match > p.match || p.match == w.log.Last() {
		p.sentAt = time.Time{}
	}
	p.match = max(p.match, m.Match)
	p.next = max(p.next, p.match+1)
	w.setPeer(i, p)
	w.advanceCommit()
	if p.next <= w.log.Last() {
		w.replicateTo(i, false)
	}
	// A follower whose answer came after the commit must hear of it too.
	w.sendCommit(i)
	w.maybeTimeoutNow(i)
}

// advanceCommit commits what a quorum holds, if it is of this term.
func (w *step) advanceCommit() {
	var matches []Index
	for _, m := range w.members {
		if !m.Voter {
			continue
		}
		at := w.stable
		if m.ID != w.id {
			at = w.progressOf(m.ID).match
		}
		matches = append(matches, at)
	}
	if len(matches) == 0 {
		return
	}
	slices.SortFunc(matches, func(a, b Index) int { return cmp.Compare(b, a) })
	to := matches[quorum(len(matches))-1]
	if t, ok := w.log.TermAt(to); !ok || t != w.hard.Term || to <= w.commit {
		return
	}
	w.commitTo(to)
	if !w.IsMember(w.id) && w.membersAt <= w.commit {
		w.become(Follower, w.hard.Term)
		return
	}
	for i := range w.peers {
		w.sendCommit(i)
	}
}

// sendCommit tells a follower of a commit at once, not at the next heartbeat,
// without repeating entries that are under way.
func (w *step) sendCommit(i int) {
	p := w.peers[i]
	prevTerm, ok := w.log.TermAt(p.match)
	if !ok || min(w.commit, p.match) <= p.sentCommit {
		return
	}
	p.sentCommit = min(w.commit, p.match)
	w.setPeer(i, p)
	w.send(p.id, Append{
		Term: w.hard.Term, Prev: p.match, PrevTerm: prevTerm, Commit: w.commit, Round: w.round,
	})
}

func (w *step) commitTo(i Index) {
	i = min(i, w.log.Last())
	if i <= w.commit {
		return
	}
	var entries []Entry
	for j := w.commit + 1; j <= i; j++ {
		entries = append(entries, w.log.At(j))
	}
	w.commit = i
	w.out = append(w.out, Commit{Entries: entries})
}
