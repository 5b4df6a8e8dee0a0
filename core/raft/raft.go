// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package raft keeps one log equal on a few replicas. It follows Ongaro's
// thesis "Consensus: Bridging Theory and Practice" (2014): elections with
// pre-vote (9.6), check of quorum and leases for reads (6.4.1), one-at-a-time
// membership change (4.1), learners that catch up first (4.2.1), leadership
// transfer (3.10) and snapshots in chunks (5).
//
// # Usage
//
// State is an immutable value; Step is its only transition and does no I/O:
//
//	s := raft.New("a", raft.Options{}, seed, boot, now)
//	s, effects := s.Step(raft.Tick{}, now)
//
// The process carries out the effects in order. Messages that promise
// durability ride inside a Persist effect and leave only after it has synced.
// The zero State belongs to a process that keeps no log and ignores all events.
package raft

import (
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// Role is what a replica does at the moment.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Member is one replica; a learner has Voter false.
type Member struct {
	ID    ident.Host
	Voter bool
}

// HardState is what must survive a restart besides entries.
type HardState struct {
	Term   Term
	Vote   ident.Host
	Commit Index
	// Leader is the leader of Term, where one is known; see returning.go.
	Leader ident.Host
}

// Snapshot is the applied state up to Index.
type Snapshot struct {
	Index   Index
	Term    Term
	Members []Member
	Data    []byte
}

// Boot is what a replica read from its disk; empty on a first start.
type Boot struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
	// Members is the first member list, used where the disk holds none.
	Members []Member
}

// progress is what a leader knows of one replica.
type progress struct {
	id ident.Host
	// match is the highest index known synced there, next the one to send.
	match, next Index
	// lastReply is when it last answered; acked the send time of the newest
	// heartbeat round it answered, from which the lease counts.
	lastReply, acked time.Time
	// sentCommit is the highest commit index sent that it could act on.
	sentCommit Index
	// sentAt is when entries were last sent without an answer yet.
	sentAt time.Time
	// sentBytes is the size of those entries.
	sentBytes int
	// offset is the progress of a snapshot transfer of snapIndex.
	snapIndex Index
	offset    int
}

// State is one replica. It is immutable; Step returns the next one.
type State struct {
	id       ident.Host
	options  Options
	hard     HardState
	role     Role
	leader   ident.Host
	log      Log
	stable   Index
	commit   Index
	snapshot Snapshot
	members  []Member
	// membersAt is the index of the entry that set members.
	membersAt  Index
	peers      []progress
	votes      []ident.Host
	refusals   []ident.Host
	due        time.Time
	leaderSeen time.Time
	round      uint64
	rounds     []sentRound
	incoming   []byte
	incomeIdx  Index
	handOver   time.Time
	// promised is until when a restarted replica may stand by a promise to a
	// leader that it no longer knows; it helps to elect nobody before.
	promised time.Time
	// hurryUntil is until when a leader that was restarted asks for votes often.
	hurryUntil time.Time
	seed       uint64
	draws      uint64
}

// sentRound remembers when a heartbeat round left, for the lease.
type sentRound struct {
	round uint64
	at    time.Time
}

// maxRounds bounds the heartbeat rounds remembered. Chosen, not measured.
const maxRounds = 16

// New returns a replica as read from disk at now.
func New(id ident.Host, o Options, seed uint64, b Boot, now time.Time) State {
	s := State{id: id, options: o.withDefaults(), hard: b.Hard, seed: seed ^ uint64(hash.Of(string(id)))}
	if b.Hard.Term > 0 {
		s.promised = now.Add(s.options.Election)
	}
	if b.Hard.Leader == id {
		s.hurryUntil = now.Add(hurryElections * s.options.Election)
	}
	s.snapshot = b.Snapshot
	s.log = NewLog(b.Snapshot.Index, b.Snapshot.Term, b.Entries)
	s.stable = s.log.Last()
	s.commit = max(b.Snapshot.Index, 0)
	s.members = b.Members
	if len(b.Snapshot.Members) > 0 {
		s.members = b.Snapshot.Members
		s.membersAt = b.Snapshot.Index
	}
	s = s.withMembersFromLog()
	w := step{State: s, now: now}
	w.resetElection()
	return w.State
}

// Role returns the present role.
func (s State) Role() Role { return s.role }

// Step is the transition of a replica.
func (s State) Step(ev Event, now time.Time) (State, []Effect) {
	if !s.Active() {
		return s, nil
	}
	w := step{State: s, now: now}
	switch ev := ev.(type) {
	case Tick:
		w.tick()
	case Receive:
		w.receive(ev.From, ev.Message)
	case Propose:
		w.propose(Entry{Kind: EntryNormal, Data: ev.Data})
	case Persisted:
		w.persisted(ev)
	case Compact:
		w.compact(ev)
	case ChangeMember:
		w.changeMember(ev)
	case HandOver:
		w.startHandOver()
	}
	return w.finish(s)
}

// step is the working copy of one transition.
type step struct {
	State
	now time.Time
	out []Effect
	// then are messages that must wait for the disk.
	then     []Send
	fresh    []Entry
	newSnap  *Snapshot
	syncOnly bool
}

// finish gathers what the disk must hold into one Persist effect.
func (w *step) finish(before State) (State, []Effect) {
	durable := w.hard.Term != before.hard.Term || w.hard.Vote != before.hard.Vote || w.hard.Leader != before.hard.Leader
	if durable || len(w.fresh) > 0 || w.newSnap != nil || w.syncOnly || len(w.then) > 0 {
		w.hard.Commit = w.commit
		w.out = append(w.out, Persist{
			Hard: w.hard, Entries: w.fresh, Snapshot: w.newSnap,
			Index: w.log.Last(), Term: w.log.LastTerm(), Then: w.then,
		})
	}
	if w.role != before.role || w.hard.Term != before.hard.Term || w.leader != before.leader {
		w.out = append(w.out, RoleChange{Role: w.role, Term: w.hard.Term, Leader: w.leader})
	}
	return w.State, w.out
}

func (w *step) send(to ident.Host, m Message) {
	w.out = append(w.out, Send{To: to, Message: m})
}

// sendSynced sends m once everything so far is on disk.
func (w *step) sendSynced(to ident.Host, m Message) {
	w.then = append(w.then, Send{To: to, Message: m})
}

func (w *step) tick() {
	if w.role == Leader {
		w.leaderTick()
		return
	}
	if w.now.Before(w.due) {
		return
	}
	if !w.isVoter(w.id) {
		// Without a vote it can but wait, and no longer names a leader that it
		// does not hear: perhaps it is no member any more.
		w.leader = ""
		w.resetElection()
		return
	}
	w.startElection(true, false)
}

func (w *step) receive(from ident.Host, m Message) {
	if w.guardTerm(from, m) {
		return
	}
	switch m := m.(type) {
	case VoteRequest:
		w.onVoteRequest(from, m)
	case VoteReply:
		w.onVoteReply(from, m)
	case Append:
		w.onAppend(from, m)
	case AppendReply:
		w.onAppendReply(from, m)
	case SnapshotChunk:
		w.onSnapshotChunk(from, m)
	case SnapshotReply:
		w.onSnapshotReply(from, m)
	case TimeoutNow:
		// One that was under way for long comes from a leader that has gone on.
		if w.isVoter(w.id) && w.now.Sub(w.leaderSeen) < w.options.Election {
			w.startElection(false, true)
		}
	}
}

func (w *step) persisted(ev Persisted) {
	if t, ok := w.log.TermAt(ev.Index); !ok || t != ev.Term {
		return
	}
	w.stable = max(w.stable, ev.Index)
	if w.role == Leader {
		w.advanceCommit()
	}
}
