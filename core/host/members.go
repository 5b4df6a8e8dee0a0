// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
)

// In a seeded fleet a replica is named by its address and its disk, so that one
// whose disk came back empty is another member, without a vote.
const (
	// joinInterval is the time between two asks to be taken in.
	joinInterval = 500 * time.Millisecond
	// leaderlessJoin is how long a member hears no leader before it asks again.
	leaderlessJoin = 2 * time.Second
	// memberInterval is the time between two looks at the member list.
	memberInterval = 200 * time.Millisecond
	// joinLife is how long an ask to be taken in counts.
	joinLife = 1500 * time.Millisecond
	// aliveWithin is how recently a member must have answered to count as alive.
	aliveWithin = time.Second
	// replaceAfter is how long a voter is silent before a caught-up learner
	// takes its place.
	replaceAfter = 3 * time.Second
	// maxMembers bounds the member list.
	maxMembers = 9
)

func (t *transition) tickMembers() {
	t.requestJoin()
	if t.now.Before(t.seeded.memberAt) {
		return
	}
	t.seeded.memberAt = t.now.Add(memberInterval)
	for id, heard := range t.seeded.joiners.All() {
		if t.now.Sub(heard) > joinLife {
			t.seeded.joiners = t.seeded.joiners.Without(id)
		}
	}
	if !t.raft.LeaseHeld(t.now) || !t.raft.MembersCommitted() {
		return
	}
	if change, ok := t.nextMember(); ok {
		t.note(NoteMembers, string(change.Member.ID), fmt.Sprintf("remove=%t voter=%t", change.Remove, change.Member.Voter))
		t.stepRaft(change)
	}
}

// requestJoin makes this replica known to the leader until it hears from one.
func (t *transition) requestJoin() {
	if t.now.Before(t.seeded.joinAt) || t.raft.Leader() != "" {
		return
	}
	t.seeded.joinAt = t.now.Add(joinInterval)
	if t.raft.IsVoter() && t.now.Sub(t.started) < leaderlessJoin {
		return
	}
	hosts := append(t.knownReplicas(), t.memberAddresses()...)
	for _, h := range hosts {
		if h != t.settings.ID {
			t.send(h, Join{Identity: t.settings.replicaID()})
		}
	}
}

func (t *transition) joinRequested(m Join) {
	t.seeded.joiners = t.seeded.joiners.With(m.Identity, t.now)
}

// nextMember is the one change of the member list that is due, if any.
func (t *transition) nextMember() (raft.ChangeMember, bool) {
	if id, ok := t.replacedDisk(); ok {
		return raft.ChangeMember{Member: raft.Member{ID: id}, Remove: true}, true
	}
	ready, hasReady := t.readyLearner()
	if hasReady && t.voterCount() < max(1, t.settings.Voters) {
		return raft.ChangeMember{Member: raft.Member{ID: ready, Voter: true}}, true
	}
	if id, ok := t.silentMember(hasReady); ok {
		return raft.ChangeMember{Member: raft.Member{ID: id}, Remove: true}, true
	}
	return t.joiningLearner()
}

// replacedDisk finds a member at whose address another disk asks to join.
func (t *transition) replacedDisk() (ident.Host, bool) {
	for id := range t.seeded.joiners.All() {
		for _, m := range t.raft.Members() {
			if m.ID != id && m.ID.Address() == id.Address() && !t.memberAlive(m.ID) {
				return m.ID, true
			}
		}
	}
	return "", false
}

func (t *transition) memberAlive(id ident.Host) bool {
	return id == t.settings.replicaID() || t.now.Sub(t.raft.LastReply(id)) < aliveWithin
}

func (t *transition) readyLearner() (ident.Host, bool) {
	for _, m := range t.raft.Members() {
		if !m.Voter && t.memberAlive(m.ID) && t.raft.Match(m.ID) >= t.raft.CommitIndex() {
			return m.ID, true
		}
	}
	return "", false
}

func (t *transition) voterCount() int {
	n := 0
	for _, m := range t.raft.Members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// silentMember finds a voter that a learner can replace, or a learner that is
// gone.
func (t *transition) silentMember(hasReady bool) (ident.Host, bool) {
	for _, m := range t.raft.Members() {
		silent := m.ID != t.settings.replicaID() && t.now.Sub(t.raft.LastReply(m.ID)) > replaceAfter
		if silent && (hasReady || !m.Voter) {
			return m.ID, true
		}
	}
	return "", false
}

func (t *transition) joiningLearner() (raft.ChangeMember, bool) {
	members := t.raft.Members()
	if len(members) >= maxMembers {
		return raft.ChangeMember{}, false
	}
	for id := range t.seeded.joiners.All() {
		if !t.raft.IsMember(id) {
			return raft.ChangeMember{Member: raft.Member{ID: id}}, true
		}
	}
	return raft.ChangeMember{}, false
}
