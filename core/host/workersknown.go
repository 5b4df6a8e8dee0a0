// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// A replica knows the workers whose heartbeats it receives, a hub those of all replicas. A host therefore knows all
// workers as of a time once the replies to polls sent since have completed the registrations of every replica that
// replies, or those of one hub that knew them all by then.
//
// Hubs of an earlier version do not report as of when they know all workers, so hosts take it as never.

// recordWorkersKnown records as of when this host knows all workers, after a reply to a poll that was sent at a time.
func (t *transition) recordWorkersKnown(from ident.Host, m PollReply, sent time.Time) {
	c, _ := t.seeded.contacts.Get(from)
	if m.Cut || c.epoch != m.Epoch || c.revision < m.NewestRevision {
		return
	}
	if t.pollsHubs() && t.seeded.hub.pollSet.Has(from) {
		if m.WorkersAge > 0 {
			t.requests = t.requests.WithWorkersKnown(sent.Add(-m.WorkersAge))
		}
		return
	}
	if sent.After(c.workersAsOf) {
		c.workersAsOf = sent
		t.seeded.contacts = t.seeded.contacts.With(from, c)
	}
	t.requests = t.requests.WithWorkersKnown(t.replicasKnownAsOf())
}

// replicasKnownAsOf returns as of when the registrations of all replicas that are not lost are known; zero if it is
// never.
func (t *transition) replicasKnownAsOf() time.Time {
	var asOf time.Time
	for _, h := range t.knownReplicas() {
		c, _ := t.seeded.contacts.Get(h)
		switch {
		case c.lost:
		case c.workersAsOf.IsZero():
			return time.Time{}
		case asOf.IsZero() || c.workersAsOf.Before(asOf):
			asOf = c.workersAsOf
		}
	}
	return asOf
}

// workersAge returns how long ago this host knew all workers, as it reports it; 0 for never.
func (t *transition) workersAge() time.Duration {
	asOf := t.requests.WorkersAsOf()
	if asOf.IsZero() {
		return 0
	}
	return max(1, t.now.Sub(asOf))
}
