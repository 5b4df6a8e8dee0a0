// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/membership"
)

// tickMembers requests to join and changes the list of members when package membership decides
// so.
func (t *transition) tickMembers() {
	next, due := t.seeded.membership.JoinRequestDue(t.raft, t.started, t.now)
	t.seeded.membership = next
	if due {
		t.requestJoin()
	}
	self := t.settings.replicaID()
	next, change, ok := next.WithZone(self, t.settings.Zone).NextChange(t.raft, self, t.settings.Voters, t.now)
	t.seeded.membership = next
	if ok {
		t.log(LogReplicaMembership, string(change.Member.ID), fmt.Sprintf("remove=%t voter=%t", change.Remove, change.Member.Voter))
		t.stepRaft(change)
	}
	t.updateMembershipRisks()
}

// updateMembershipRisks counts and logs, on the leader, the failures that the members would not
// survive. While members change, the last result stands.
func (t *transition) updateMembershipRisks() {
	if !t.raft.LeaseHeld(t.now) {
		t.counters.MembershipRisks = membership.Risks{}
		return
	}
	if !t.seeded.membership.Settled(t.now) {
		return
	}
	risks := t.seeded.membership.Risks(t.raft, t.settings.Voters)
	if risks != t.counters.MembershipRisks {
		t.log(LogReplicaMembership, string(t.settings.ID), fmt.Sprintf("members=%d fatal_zone=%q missing_voters=%d not_added=%d",
			len(t.raft.Members()), risks.FatalZone, risks.MissingVoters, risks.NotAdded))
	}
	t.counters.MembershipRisks = risks
}

// announcesRegistrations reports whether hosts learn of registrations that this replica accepts:
// they poll the members of the log and the seeds.
func (t *transition) announcesRegistrations() bool {
	return t.settings.IsReplica() && (!t.settings.Seeded() || t.raft.IsMember(t.settings.replicaID()))
}

// requestJoin sends a join request to every known replica. Only the leader acts on it.
func (t *transition) requestJoin() {
	for _, h := range append(t.knownReplicas(), t.memberAddresses()...) {
		if h != t.settings.ID {
			t.send(h, Join{Identity: t.settings.replicaID(), Zone: t.settings.Zone})
		}
	}
}

// handleJoin records a join request, and forwards one that comes from the replica itself to
// the leader: a replica that lost its disk knows only the seeds, and the leader may not be one
// of them.
func (t *transition) handleJoin(from ident.Host, m Join) {
	t.seeded.membership = t.seeded.membership.WithJoinRequest(m.Identity, t.now).WithZone(m.Identity, m.Zone)
	leader := t.raft.Leader().Address()
	if leader != "" && leader != t.settings.ID && from == m.Identity.Address() {
		t.send(leader, m)
	}
}
