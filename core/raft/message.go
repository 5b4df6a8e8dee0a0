// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft

import "github.com/yardhall/yardhall/core/ident"

// Message is what replicas send each other. The set is closed.
type Message interface{ message() }

type (
	// VoteRequest asks for a vote, or with Pre set for the promise of one.
	VoteRequest struct {
		Term      Term
		LastIndex Index
		LastTerm  Term
		Pre       bool
		// Transfer is set when the old leader asked for this election; it
		// lifts the protection of a live leader.
		Transfer bool
	}
	// VoteReply answers a VoteRequest.
	VoteReply struct {
		Term    Term
		Granted bool
		Pre     bool
	}
	// Append carries entries after Prev, or none as a heartbeat.
	Append struct {
		Term     Term
		Prev     Index
		PrevTerm Term
		Entries  []Entry
		Commit   Index
		// Round grows with each heartbeat; the reply repeats it.
		Round uint64
	}
	// AppendReply answers an Append. On success Match is the highest index
	// known equal and synced; otherwise Hint is where to try next.
	AppendReply struct {
		Term    Term
		Success bool
		Match   Index
		Hint    Index
		Round   uint64
	}
	// SnapshotChunk carries one bounded piece of a snapshot.
	SnapshotChunk struct {
		Term    Term
		Index   Index
		LogTerm Term
		Members []Member
		Offset  int
		Data    []byte
		Last    bool
	}
	// SnapshotReply tells how many bytes of the snapshot have arrived.
	SnapshotReply struct {
		Term  Term
		Index Index
		Next  int
		Done  bool
	}
	// TimeoutNow asks the receiver to start an election at once.
	TimeoutNow struct{ Term Term }
)

func (VoteRequest) message()   {}
func (VoteReply) message()     {}
func (Append) message()        {}
func (AppendReply) message()   {}
func (SnapshotChunk) message() {}
func (SnapshotReply) message() {}
func (TimeoutNow) message()    {}

func termOf(m Message) Term {
	switch m := m.(type) {
	case VoteRequest:
		return m.Term
	case VoteReply:
		return m.Term
	case Append:
		return m.Term
	case AppendReply:
		return m.Term
	case SnapshotChunk:
		return m.Term
	case SnapshotReply:
		return m.Term
	case TimeoutNow:
		return m.Term
	}
	panic("raft: message outside the closed set")
}

// Event is what the reducer of this package reacts to. The set is closed.
type Event interface{ event() }

type (
	// Tick lets time pass.
	Tick struct{}
	// Receive delivers a message from another replica.
	Receive struct {
		From    ident.Host
		Message Message
	}
	// Propose asks the leader to append Data. Ignored elsewhere.
	Propose struct{ Data []byte }
	// Persisted reports that the disk holds everything up to Index of Term.
	Persisted struct {
		Index Index
		Term  Term
	}
	// Compact replaces the log up to Index by a snapshot of the applied state.
	Compact struct {
		Index Index
		Data  []byte
	}
	// ChangeMember adds, promotes or removes one replica. Ignored by a leader
	// that still has a change under way, and elsewhere.
	ChangeMember struct {
		Member Member
		Remove bool
	}
	// HandOver makes a leader pass its role to the most advanced voter.
	HandOver struct{}
)

func (Tick) event()         {}
func (Receive) event()      {}
func (Propose) event()      {}
func (Persisted) event()    {}
func (Compact) event()      {}
func (ChangeMember) event() {}
func (HandOver) event()     {}

// Effect is what the process must do. The set is closed.
type Effect interface{ effect() }

type (
	// Send transmits a message; it may be lost, doubled or reordered.
	Send struct {
		To      ident.Host
		Message Message
	}
	// Persist must be written and synced in order. Only then are the messages
	// in Then sent and Persisted{Index, Term} reported.
	Persist struct {
		Hard     HardState
		Entries  []Entry
		Snapshot *Snapshot
		Index    Index
		Term     Term
		Then     []Send
	}
	// Commit hands over entries that a quorum holds, in order, once each.
	Commit struct{ Entries []Entry }
	// Restore replaces the applied state by a snapshot.
	Restore struct{ Snapshot Snapshot }
	// RoleChange reports a new role, term or leader.
	RoleChange struct {
		Role   Role
		Term   Term
		Leader ident.Host
	}
)

func (Send) effect()       {}
func (Persist) effect()    {}
func (Commit) effect()     {}
func (Restore) effect()    {}
func (RoleChange) effect() {}
