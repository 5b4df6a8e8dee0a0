// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/zones"
)

// Operators drain a zone with an order, after which nothing more may be sent to the zone's
// workers once ZoneDrain has passed since the order's acknowledgement. A host that learns of the
// order shifts the zone's traffic to other zones within shiftFraction of that time: an increasing
// part of the requests, drawn by id, avoids the zone if possible, whether a first attempt, a
// retry, a resend or a resumed stream. Requests in progress there continue. Engines of the zone
// still serve their cached prefixes to others, as the prompts that used them move away and would
// all be read again.
//
// Shifting all traffic at once would overload the other zones before hosts know each other's
// loads, and move all prefixes of the zone in the same second.
//
// If the other workers of a pool are missing or have no free slot, workers of the zone are used
// until ZoneDrain has passed; new workers elsewhere have that time to start. After it, a request
// whose pool has workers only in drained zones is refused at once as not run, as waiting would
// not help.
//
// ZoneDrain is counted from the last confirmation that this host had before it learned of the
// order. The order had not been given at that time, so the host never stops too late, however
// long the order took to arrive.
//
// Inputs: the drained zones and when they were learned of, confirmations, workers' zones, loads
// and slots.

const (
	// drainMargin is subtracted from ZoneDrain to cover clock drift and the time between the
	// decision and the arrival of a request at its worker.
	drainMargin = 300 * time.Millisecond
	// retryAfterDrained is the advice to callers when all workers are in drained zones, which
	// only an operator can change.
	retryAfterDrained = time.Second
	// shiftFraction of ZoneDrain is the time in which a zone's traffic is shifted.
	shiftFraction = 0.4
)

// WithDrainedZones returns the state of a host that has learned which zones are drained.
func (s State) WithDrainedZones(d zones.Drained) State {
	from := s.confirmed.AsOf.Add(s.settings.ZoneDrain - drainMargin)
	for _, o := range d.OrdersSince(s.drainedZones.Revision) {
		s.drainClosesAt = s.drainClosesAt.Without(o.Zone)
		if o.Drained && !s.confirmed.IsZero() {
			s.drainClosesAt = s.drainClosesAt.With(o.Zone, from)
		}
	}
	s.drainedZones = d
	return s
}

// ZoneDrain returns the time after a drain order's acknowledgement from which nothing more is
// sent to the zone.
func (s State) ZoneDrain() time.Duration { return s.settings.ZoneDrain }

// isZoneClosed reports whether nothing at all may be sent to a zone.
func (t *transition) isZoneClosed(zone ident.Zone) bool {
	if !t.drainedZones.IsDrained(zone) {
		return false
	}
	from, _ := t.drainClosesAt.Get(zone)
	return !t.now.Before(from)
}

// isShiftedAway reports whether a call avoids a zone that is being drained.
func (t *transition) isShiftedAway(c call, zone ident.Zone) bool {
	from, known := t.drainClosesAt.Get(zone)
	if !known {
		return true
	}
	elapsed := t.now.Sub(from.Add(drainMargin - t.settings.ZoneDrain))
	return c.drawFraction() < elapsed.Seconds()/(shiftFraction*t.settings.ZoneDrain.Seconds())
}

// withDraining adds workers of zones being drained if there are no others with a free slot.
func withDraining(others, draining []candidate) []candidate {
	for _, w := range others {
		if w.load < w.slots {
			return others
		}
	}
	return append(others, draining...)
}

// hasOnlyDrainedWorkers reports whether all ready workers of a call that has not been sent are in
// drained zones, so that the drain is why no worker can be chosen for the call. A worker elsewhere that
// is cold or wants nothing for a while can serve before an operator takes a zone back.
func (t *transition) hasOnlyDrainedWorkers(c call) bool {
	if c.attempt > 0 || t.drainedZones.Revision == 0 {
		return false
	}
	versions, drained := t.versionsFor(c), false
	for w := range t.workers.Workers(c.pool.ID) {
		if w.State != registry.Ready || !versions.allow(w) {
			continue
		}
		if !t.drainedZones.IsDrained(w.Zone) {
			return false
		}
		drained = true
	}
	return drained
}
