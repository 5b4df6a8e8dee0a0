// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"

	"github.com/yardhall/yardhall/core/ident"
)

// tickMembers asks to be taken in, and changes the member list, where package membership
// decides so.
func (t *transition) tickMembers() {
	next, due := t.seeded.membership.JoinRequestDue(t.raft, t.started, t.now)
	t.seeded.membership = next
	if due {
		t.requestJoin()
	}
	next, change, ok := t.seeded.membership.NextChange(t.raft, t.settings.replicaID(), t.settings.Voters, t.now)
	t.seeded.membership = next
	if ok {
		t.log(LogReplicaMembership, string(change.Member.ID), fmt.Sprintf("remove=%t voter=%t", change.Remove, change.Member.Voter))
		t.stepRaft(change)
	}
}

// requestJoin asks every replica known to be taken in; the leader does it.
func (t *transition) requestJoin() {
	for _, h := range append(t.knownReplicas(), t.memberAddresses()...) {
		if h != t.settings.ID {
			t.send(h, Join{Identity: t.settings.replicaID()})
		}
	}
}

// joinRequested remembers a request, and passes one of the replica itself on to the leader: a
// replica whose disk was lost knows the seeds alone, and the leader may be none of them.
func (t *transition) joinRequested(from ident.Host, m Join) {
	t.seeded.membership = t.seeded.membership.WithJoinRequest(m.Identity, t.now)
	leader := t.raft.Leader().Address()
	if leader != "" && leader != t.settings.ID && from == m.Identity.Address() {
		t.send(leader, m)
	}
}
