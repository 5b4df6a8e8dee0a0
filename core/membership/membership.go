// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package membership decides which replicas form the replicated log of a seeded fleet. A
// replica is identified by its address and its disk, so one that restarts with an empty disk
// is a new member, without a vote until it has caught up.
//
// Every replica becomes a member, most of them as learners: hosts poll members, so that a replica
// that is none would accept registrations that nobody learns of. The leader makes one change of
// the member list at a time, the first of these that applies:
//
//   - remove a member that does not reply and at whose address a replica with another disk
//     requests to join;
//   - promote a caught-up learner while there are fewer voters than configured;
//   - remove a voter that has been silent for long, if a learner can replace it, or a learner
//     that has been silent for very long;
//   - demote a voter if there are more than configured, or promote a learner to spread the voters
//     more evenly over the availability zones (placement.go);
//   - add a replica that requests to join as a learner.
//
// State keeps the join requests that a replica has received and the zones of the other replicas.
// Package raft provides the member list, each member's progress in the log and the time of its
// last reply.
//
// # Usage
//
//	s = s.WithJoinRequest(identity, now)
//	s = s.WithZone(identity, zone)
//	s, change, ok := s.NextChange(raftState, self, voters, now)
//	risks := s.Risks(raftState, voters)
package membership

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/table"
)

const (
	// joinRequestInterval is the time between two join requests of a replica.
	joinRequestInterval = 500 * time.Millisecond
	// joinRequestLifetime is how long a join request stays valid: three intervals.
	joinRequestLifetime = 3 * joinRequestInterval
	// voterJoinDelay is how long a voter that starts waits for a leader before it sends join
	// requests: longer than an election takes.
	voterJoinDelay = 2 * time.Second
	// checkInterval is the time between two checks of the member list.
	checkInterval = 200 * time.Millisecond
	// aliveTimeout is how recently a member must have replied to count as alive: five heartbeats
	// of the log.
	aliveTimeout = time.Second
	// replaceAfter is how long a voter must be silent before it is replaced.
	replaceAfter = 3 * time.Second
	// forgetLearnerAfter is how long a learner must be silent before it is removed. It outlasts a
	// restart and most partitions, so that the learners of a zone are not all removed and added
	// again.
	forgetLearnerAfter = 30 * time.Second
	// MaxMembers bounds the member list, including learners, as the leader sends each entry to
	// every member. Silent learners make room for replicas that request to join.
	MaxMembers = 64
)

// State is a replica's state for membership changes. It is immutable; the zero value has no join
// requests.
type State struct {
	// joinRequests maps replicas that request to join to the time of their last request.
	joinRequests table.Table[ident.Host, time.Time]
	// zones maps replicas to the zones that they reported.
	zones table.Table[ident.Host, ident.Zone]
	// nextRequestAt is when this replica may next request to join, nextCheckAt when it next
	// checks the member list.
	nextRequestAt time.Time
	nextCheckAt   time.Time
}

// WithJoinRequest records a replica's request to join.
func (s State) WithJoinRequest(identity ident.Host, now time.Time) State {
	s.joinRequests = s.joinRequests.With(identity, now)
	return s
}

// WithZone records the zone that a replica reported.
func (s State) WithZone(identity ident.Host, zone ident.Zone) State {
	if known, ok := s.zones.Get(identity); zone == "" || ok && known == zone {
		return s
	}
	s.zones = s.zones.With(identity, zone)
	return s
}

// JoinRequestDue reports whether this replica, which started at the given time, requests to join
// now: if it knows no leader and, as a voter, has waited long enough for an election.
func (s State) JoinRequestDue(r raft.State, started, now time.Time) (State, bool) {
	if now.Before(s.nextRequestAt) || r.Leader() != "" {
		return s, false
	}
	s.nextRequestAt = now.Add(joinRequestInterval)
	return s, !r.IsVoter() || now.Sub(started) >= voterJoinDelay
}

// NextChange returns the change of the member list that the leader must make now, if any; self is
// this replica, voters the configured number of voters.
func (s State) NextChange(r raft.State, self ident.Host, voters int, now time.Time) (State, raft.ChangeMember, bool) {
	if now.Before(s.nextCheckAt) {
		return s, raft.ChangeMember{}, false
	}
	for id, at := range s.joinRequests.All() {
		if now.Sub(at) > joinRequestLifetime {
			s.joinRequests = s.joinRequests.Without(id)
		}
	}
	if !r.LeaseHeld(now) || !r.MembersCommitted() {
		return s, raft.ChangeMember{}, false
	}
	check := memberCheck{raft: r, self: self, joinRequests: s.joinRequests, zones: s.zones, now: now}
	change, ok := check.nextChange(max(1, voters))
	if !ok {
		// After a change the next one follows as soon as it is committed, so that a fleet with
		// many replicas starts quickly.
		s.nextCheckAt = now.Add(checkInterval)
		s = s.withKnownZonesOf(r)
	}
	return s, change, ok
}

// Settled reports whether the last check of the member list made no change.
func (s State) Settled(now time.Time) bool { return now.Before(s.nextCheckAt) }

// withKnownZonesOf drops the zones of replicas that are neither members nor request to join.
func (s State) withKnownZonesOf(r raft.State) State {
	for id := range s.zones.All() {
		if !r.IsMember(id) && !s.joinRequests.Has(id) {
			s.zones = s.zones.Without(id)
		}
	}
	return s
}

// memberCheck is one check of the member list by the leader.
type memberCheck struct {
	raft         raft.State
	self         ident.Host
	joinRequests table.Table[ident.Host, time.Time]
	zones        table.Table[ident.Host, ident.Zone]
	now          time.Time
}

// nextChange returns one change, in the order of the package comment. A silent voter is removed
// only if a caught-up learner can replace it.
func (c memberCheck) nextChange(voters int) (raft.ChangeMember, bool) {
	if id, ok := c.memberWithReplacedDisk(); ok {
		return removal(id), true
	}
	learner, hasLearner := c.bestLearner()
	if hasLearner && c.voterCount() < voters {
		return promotion(learner), true
	}
	if id, ok := c.removableMember(hasLearner); ok {
		return removal(id), true
	}
	if change, ok := c.placementChange(voters); ok {
		return change, true
	}
	return c.addLearner()
}

func removal(id ident.Host) raft.ChangeMember {
	return raft.ChangeMember{Member: raft.Member{ID: id}, Remove: true}
}

func promotion(id ident.Host) raft.ChangeMember {
	return raft.ChangeMember{Member: raft.Member{ID: id, Voter: true}}
}

func demotion(id ident.Host) raft.ChangeMember {
	return raft.ChangeMember{Member: raft.Member{ID: id}}
}

// memberWithReplacedDisk returns a member that is not alive and at whose address a replica with
// another disk requests to join.
func (c memberCheck) memberWithReplacedDisk() (ident.Host, bool) {
	for id := range c.joinRequests.All() {
		for _, m := range c.raft.Members() {
			if m.ID != id && m.ID.Address() == id.Address() && !c.isAlive(m.ID) {
				return m.ID, true
			}
		}
	}
	return "", false
}

func (c memberCheck) isAlive(id ident.Host) bool {
	return id == c.self || c.now.Sub(c.raft.LastReply(id)) < aliveTimeout
}

func (c memberCheck) voterCount() int {
	n := 0
	for _, m := range c.raft.Members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// removableMember returns a silent voter if a learner can replace it, or a learner that has been
// silent for very long or whose place is needed.
func (c memberCheck) removableMember(hasLearner bool) (ident.Host, bool) {
	full := len(c.raft.Members()) >= MaxMembers && c.hasRequestToAdd()
	for _, m := range c.raft.Members() {
		silence := c.now.Sub(c.raft.LastReply(m.ID))
		switch {
		case m.ID == c.self || silence <= replaceAfter:
		case m.Voter && hasLearner, !m.Voter && (full || silence > forgetLearnerAfter):
			return m.ID, true
		}
	}
	return "", false
}

// addLearner adds a replica that requests to join, without a vote.
func (c memberCheck) addLearner() (raft.ChangeMember, bool) {
	if len(c.raft.Members()) >= MaxMembers {
		return raft.ChangeMember{}, false
	}
	for id := range c.joinRequests.All() {
		if !c.raft.IsMember(id) {
			return raft.ChangeMember{Member: raft.Member{ID: id}}, true
		}
	}
	return raft.ChangeMember{}, false
}

func (c memberCheck) hasRequestToAdd() bool {
	for id := range c.joinRequests.All() {
		if !c.raft.IsMember(id) {
			return true
		}
	}
	return false
}
