// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/zones"
)

// The operators drain a zone by an order, after which nothing more may be sent to its workers
// from ZoneDrain after the order's acknowledgement on. A host that learns of the order hands the
// zone's work over within handoverPart of that time: more and more requests, drawn by their ids,
// go elsewhere where they can, be it a first attempt, one after a failure or a pause, or a stream
// that goes on. What is in progress there ends as it would. Engines of such a zone still give the
// prefixes that they hold to others, as the prompts that they served now go elsewhere and would
// all be read again.
//
// All at once would load the others before any host knows how, and move all prefixes of the zone in
// the same second.
//
// A pool whose other workers are missing, or have no slot left, is still served by workers of
// the zone while the time lasts: its work moves over in seconds and not at once, and new
// workers elsewhere have these seconds to come. After it, a request whose pool has workers in
// drained zones only is refused at once: it has not run, and waiting at this host would not
// change that.
//
// The time is counted from the last confirmation that this host had before it learned of the
// order. At that moment the order was not given yet, so the count is never late, however long
// the order was on its way.
//
// Inputs: the drained zones and when they were learned of, confirmations, workers' zones,
// loads and slots. Measured on a day on which two of three plain workers left while the zone
// of the third was drained: see the design note on the shifted work.

const (
	// drainMargin is kept from ZoneDrain for clocks that run at other rates, and for the path
	// of a request from the decision to its worker, on links that nothing disturbs.
	drainMargin = 300 * time.Millisecond
	// retryAfterDrained is the advice to callers where zones are drained: only an operator
	// changes that, so nobody needs to come back as soon as after a failure. Chosen, not
	// measured.
	retryAfterDrained = time.Second
	// handoverPart of ZoneDrain is the time in which a zone's work is handed over.
	handoverPart = 0.4
)

// WithDrainedZones returns the state of a host that has learned which zones are drained.
func (s State) WithDrainedZones(d zones.Drained) State {
	from := s.confirmed.AsOf.Add(s.settings.ZoneDrain - drainMargin)
	for _, o := range d.OrdersSince(s.drained.Revision) {
		s.drainedFrom = s.drainedFrom.Without(o.Zone)
		if o.Drained && !s.confirmed.IsZero() {
			s.drainedFrom = s.drainedFrom.With(o.Zone, from)
		}
	}
	s.drained = d
	return s
}

// ZoneDrain is the time after an order's acknowledgement in which a zone is drained.
func (s State) ZoneDrain() time.Duration { return s.settings.ZoneDrain }

// closed tells whether nothing at all is sent to a zone any more.
func (t *transition) closed(zone ident.Zone) bool {
	if !t.drained.IsDrained(zone) {
		return false
	}
	from, _ := t.drainedFrom.Get(zone)
	return !t.now.Before(from)
}

// isHandedOver tells whether a call goes elsewhere, where it can, than to a zone that is being
// drained.
func (t *transition) isHandedOver(c call, zone ident.Zone) bool {
	from, known := t.drainedFrom.Get(zone)
	if !known {
		return true
	}
	elapsed := t.now.Sub(from.Add(drainMargin - t.settings.ZoneDrain))
	return c.drawn() < elapsed.Seconds()/(handoverPart*t.settings.ZoneDrain.Seconds())
}

// withDraining adds workers of zones that are being drained where the others are missing or
// have no slot left.
func withDraining(others, draining []candidate) []candidate {
	for _, w := range others {
		if w.load < w.slots {
			return others
		}
	}
	return append(others, draining...)
}

// onlyDrained tells whether a call that has not been sent has workers only in drained zones.
func (t *transition) onlyDrained(c call) bool {
	if c.attempt > 0 || t.drained.Revision == 0 {
		return false
	}
	for _, w := range t.workers.All() {
		if w.Pool == c.pool.ID && w.State == registry.Ready && t.drained.IsDrained(w.Zone) {
			return true
		}
	}
	return false
}
