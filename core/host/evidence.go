// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/canary"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/rollouts"
)

// Hosts count the requests and answers of both versions of a rollout (core/requests). They send the
// counts to the host that confirms their route table, a hub adds those of its clients to its own,
// and the leader adds up all of them. A lost message loses its counts, which only makes a judgement
// later.

// evidenceInterval is the time between two reports of evidence. Through a hub they reach the leader
// within two intervals, well within the time until a bad version must be reverted.
const evidenceInterval = 250 * time.Millisecond

// RolloutEvidence carries evidence on rollouts towards the leader.
type RolloutEvidence struct{ Packed []byte }

func (RolloutEvidence) message() {}

// receiveRolloutMessage handles the messages about rollouts.
func (t *transition) receiveRolloutMessage(from ident.Host, m Message) {
	switch m := m.(type) {
	case RolloutEvidence:
		t.handleRolloutEvidence(from, m)
	case RegistrationsRequest:
		t.handleRegistrationsRequest(from, m)
	case RegistrationsReply:
		t.handleRegistrationsReply(from, m)
	}
}

// tickEvidence sends the evidence counted by this host and its clients while a rollout runs. Without
// a contact that supports rollouts it is kept until there is one.
func (t *transition) tickEvidence() {
	r := &t.seeded.rollouts
	if !t.RolloutsEnabled() || t.now.Sub(r.evidenceSentAt) < evidenceInterval {
		return
	}
	if !t.Rollouts().IsRunning() {
		r.evidence = canary.Evidence{}
		return
	}
	contact := t.seeded.leaderContact
	if c, ok := t.seeded.contacts.Get(contact); !ok || !c.knowsRollouts {
		return
	}
	next, counted := t.requests.TakeEvidence()
	t.requests = next
	counted = r.evidence.Merge(counted)
	r.evidence, r.evidenceSentAt = canary.Evidence{}, t.now
	if !counted.IsEmpty() {
		t.send(contact, RolloutEvidence{Packed: counted.Encode()})
	}
}

// handleRolloutEvidence gathers evidence on the leader, passes it to the leader on another replica,
// and adds it to the next report on a hub.
func (t *transition) handleRolloutEvidence(from ident.Host, m RolloutEvidence) {
	if t.settings.IsReplica() && !t.raft.LeaseHeld(t.now) {
		t.forwardEvidence(from, m)
		return
	}
	e, err := canary.Decode(m.Packed)
	switch {
	case err != nil:
		t.log(LogReplicaContact, string(from), "cannot decode evidence: "+err.Error())
	case t.settings.IsReplica():
		t.gatherEvidence(e)
	default:
		t.seeded.rollouts.evidence = t.seeded.rollouts.evidence.Merge(e)
	}
}

// forwardEvidence passes evidence to the leader. Evidence from another replica is dropped, as two
// replicas that consider each other the leader would pass it back and forth.
func (t *transition) forwardEvidence(from ident.Host, m RolloutEvidence) {
	leader := t.raft.Leader().Address()
	if leader == "" || leader == t.settings.ID || !t.replicaSupportsRollouts(leader) || slices.Contains(t.memberAddresses(), from) {
		return
	}
	t.send(leader, m)
}

// gatheredEvidence is the leader's evidence on one rollout.
type gatheredEvidence struct {
	evidence canary.Evidence
	// receivedAt is when evidence last arrived.
	receivedAt time.Time
	judgement  canary.Judgement
	// requests and exposed are the numbers of all requests and of those sent to the new version.
	requests, exposed int
}

// gatherEvidence adds evidence to that on each running rollout.
func (t *transition) gatherEvidence(e canary.Evidence) {
	c := &t.seeded.rollouts.control
	for _, entry := range t.catalog.Rollouts.Entries {
		order := entry.Rollout.Order
		if part := e.Of(order); entry.Rollout.IsRunning() && !part.IsEmpty() {
			g, _ := c.evidence.Get(order)
			g.evidence, g.receivedAt = g.evidence.Merge(part), t.now
			c.evidence = c.evidence.With(order, g)
		}
	}
}

// judgeEvidence judges the evidence on a rollout.
func (t *transition) judgeEvidence(order uint64) gatheredEvidence {
	c := &t.seeded.rollouts.control
	g, ok := c.evidence.Get(order)
	if !ok {
		return g
	}
	g.judgement = g.evidence.Judge(order)
	g.requests, g.exposed = g.evidence.Requests(order)
	c.evidence = c.evidence.With(order, g)
	return g
}

// evidenceAge returns the time since evidence on a running rollout last arrived, or since its order if
// none has.
func (t *transition) evidenceAge(g gatheredEvidence, e rollouts.Entry) time.Duration {
	if g.receivedAt.IsZero() {
		return t.rolloutElapsed(e)
	}
	return t.now.Sub(g.receivedAt)
}

// evidenceDetail returns, for log lines, the evidence on a rollout as judged last; empty if this
// process has received none.
func (t *transition) evidenceDetail(order uint64) string {
	g, _ := t.seeded.rollouts.control.evidence.Get(order)
	if g.receivedAt.IsZero() {
		return ""
	}
	was, is := g.judgement.Old, g.judgement.New
	return fmt.Sprintf(" verdict=%s answers=%d failed=%d slow=%d answers_before=%d failed_before=%d slow_before=%d requests=%d exposed=%d evidence_age=%s",
		g.judgement.Verdict, is.Answers, is.Failed, is.Slow, was.Answers, was.Failed, was.Slow, g.requests, g.exposed, t.now.Sub(g.receivedAt))
}
