// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/canary"
	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/inforce"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/core/table"
)

// Package rollouts holds which version serves each service; this file distributes that state as
// zones.go does the drained zones. Poll replies carry it only to clients that hold an earlier
// revision, since it has an entry for each service. The leader advances rollouts in
// rolloutcontrol.go, by the evidence that evidence.go collects.

// maxRolloutAckDelay is how long silent hosts may delay the acknowledgement of a rollout order.
// Until they are confirmed again they send nothing to the new version, and operators wait for at
// most 5 s.
const maxRolloutAckDelay = 800 * time.Millisecond

// replicaSupportLifetime is how long a replica counts as supporting rollouts after its last message:
// several heartbeats of the replicated log.
const replicaSupportLifetime = time.Second

// rolloutState is what a process knows of rollouts besides the replicated state.
type rolloutState struct {
	// held are the rollouts that this entry host serves by. inForce tracks which revisions are in
	// force.
	held    rollouts.State
	inForce inforce.State
	// earlierReplicaSeenAt is when a replica without support for rollouts last sent a message of the
	// replicated log. replicasSeenAt is when those with support last did, by address.
	earlierReplicaSeenAt time.Time
	replicasSeenAt       table.Table[ident.Host, time.Time]
	// marks are, on a replica, the newest changes of each service's rollout.
	marks table.Table[ident.Service, rolloutMark]
	// evidence is what clients of this hub sent since evidenceSentAt, when evidence was last sent.
	evidence       canary.Evidence
	evidenceSentAt time.Time
	// control is the state of the leader's controller.
	control rolloutControl
}

// rolloutMark is what a replica records of the newest log entry about a rollout.
type rolloutMark struct {
	order uint64
	phase rollouts.Phase
	// orderedAt is when the rollout was ordered, by its elapsed time and this replica's clock: the
	// earliest by all entries, as each one is applied some time after its elapsed time was taken.
	orderedAt time.Time
	// phaseRevision is the revision by which the phase began, phaseAt when it was applied. Both are
	// later if this replica received that revision in a snapshot.
	phaseRevision uint64
	phaseAt       time.Time
}

// RolloutsEnabled reports whether the settings enable rollouts.
func (s State) RolloutsEnabled() bool { return s.settings.Rollouts.Share > 0 }

// Rollouts returns the rollouts known to this host.
func (s State) Rollouts() rollouts.State {
	if s.settings.IsReplica() {
		return s.catalog.Rollouts
	}
	return s.seeded.rollouts.held
}

// applyRollouts applies the rollouts received from another host if they are newer.
func (t *transition) applyRollouts(from ident.Host, sent rollouts.State) {
	r := &t.seeded.rollouts
	before := r.held
	r.held = before.Latest(sent)
	if r.held.Revision == before.Revision {
		return
	}
	if t.RolloutsEnabled() {
		t.requests = t.requests.WithRollouts(r.held)
	}
	if !t.settings.IsReplica() {
		t.logRolloutChanges(before, r.held, string(from))
	}
}

// recordRolloutCommit records and logs the changes of rollouts committed since a state.
func (t *transition) recordRolloutCommit(before rollouts.State) {
	r, after := &t.seeded.rollouts, t.catalog.Rollouts
	if after.Revision == before.Revision {
		return
	}
	r.inForce = r.inForce.WithCommit(t.now)
	for _, e := range after.Entries {
		if b, _ := before.Of(e.Service); b.Rollout != e.Rollout {
			r.marks = r.marks.With(e.Service, t.nextRolloutMark(e))
		}
	}
	t.logRolloutChanges(before, after, "the log")
}

func (t *transition) nextRolloutMark(e rollouts.Entry) rolloutMark {
	m, _ := t.seeded.rollouts.marks.Get(e.Service)
	orderedAt := t.now.Add(-e.Rollout.Elapsed)
	if m.order != e.Rollout.Order || orderedAt.Before(m.orderedAt) {
		m.orderedAt = orderedAt
	}
	if m.order != e.Rollout.Order || m.phase != e.Rollout.Phase {
		m.order, m.phase = e.Rollout.Order, e.Rollout.Phase
		m.phaseRevision, m.phaseAt = t.catalog.Rollouts.Revision, t.now
	}
	return m
}

// rolloutMarkOf returns the mark of a service's rollout. If this process read the rollout from disk
// when it started, the start stands for the entry.
func (t *transition) rolloutMarkOf(e rollouts.Entry) rolloutMark {
	m, ok := t.seeded.rollouts.marks.Get(e.Service)
	if !ok {
		return rolloutMark{
			order: e.Rollout.Order, phase: e.Rollout.Phase, orderedAt: t.started.Add(-e.Rollout.Elapsed),
			phaseRevision: t.catalog.Rollouts.Revision, phaseAt: t.started,
		}
	}
	return m
}

// logRolloutChanges logs each order, change of phase or share, and adoption between two states.
func (t *transition) logRolloutChanges(before, after rollouts.State, by string) {
	for _, e := range after.Entries {
		b, _ := before.Of(e.Service)
		r := e.Rollout
		detail := fmt.Sprintf("version=%q before=%q phase=%s share=%d elapsed=%s reason=%q%s revision=%d by=%s",
			r.To, r.From, r.Phase, r.Share, r.Elapsed, r.Reason, t.evidenceDetail(r.Order), after.Revision, by)
		switch {
		case r.Order != b.Rollout.Order:
			t.log(LogRolloutOrder, string(e.Service), fmt.Sprintf("duration=%s %s", r.Duration, detail))
		case r.Phase != b.Rollout.Phase || r.Share != b.Rollout.Share:
			t.log(LogRolloutPhase, string(e.Service), detail)
		case e.Current != b.Current:
			t.log(LogVersionAdopted, string(e.Service), fmt.Sprintf("version=%q before=%q revision=%d by=%s", e.Current, b.Current, after.Revision, by))
		}
	}
}

// rolloutsDue reports whether a client needs an update of the rollouts.
func (t *transition) rolloutsDue(c client) bool {
	return c.knowsRollouts && c.rolloutsRevision < t.Rollouts().Revision
}

// rolloutsFor returns the rollouts if a client holds an earlier revision, else the zero value.
func (t *transition) rolloutsFor(c client) rollouts.State {
	if !t.rolloutsDue(c) {
		return rollouts.State{}
	}
	return t.Rollouts()
}

// A host or replica that does not support rollouts, or has them disabled, sends requests to any
// version. While one takes part, orders are refused and the leader reverts running rollouts.

// recordRolloutSupport records whether a replica supports rollouts.
func (t *transition) recordRolloutSupport(m Raft) {
	r, from := &t.seeded.rollouts, m.From.Address()
	switch {
	case !m.KnowsRollouts:
		r.earlierReplicaSeenAt = t.now
		r.replicasSeenAt = r.replicasSeenAt.Without(from)
	case t.RolloutsEnabled():
		r.replicasSeenAt = r.replicasSeenAt.With(from, t.now)
	}
}

// replicaSupportsRollouts reports whether a replica has recently reported that it supports rollouts.
// Others cannot decode their messages, and a silent one may be restarting with an earlier version.
func (t *transition) replicaSupportsRollouts(id ident.Host) bool {
	seenAt, ok := t.seeded.rollouts.replicasSeenAt.Get(id)
	return ok && t.now.Sub(seenAt) <= replicaSupportLifetime
}

// hasEarlierClients reports whether a host that polls this one, directly or through a hub, does not
// support rollouts.
func (t *transition) hasEarlierClients() bool {
	for _, c := range t.seeded.clients.All() {
		if c.isLive(t.now) && (!c.knowsRollouts || c.earlierHosts) {
			return true
		}
	}
	return false
}

// allSupportRollouts reports whether this process and all replicas and hosts in contact with it
// support rollouts.
func (t *transition) allSupportRollouts() bool {
	return t.RolloutsEnabled() && t.now.Sub(t.seeded.rollouts.earlierReplicaSeenAt) > earlierReplicaLifetime && !t.hasEarlierClients()
}

// refusalIfDisabled returns the result of an operator's rollout write if rollouts are disabled here.
func (t *transition) refusalIfDisabled(w catalog.Write) (r catalog.Result, isRefused bool) {
	if t.partOf(w) != rolloutsPart || t.RolloutsEnabled() {
		return catalog.Result{}, false
	}
	return catalog.Result{Code: catalog.NotFound, Reason: "rollouts are disabled"}, true
}

// refusalIfUnsupported returns the result of a rollout order, on the leader, while a replica or host
// does not support rollouts. Reverts are accepted, as they stop requests to the new version.
func (t *transition) refusalIfUnsupported(w catalog.Write) (r catalog.Result, isRefused bool) {
	if _, ok := w.Command.(catalog.OrderRollout); !ok || t.allSupportRollouts() {
		return catalog.Result{}, false
	}
	return unsupportedRollout(), true
}

func unsupportedRollout() catalog.Result {
	return catalog.Result{Code: catalog.Unsupported, Reason: "a replica or host does not support rollouts yet"}
}

// isRolloutUnsupported reports whether the result of a rollout write comes from a leader that does
// not support rollouts: it neither applied the write nor waited until all hosts do.
func (t *transition) isRolloutUnsupported(p pendingWrite, r catalog.Result) bool {
	if t.partOf(p.write) != rolloutsPart {
		return false
	}
	if r.Code == catalog.OK {
		return r.Rollouts == 0 || revisionVersion(r.Rollouts) < p.inForce
	}
	_, isOrder := p.write.Command.(catalog.OrderRollout)
	return r.Code == catalog.NotFound && (isOrder || r.Rollouts < t.Rollouts().Revision)
}

// releaseRolloutWrites answers the rollout writes that are certain to be in force in time, or all of
// them as unsupported while a replica or host does not support rollouts.
func (t *transition) releaseRolloutWrites() {
	r := &t.seeded.rollouts
	if r.inForce.PendingWrites() == 0 {
		return
	}
	if t.allSupportRollouts() {
		r.inForce = t.releaseWritesOf(r.inForce, t.rolloutsInForceSettings(), LogRolloutInForce)
		return
	}
	next, held := r.inForce.TakePendingWrites()
	r.inForce = next
	for _, a := range held {
		a.Result = unsupportedRollout()
		t.answerHeldWrite(a)
	}
}

// grantRolloutsLease records the oldest rollouts that the polling host reports to apply, and that
// the reply confirms the current ones.
func (t *transition) grantRolloutsLease(from ident.Host, m Poll) {
	if !t.RolloutsEnabled() {
		return
	}
	t.seeded.rollouts.inForce = t.seeded.rollouts.inForce.WithGrant(inforce.Grant{
		From: from, Incarnation: m.Boot, OldestInForce: m.RolloutsInForce, SentVersion: revisionVersion(t.Rollouts().Revision),
	}, t.now)
}

// rolloutsInForceSettings returns the settings of package inforce for rollout orders.
func (t *transition) rolloutsInForceSettings() inforce.Settings {
	return t.inForceSettings().WithAckDelay(maxRolloutAckDelay, t.requests.KeyLease())
}

// rolloutsReportDue reports whether this host should poll early, as a leader may wait for its report.
func (t *transition) rolloutsReportDue() bool {
	r := t.seeded.rollouts
	return t.RolloutsEnabled() && r.inForce.ReportDue(revisionVersion(r.held.Revision), t.rolloutsInForceSettings(), t.now)
}

// rolloutsReport returns the oldest revision that this host or its clients may apply, for the next
// polls; 0 if rollouts are disabled.
func (t *transition) rolloutsReport() config.Version {
	r := &t.seeded.rollouts
	if !t.RolloutsEnabled() {
		return 0
	}
	next, oldest := r.inForce.TakeReport(revisionVersion(r.held.Revision), t.rolloutsInForceSettings(), t.now)
	r.inForce = next
	return oldest
}
