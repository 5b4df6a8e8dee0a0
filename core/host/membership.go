// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"

	"github.com/yardhall/yardhall/core/ident"
)

// tickMembers requests to join and changes the list of members when package membership decides
// so.
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

// requestJoin sends a join request to every known replica. Only the leader acts on it.
func (t *transition) requestJoin() {
	for _, h := range append(t.knownReplicas(), t.memberAddresses()...) {
		if h != t.settings.ID {
			t.send(h, Join{Identity: t.settings.replicaID()})
		}
	}
}

// handleJoin records a join request, and forwards one that comes from the replica itself to
// the leader: a replica that lost its disk knows only the seeds, and the leader may not be one
// of them.
func (t *transition) handleJoin(from ident.Host, m Join) {
	t.seeded.membership = t.seeded.membership.WithJoinRequest(m.Identity, t.now)
	leader := t.raft.Leader().Address()
	if leader != "" && leader != t.settings.ID && from == m.Identity.Address() {
		t.send(leader, m)
	}
}
