// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// Each replica knows only the workers that send their heartbeats to it. The leader decides about
// rollouts by the workers of the whole fleet, so it requests the registrations of the other replicas,
// and then only what has changed.
const (
	// registrationsInterval is the time between two requests to a replica, and between two counts of
	// the workers.
	registrationsInterval = 250 * time.Millisecond
	// registrationsLifetime is how long a silent replica's registrations count. Its workers register
	// at another replica within that time: a worker's heartbeats follow each other within 1.2 s.
	registrationsLifetime = 6 * time.Second
)

type (
	// RegistrationsRequest requests a replica's registrations after Revision. Epoch is the replica's
	// incarnation to which the revision belongs.
	RegistrationsRequest struct {
		Epoch    uint64
		Revision uint64
	}
	// RegistrationsReply replies to a RegistrationsRequest. Workers are the packed registrations
	// after Since up to Revision, Newest is the revision of the sender's registry.
	RegistrationsReply struct {
		Epoch    uint64
		Since    uint64
		Revision uint64
		Newest   uint64
		Workers  []byte
	}
)

func (RegistrationsRequest) message() {}
func (RegistrationsReply) message()   {}

// registrationSource holds what another replica reported of its workers.
type registrationSource struct {
	epoch, revision, newest uint64
	workers                 registry.Registry
	lastReply               time.Time
}

// isComplete reports whether all registrations of the replica have arrived.
func (s registrationSource) isComplete() bool { return !s.lastReply.IsZero() && s.revision >= s.newest }

// versionTargets are the workers of one service and version: the number of ready ones, and the tags
// of all that have not ended.
type versionTargets struct {
	ready int
	tags  []loads.Tag
}

// fleetTargets are the workers of the fleet by service and version. It is never modified once it is
// complete.
type fleetTargets struct {
	countedAt time.Time
	// isComplete is set if the registrations of all replicas in contact were counted.
	isComplete bool
	// hasSilentReplica is set if a member has not replied for registrationsLifetime: workers that only
	// it knows are not counted.
	hasSilentReplica bool
	byService        map[ident.Service]map[ident.Version]versionTargets
}

// updateFleetTargets requests the registrations of the other replicas and counts the workers, at
// intervals.
func (t *transition) updateFleetTargets() fleetTargets {
	c := &t.seeded.rollouts.control
	if t.now.Sub(c.targets.countedAt) < registrationsInterval {
		return c.targets
	}
	for _, id := range t.memberAddresses() {
		if id != t.settings.ID && t.replicaSupportsRollouts(id) {
			t.requestRegistrations(id)
		}
	}
	c.forgetEndedTargets(t.now)
	c.targets = t.countTargets()
	return c.targets
}

func (t *transition) requestRegistrations(from ident.Host) {
	s, _ := t.seeded.rollouts.control.sources.Get(from)
	t.send(from, RegistrationsRequest{Epoch: s.epoch, Revision: s.revision})
}

func (t *transition) handleRegistrationsRequest(from ident.Host, m RegistrationsRequest) {
	if !t.settings.IsReplica() {
		return
	}
	since := m.Revision
	if m.Epoch != t.settings.Incarnation {
		since = 0
	}
	batch := t.nextWorkers(since)
	t.send(from, RegistrationsReply{
		Epoch: t.settings.Incarnation, Since: since, Revision: batch.revision, Newest: t.registry.Revision(), Workers: batch.packed,
	})
}

// handleRegistrationsReply stores a replica's registrations and requests the next batch at once.
func (t *transition) handleRegistrationsReply(from ident.Host, m RegistrationsReply) {
	c := &t.seeded.rollouts.control
	s, _ := c.sources.Get(from)
	if s.epoch != m.Epoch {
		s = registrationSource{epoch: m.Epoch}
	}
	if !t.raft.LeaseHeld(t.now) || m.Since > s.revision {
		return
	}
	workers, err := registry.Unpack(m.Workers)
	if err == nil {
		workers, err = registry.Checked(workers)
	}
	if err != nil {
		t.log(LogReplicaContact, string(from), "invalid registration: "+err.Error())
	}
	for _, w := range workers {
		s.workers = s.workers.WithReport(w, t.now)
	}
	advanced := m.Revision > s.revision
	s.revision, s.newest, s.lastReply = max(s.revision, m.Revision), m.Newest, t.now
	c.sources = c.sources.With(from, s)
	if advanced && !s.isComplete() {
		t.requestRegistrations(from)
	}
}

// countTargets counts the workers of all replicas. A worker that several replicas report counts by
// the newest report.
func (t *transition) countTargets() fleetTargets {
	newest := map[ident.Target]registry.Worker{}
	add := func(r registry.Registry) {
		workers, _ := r.After(0, r.Len()+1, t.now)
		for _, w := range workers {
			if have, ok := newest[w.ID]; !ok || registry.Newer(w, have) {
				newest[w.ID] = w
			}
		}
	}
	add(t.registry)
	out := fleetTargets{countedAt: t.now, isComplete: true, byService: map[ident.Service]map[ident.Version]versionTargets{}}
	for _, id := range t.memberAddresses() {
		s, _ := t.seeded.rollouts.control.sources.Get(id)
		switch {
		case id == t.settings.ID:
		case t.now.Sub(laterTime(s.lastReply, t.leaderSince)) >= registrationsLifetime:
			out.hasSilentReplica = true
		default:
			out.isComplete = out.isComplete && s.isComplete()
			add(s.workers)
		}
	}
	for _, w := range newest {
		out.add(w)
	}
	return out
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f fleetTargets) add(w registry.Worker) {
	if w.State == registry.Gone {
		return
	}
	versions := f.byService[w.Pool]
	if versions == nil {
		versions = map[ident.Version]versionTargets{}
		f.byService[w.Pool] = versions
	}
	v := versions[w.Version]
	if w.State == registry.Ready {
		v.ready++
	}
	v.tags = append(v.tags, loads.TagOf(w.ID))
	versions[w.Version] = v
}

// forgetEndedTargets drops ended workers from what other replicas reported.
func (c *rolloutControl) forgetEndedTargets(now time.Time) {
	var sources table.Table[ident.Host, registrationSource]
	for id, s := range c.sources.All() {
		s.workers = s.workers.Forget(now)
		sources = sources.With(id, s)
	}
	c.sources = sources
}
