// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// Active tells whether this process keeps a log at all.
func (s State) Active() bool { return s.id != "" }

// Term returns the present term.
func (s State) Term() Term { return s.hard.Term }

// Leader returns the leader known, or "".
func (s State) Leader() ident.Host { return s.leader }

// CommitIndex returns the highest index known committed.
func (s State) CommitIndex() Index { return s.commit }

// Log returns the log.
func (s State) Log() Log { return s.log }

// Members returns the member list in force; the caller must not change it.
func (s State) Members() []Member { return s.members }

// SnapshotIndex returns the index of the newest snapshot.
func (s State) SnapshotIndex() Index { return s.snapshot.Index }

// Match returns, on a leader, the highest index known synced on id.
func (s State) Match(id ident.Host) Index {
	for _, p := range s.peers {
		if p.id == id {
			return p.match
		}
	}
	return 0
}

// LastReply returns, on a leader, when id last answered.
func (s State) LastReply(id ident.Host) time.Time { return s.progressOf(id).lastReply }

// IsVoter tells whether this replica may vote by the member list in force.
func (s State) IsVoter() bool { return s.isVoter(s.id) }

// LeaseHeld tells whether this leader may answer reads at now: a quorum has
// answered a heartbeat sent less than an election time ago, less the drift
// allowed between clocks, and an entry of its own term is committed.
func (s State) LeaseHeld(now time.Time) bool {
	if s.role != Leader || !s.committedOwnTerm() || now.Sub(s.handOver) < s.options.Election {
		// A leader that hands over has lifted the promise that its lease rests on.
		return false
	}
	lease := s.options.Election - s.options.Election/leaseDrift
	return now.Sub(s.quorumAcked(now)) < lease
}

func (s State) committedOwnTerm() bool {
	t, ok := s.log.TermAt(s.commit)
	return ok && t == s.hard.Term
}

// quorumAcked returns the send time of the newest heartbeat that a quorum has
// answered.
func (s State) quorumAcked(now time.Time) time.Time {
	return s.quorumTime(now, func(p progress) time.Time { return p.acked })
}

// quorumTime returns the newest time that a quorum of voters has reached, this
// replica being at now.
func (s State) quorumTime(now time.Time, of func(progress) time.Time) time.Time {
	times := make([]time.Time, 0, len(s.members))
	for _, m := range s.members {
		switch {
		case !m.Voter:
		case m.ID == s.id:
			times = append(times, now)
		default:
			times = append(times, of(s.progressOf(m.ID)))
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[quorum(len(times))-1]
}

func (s State) progressOf(id ident.Host) progress {
	for _, p := range s.peers {
		if p.id == id {
			return p
		}
	}
	return progress{}
}

func (s State) isVoter(id ident.Host) bool {
	return slices.Contains(s.members, Member{ID: id, Voter: true})
}

func (s State) voters() int {
	n := 0
	for _, m := range s.members {
		if m.Voter {
			n++
		}
	}
	return n
}

// VoterCount returns the number of voters by the member list in force.
func (s State) VoterCount() int { return s.voters() }

// Votes returns how many voters, this replica included, have promised or given it their votes in the election
// that it stands in.
func (s State) Votes() int { return len(s.votes) }

// Refusals returns how many voters have refused it their votes in that election.
func (s State) Refusals() int { return len(s.refusals) }

// IsMember tells whether id stands in the member list in force.
func (s State) IsMember(id ident.Host) bool {
	return slices.ContainsFunc(s.members, func(m Member) bool { return m.ID == id })
}

func quorum(n int) int { return n/2 + 1 }

// MembersCommitted tells whether the member list in force is committed.
func (s State) MembersCommitted() bool { return s.membersAt <= s.commit }
