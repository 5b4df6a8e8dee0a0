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

func (t *turn) tickMembers() {
	t.askToJoin()
	if t.now.Before(t.sync.memberAt) {
		return
	}
	t.sync.memberAt = t.now.Add(memberInterval)
	for id, heard := range t.sync.joiners.All() {
		if t.now.Sub(heard) > joinLife {
			t.sync.joiners = t.sync.joiners.Without(id)
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

// askToJoin makes this replica known to the leader until it hears from one.
func (t *turn) askToJoin() {
	if t.now.Before(t.sync.joinAt) || t.raft.Leader() != "" {
		return
	}
	t.sync.joinAt = t.now.Add(joinInterval)
	if t.raft.IsVoter() && t.now.Sub(t.started) < leaderlessJoin {
		return
	}
	hosts := append(t.contactHosts(), t.memberAddresses()...)
	for _, h := range hosts {
		if h != t.settings.ID {
			t.send(h, Join{Identity: t.settings.replicaID()})
		}
	}
}

func (t *turn) joined(m Join) {
	t.sync.joiners = t.sync.joiners.With(m.Identity, t.now)
}

// nextMember is the one change of the member list that is due, if any.
func (t *turn) nextMember() (raft.ChangeMember, bool) {
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
	return t.newLearner()
}

// replacedDisk finds a member at whose address another disk asks to join.
func (t *turn) replacedDisk() (ident.Host, bool) {
	for id := range t.sync.joiners.All() {
		for _, m := range t.raft.Members() {
			if m.ID != id && m.ID.Address() == id.Address() && !t.memberAlive(m.ID) {
				return m.ID, true
			}
		}
	}
	return "", false
}

func (t *turn) memberAlive(id ident.Host) bool {
	return id == t.settings.replicaID() || t.now.Sub(t.raft.Heard(id)) < aliveWithin
}

func (t *turn) readyLearner() (ident.Host, bool) {
	for _, m := range t.raft.Members() {
		if !m.Voter && t.memberAlive(m.ID) && t.raft.Match(m.ID) >= t.raft.CommitIndex() {
			return m.ID, true
		}
	}
	return "", false
}

func (t *turn) voterCount() int {
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
func (t *turn) silentMember(hasReady bool) (ident.Host, bool) {
	for _, m := range t.raft.Members() {
		silent := m.ID != t.settings.replicaID() && t.now.Sub(t.raft.Heard(m.ID)) > replaceAfter
		if silent && (hasReady || !m.Voter) {
			return m.ID, true
		}
	}
	return "", false
}

func (t *turn) newLearner() (raft.ChangeMember, bool) {
	members := t.raft.Members()
	if len(members) >= maxMembers {
		return raft.ChangeMember{}, false
	}
	for id := range t.sync.joiners.All() {
		if !t.raft.IsMember(id) {
			return raft.ChangeMember{Member: raft.Member{ID: id}}, true
		}
	}
	return raft.ChangeMember{}, false
}
