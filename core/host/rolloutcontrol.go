// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"strings"
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/core/table"
)

// The leader advances each running rollout by writes to the replicated log, one at a time, as
// package rollouts decides from what the leader observes. It also adopts versions: the first one of
// a service, and another one once an operator has replaced all targets without a rollout.
//
// Inputs: the evidence of hosts, their loads and leases, and the registrations of all replicas.
const (
	// controlInterval is the time between two observations.
	controlInterval = 100 * time.Millisecond
	// oldIdleTime is how long the summed loads must show no request at targets of the old version.
	// Reports of hosts are up to 1.4 s old.
	oldIdleTime = 1500 * time.Millisecond
	// newReadyTimeout is how long the new version may have no ready target in Drain.
	newReadyTimeout = time.Second
	// adoptionDelay is how long the current version must have had no ready target before another
	// one is adopted.
	adoptionDelay = 10 * time.Second
	// leaseMargin is added to the key lease for clocks that run at different rates.
	leaseMargin = 100 * time.Millisecond
	// rolloutWriteTimeout bounds a write of the controller. If its result is unknown, the next one
	// is decided anew.
	rolloutWriteTimeout = 3 * time.Second
	// rolloutWritePrefix begins the ids of the controller's writes.
	rolloutWritePrefix = "auto/rollout/"
)

// Reasons why a rollout cannot go on.
const (
	reasonDisabled       = "rollouts are disabled"
	reasonEarlierHosts   = "hosts of an earlier build"
	reasonServiceRemoved = "service removed"
	reasonNoNewTarget    = "no ready target of the new version"
)

// rolloutControl is the state of the leader's controller. A new leader begins with the zero value.
type rolloutControl struct {
	nextAt time.Time
	// evidence is what hosts reported, by the order of the rollout.
	evidence table.Table[uint64, gatheredEvidence]
	// sources are the registrations of other replicas, targets what they and the own ones contain.
	sources table.Table[ident.Host, registrationSource]
	targets fleetTargets
	drains  table.Table[ident.Service, drainWatch]
	// currentReadyAt is when the current version of a service last had a ready target.
	currentReadyAt table.Table[ident.Service, time.Time]
}

// drainWatch observes the Drain phase of a rollout.
type drainWatch struct {
	order uint64
	// idleSince is since when the old version is known to have no requests; zero while it may have.
	idleSince time.Time
	// newReadyAt is when the new version last had a ready target.
	newReadyAt time.Time
}

// resetRolloutControl drops the controller's state and pending writes when the role changes. A later
// leader decides anew, so that a delayed step cannot follow its own.
func (t *transition) resetRolloutControl() {
	t.seeded.rollouts.inForce = t.seeded.rollouts.inForce.WithoutPendingWrites()
	t.seeded.rollouts.control = rolloutControl{}
	t.counters.Rollouts = RolloutCounters{}
	for id := range t.writes.All() {
		if strings.HasPrefix(id, rolloutWritePrefix) {
			t.writes = t.writes.Without(id)
		}
	}
}

// tickRolloutControl advances the running rollouts and adopts versions, on the leader.
func (t *transition) tickRolloutControl() {
	c := &t.seeded.rollouts.control
	if !t.raft.LeaseHeld(t.now) || t.now.Before(c.nextAt) || !t.RolloutsEnabled() && !t.catalog.Rollouts.IsRunning() {
		return
	}
	c.nextAt = t.now.Add(controlInterval)
	targets := t.updateFleetTargets()
	var counters RolloutCounters
	var evidence table.Table[uint64, gatheredEvidence]
	for _, e := range t.catalog.Rollouts.Entries {
		if !e.Rollout.IsRunning() {
			continue
		}
		g := t.judgeEvidence(e.Rollout.Order)
		evidence = evidence.With(e.Rollout.Order, g)
		counters = counters.with(g, t.evidenceAge(g, e))
		t.advanceRollout(e, g, targets)
	}
	c.evidence, t.counters.Rollouts = evidence, counters
	if !t.allSupportRollouts() || !targets.isComplete {
		c.currentReadyAt = table.Table[ident.Service, time.Time]{}
		return
	}
	t.adoptVersions(targets)
}

// with adds a running rollout to the counters.
func (c RolloutCounters) with(g gatheredEvidence, age time.Duration) RolloutCounters {
	c.Running++
	c.Exposed += g.exposed
	c.BadAnswers += g.judgement.New.Failed + g.judgement.New.Slow
	c.EvidenceAge = max(c.EvidenceAge, age)
	return c
}

// advanceRollout writes the next step of a rollout if one is due.
func (t *transition) advanceRollout(e rollouts.Entry, g gatheredEvidence, targets fleetTargets) {
	o := rollouts.Observation{
		Elapsed: t.rolloutElapsed(e),
		Verdict: g.judgement.Verdict, Reason: g.judgement.Reason, Requests: g.requests, Exposed: g.exposed,
		Covered: min(t.rolloutElapsed(e), t.now.Sub(t.leaderSince)), InForce: t.isPhaseInForce(e),
		LongestRequest: t.longestRequest(e.Service),
	}
	var watch drainWatch
	if e.Rollout.Phase == rollouts.Drain {
		watch = t.watchDrain(e, targets)
		o.OldIdle = !watch.idleSince.IsZero() && t.now.Sub(watch.idleSince) >= oldIdleTime
	}
	o.Obstacle = t.rolloutObstacle(e, watch)
	next, due := e.Rollout.Next(t.settings.Rollouts, o)
	if due {
		next.Service = e.Service
		t.submitRolloutWrite(e.Service, catalog.AdvanceRollout{Progress: next})
	}
}

// rolloutElapsed returns the time since a rollout was ordered.
func (t *transition) rolloutElapsed(e rollouts.Entry) time.Duration {
	return t.now.Sub(t.rolloutMarkOf(e).orderedAt)
}

// submitRolloutWrite submits a write of the controller unless one for the service is pending.
func (t *transition) submitRolloutWrite(service ident.Service, command catalog.Command) {
	id := rolloutWritePrefix + string(service)
	if !t.writes.Has(id) {
		t.submit(catalog.Write{ID: id, Actor: string(t.settings.ID), Command: command}, t.now.Add(rolloutWriteTimeout))
	}
}

// rolloutObstacle returns why a rollout cannot go on, or "".
func (t *transition) rolloutObstacle(e rollouts.Entry, watch drainWatch) string {
	isPool := func(p config.Pool) bool { return p.ID == e.Service }
	switch {
	case !t.RolloutsEnabled():
		return reasonDisabled
	case !t.allSupportRollouts():
		return reasonEarlierHosts
	case !slices.ContainsFunc(t.catalog.Config.Gateway.Pools, isPool):
		return reasonServiceRemoved
	case e.Rollout.Phase == rollouts.Drain && t.now.Sub(watch.newReadyAt) >= newReadyTimeout:
		return reasonNoNewTarget
	}
	return ""
}

// longestRequest returns the longest timeout of the routes that lead to a service.
func (t *transition) longestRequest(service ident.Service) time.Duration {
	var longest time.Duration
	for _, r := range t.catalog.Config.Gateway.Routes {
		if slices.ContainsFunc(r.Shares, func(s config.Share) bool { return s.Pool == service }) {
			longest = max(longest, time.Duration(r.Timeout))
		}
	}
	return longest
}

// watchDrain records whether the old version may have requests and the new one has ready targets.
func (t *transition) watchDrain(e rollouts.Entry, targets fleetTargets) drainWatch {
	c := &t.seeded.rollouts.control
	w, ok := c.drains.Get(e.Service)
	if !ok || w.order != e.Rollout.Order {
		w = drainWatch{order: e.Rollout.Order, newReadyAt: t.now}
	}
	versions := targets.byService[e.Service]
	if !targets.isComplete || versions[e.Rollout.To].ready > 0 {
		w.newReadyAt = t.now
	}
	switch isIdle := targets.isComplete && !targets.hasSilentReplica && versions[e.Rollout.To].ready > 0 && t.isPhaseInForce(e) && !t.hasRequestsAtOthers(versions, e.Rollout.To); {
	case !isIdle:
		w.idleSince = time.Time{}
	case w.idleSince.IsZero():
		w.idleSince = t.now
	}
	c.drains = c.drains.With(e.Service, w)
	return w
}

// isPhaseInForce reports whether no host may still serve by a revision from before the rollout's
// phase: all leases granted before it have ended, or all lease holders report to apply it. After a
// change of leader only the former is certain, as the new one may not know all lease holders.
func (t *transition) isPhaseInForce(e rollouts.Entry) bool {
	m := t.rolloutMarkOf(e)
	settings := t.inForceSettings()
	if t.now.Sub(m.phaseAt) >= settings.KeyLease+leaseMargin {
		return true
	}
	if t.leaderSince.After(m.phaseAt) || t.now.Sub(t.started) < leaseWarmUp {
		return false
	}
	oldest := t.seeded.rollouts.inForce.OldestInForce(revisionVersion(t.catalog.Rollouts.Revision), settings, t.now)
	return oldest >= revisionVersion(m.phaseRevision)
}

// hasRequestsAtOthers reports whether the summed loads show, or may hide, requests at targets of
// other versions than the given one.
func (t *transition) hasRequestsAtOthers(versions map[ident.Version]versionTargets, version ident.Version) bool {
	if t.now.Sub(t.started) < sumWarmUp {
		return true
	}
	counts := t.sumLoads().total.Counts()
	for v, targets := range versions {
		for _, tag := range targets.tags {
			if v != version && counts[tag] > 0 {
				return true
			}
		}
	}
	return false
}

// adoptVersions adopts a version for each service that has none, or whose current version has had
// no ready target for adoptionDelay.
func (t *transition) adoptVersions(targets fleetTargets) {
	c := &t.seeded.rollouts.control
	for _, p := range t.catalog.Config.Gateway.Pools {
		e, _ := t.catalog.Rollouts.Of(p.ID)
		versions := targets.byService[p.ID]
		if e.Rollout.IsRunning() {
			c.currentReadyAt = c.currentReadyAt.Without(p.ID)
			continue
		}
		if e.Current != "" {
			readyAt, ok := c.currentReadyAt.Get(p.ID)
			if !ok || versions[e.Current].ready > 0 || versions[""].ready > 0 {
				c.currentReadyAt, readyAt = c.currentReadyAt.With(p.ID, t.now), t.now
			}
			if t.now.Sub(readyAt) < adoptionDelay || targets.hasSilentReplica {
				continue
			}
		}
		a := rollouts.Adoption{Service: p.ID, Version: versionToAdopt(e, versions)}
		if _, outcome := t.catalog.Rollouts.WithAdoption(a); a.Version != "" && outcome == rollouts.Done {
			t.submitRolloutWrite(p.ID, catalog.AdoptVersion{Adoption: a})
		}
	}
}

// versionToAdopt returns the version with the most ready targets, or "". The version that was last
// reverted is not adopted, nor is a first version while more targets report none: it may be a new one
// that runs beside targets which do not report theirs.
func versionToAdopt(e rollouts.Entry, versions map[ident.Version]versionTargets) ident.Version {
	var best ident.Version
	for v, targets := range versions {
		isReverted := e.Rollout.Phase == rollouts.Reverted && v == e.Rollout.To
		if v == "" || v == e.Current || targets.ready == 0 || isReverted {
			continue
		}
		most := versions[best].ready
		if best == "" || targets.ready > most || targets.ready == most && v < best {
			best = v
		}
	}
	if e.Current == "" && versions[""].ready >= versions[best].ready {
		return ""
	}
	return best
}
