// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package membership decides which replicas keep the replicated log of a seeded fleet. A
// replica is named by its address and its disk, so that one whose disk came back empty is
// another member, without a vote, until it has caught up.
//
// The leader makes one change of the member list at a time, the first of these that is due:
// take out a member at whose address another disk asks to join; give a caught-up learner a
// vote while fewer replicas vote than shall; take out a voter that has been silent for
// long, where a learner can take its place, or such a learner; take in a replica that asks.
//
// It owns the requests to join that a replica knows of. It relies on package raft for the
// member list, for how far each member has the log, and for when each replied last.
//
// # Usage
//
//	s = s.WithRequest(identity, now)
//	s, change, ok := s.Next(raftState, self, voters, now)
package membership

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/table"
)

const (
	// requestInterval is the time between two requests of a replica to be taken in.
	// Chosen, not measured.
	requestInterval = 500 * time.Millisecond
	// requestLifetime is how long a request counts: three of them.
	requestLifetime = 3 * requestInterval
	// leaderlessRequest is how long a voter that starts waits for a leader before it asks
	// to be taken in: longer than an election takes.
	leaderlessRequest = 2 * time.Second
	// lookInterval is the time between two looks at the member list. Chosen, not measured.
	lookInterval = 200 * time.Millisecond
	// aliveWithin is how recently a member must have replied to count as alive. Chosen,
	// not measured: five heartbeats of the log.
	aliveWithin = time.Second
	// replaceAfter is how long a voter is silent before a caught-up learner takes its
	// place. Chosen, not measured.
	replaceAfter = 3 * time.Second
	// maxMembers bounds the member list, learners included. Chosen, not measured.
	maxMembers = 9
)

// State is what a replica keeps for membership. It is immutable; the zero value knows no
// request.
type State struct {
	// requests are the replicas that ask to be taken in, by when they did last.
	requests table.Table[ident.Host, time.Time]
	// requestAt is when this replica next asks, lookAt when the member list is next
	// looked at.
	requestAt time.Time
	lookAt    time.Time
}

// WithJoinRequest remembers that a replica asks to be taken in.
func (s State) WithJoinRequest(identity ident.Host, now time.Time) State {
	s.requests = s.requests.With(identity, now)
	return s
}

// JoinRequestDue tells whether this replica, which started at a time, asks to be taken in now:
// it knows no leader, and does not just wait for an election as a voter.
func (s State) JoinRequestDue(r raft.State, started, now time.Time) (State, bool) {
	if now.Before(s.requestAt) || r.Leader() != "" {
		return s, false
	}
	s.requestAt = now.Add(requestInterval)
	return s, !r.IsVoter() || now.Sub(started) >= leaderlessRequest
}

// NextChange returns the change of the member list that the leader makes now, if any; self is
// this replica, voters is how many replicas shall vote.
func (s State) NextChange(r raft.State, self ident.Host, voters int, now time.Time) (State, raft.ChangeMember, bool) {
	if now.Before(s.lookAt) {
		return s, raft.ChangeMember{}, false
	}
	s.lookAt = now.Add(lookInterval)
	for id, at := range s.requests.All() {
		if now.Sub(at) > requestLifetime {
			s.requests = s.requests.Without(id)
		}
	}
	if !r.LeaseHeld(now) || !r.MembersCommitted() {
		return s, raft.ChangeMember{}, false
	}
	l := look{raft: r, self: self, requests: s.requests, now: now}
	change, ok := l.next(voters)
	return s, change, ok
}

// look is one look of the leader at the member list.
type look struct {
	raft     raft.State
	self     ident.Host
	requests table.Table[ident.Host, time.Time]
	now      time.Time
}

func (l look) next(voters int) (raft.ChangeMember, bool) {
	if id, ok := l.replacedDisk(); ok {
		return raft.ChangeMember{Member: raft.Member{ID: id}, Remove: true}, true
	}
	learner, hasLearner := l.readyLearner()
	if hasLearner && l.voters() < max(1, voters) {
		return raft.ChangeMember{Member: raft.Member{ID: learner, Voter: true}}, true
	}
	if id, ok := l.silentMember(hasLearner); ok {
		return raft.ChangeMember{Member: raft.Member{ID: id}, Remove: true}, true
	}
	return l.newLearner()
}

// replacedDisk finds a member at whose address another disk asks to join.
func (l look) replacedDisk() (ident.Host, bool) {
	for id := range l.requests.All() {
		for _, m := range l.raft.Members() {
			if m.ID != id && m.ID.Address() == id.Address() && !l.alive(m.ID) {
				return m.ID, true
			}
		}
	}
	return "", false
}

func (l look) alive(id ident.Host) bool {
	return id == l.self || l.now.Sub(l.raft.LastReply(id)) < aliveWithin
}

// readyLearner finds a learner that is alive and has caught up.
func (l look) readyLearner() (ident.Host, bool) {
	for _, m := range l.raft.Members() {
		if !m.Voter && l.alive(m.ID) && l.raft.Match(m.ID) >= l.raft.CommitIndex() {
			return m.ID, true
		}
	}
	return "", false
}

func (l look) voters() int {
	n := 0
	for _, m := range l.raft.Members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// silentMember finds a voter that a learner can replace, or a learner that is gone.
func (l look) silentMember(hasLearner bool) (ident.Host, bool) {
	for _, m := range l.raft.Members() {
		silent := m.ID != l.self && l.now.Sub(l.raft.LastReply(m.ID)) > replaceAfter
		if silent && (hasLearner || !m.Voter) {
			return m.ID, true
		}
	}
	return "", false
}

// newLearner takes in a replica that asks, without a vote.
func (l look) newLearner() (raft.ChangeMember, bool) {
	if len(l.raft.Members()) >= maxMembers {
		return raft.ChangeMember{}, false
	}
	for id := range l.requests.All() {
		if !l.raft.IsMember(id) {
			return raft.ChangeMember{Member: raft.Member{ID: id}}, true
		}
	}
	return raft.ChangeMember{}, false
}
