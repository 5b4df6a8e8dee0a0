// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/core/registry"
)

// A stream of unknown origin goes on only if a single version can have begun it. Which versions there are now
// does not tell: the worker that began it may have ended before this host started, or have started again under
// its id at another version, and the route may have led to another service. The conclusion therefore needs
// knowledge that reaches back for as long as streams are resumed, origins.Retention: of a single version in
// the pool, since this host has known workers of it, and of the same routes. It must also reach the present: the
// stream may have begun just now, at a worker that has just joined. A confirmation of the route table says nothing
// of workers.
//
// Inputs: since when a pool has had one known version, as of when all workers are known, when the route table
// last changed, the newest confirmation.

// soleVersion is the version that a worker of a pool was last known to have, and since when none is known to
// have had another one.
type soleVersion struct {
	version ident.Version
	since   time.Time
}

// WithWorkersKnown returns the state of a host that knows all workers that were registered by a time.
func (s State) WithWorkersKnown(asOf time.Time) State {
	if asOf.After(s.workersAsOf) {
		s.workersAsOf = asOf
	}
	return s
}

// WorkersAsOf returns as of when this host knows all workers; zero if it never did.
func (s State) WorkersAsOf() time.Time { return s.workersAsOf }

// WithRoutesChanged returns the state after a change of the route table.
func (s State) WithRoutesChanged(now time.Time) State {
	s.routesChangedAt = now
	return s
}

// recordVersion records the version of a worker that was registered. previous is what was known of it.
func (t *transition) recordVersion(previous, next registry.Worker) {
	if previous.Pool != "" && (previous.Pool != next.Pool || previous.Version != next.Version) {
		t.soleVersions = t.soleVersions.With(previous.Pool, soleVersion{version: previous.Version, since: t.now})
	}
	if v, known := t.soleVersions.Get(next.Pool); !known || v.version != next.Version {
		t.soleVersions = t.soleVersions.With(next.Pool, soleVersion{version: next.Version, since: t.now})
	}
}

// soleOrigin returns the only origin that a stream of the call's route can have. The route table must be known
// to be the newest since the request arrived, and so must all workers.
func (t *transition) soleOrigin(c *call, since time.Time) (origins.Origin, bool) {
	v, known := t.soleVersions.Get(c.pool.ID)
	oldest := t.now.Add(-origins.Retention)
	if !known || v.since.After(oldest) || t.routesChangedAt.After(oldest) || !t.confirmed.AsOf.After(since) || !t.workersAsOf.After(since) {
		return origins.Origin{}, false
	}
	for _, s := range c.route.Shares {
		if s.Pool != c.pool.ID {
			return origins.Origin{}, false
		}
	}
	o, found := origins.Origin{Service: c.pool.ID}, false
	for m := range t.workers.Pool(c.pool.ID).All() {
		version := m.placement.Value().version
		if found && version != o.Version {
			return origins.Origin{}, false
		}
		o.Version, found = version, true
	}
	return o, found
}
