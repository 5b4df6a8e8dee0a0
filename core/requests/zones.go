// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// Another zone is unreachable once failuresToLeave of its workers in a row were silent,
// within failuresWindow and with no answer from the zone in between; all other zones are,
// once as many workers of several of them were. No request is sent to an unreachable zone.
// Connections without a request, one each probeInterval, find out when it is back; its
// ejected workers may then be tried at once. The host's own zone always counts as
// reachable.
//
// Inputs: connection attempts and requests that ended in silence or in an answer, by
// worker and zone. Measured: found out worker by worker, a zone of 105 workers that was
// cut off failed 396 requests in six seconds, and 237 with this rule.
const (
	// failuresToLeave workers: with two, four dead ones of thirty took their whole zone
	// out in a test.
	failuresToLeave = 3
	// failuresWindow is how long failures count together. Chosen, not measured: some
	// connection attempts last 0.4 s each.
	failuresWindow = 2 * time.Second
	// probeInterval is the time between two probes of a zone: that of one connection
	// attempt.
	probeInterval = 400 * time.Millisecond
)

// connectFailure is a worker from which nothing came.
type connectFailure struct {
	worker ident.Target
	zone   ident.Zone
}

// reachability is what recent connections to some workers showed. The zero value shows
// nothing. Its slice is never changed in place.
type reachability struct {
	failures []connectFailure
	// firstAt is when the first of them was, probeAt when the next probe is due.
	firstAt time.Time
	probeAt time.Time
}

// withFailure adds a worker, unless it stands there already.
func (r reachability) withFailure(f connectFailure, now time.Time) reachability {
	if len(r.failures) < failuresToLeave && now.Sub(r.firstAt) > failuresWindow {
		r = reachability{firstAt: now}
	}
	if slices.Contains(r.failures, f) || len(r.failures) >= failuresToLeave {
		return r
	}
	r.failures = append(slices.Clone(r.failures), f)
	r.probeAt = now.Add(probeInterval)
	return r
}

// unreachable tells whether the zone of the failures is.
func (r reachability) unreachable() bool { return len(r.failures) >= failuresToLeave }

// severalUnreachable tells whether the failures are of several zones, so that all are
// taken to be unreachable.
func (r reachability) severalUnreachable() bool {
	ofAnother := func(f connectFailure) bool { return f.zone != r.failures[0].zone }
	return r.unreachable() && slices.ContainsFunc(r.failures, ofAnother)
}

// reachable tells whether requests may be sent to the workers of a zone.
func (t *transition) reachable(zone ident.Zone) bool {
	if zone == t.settings.Zone {
		return true
	}
	r, _ := t.zones.Get(zone)
	return !r.unreachable() && !t.remoteZones.severalUnreachable()
}

// connectFailed counts a worker from which nothing came.
func (t *transition) connectFailed(w worker) {
	if w.Zone == t.settings.Zone {
		return
	}
	before := t.reachable(w.Zone)
	f := connectFailure{worker: w.ID, zone: w.Zone}
	r, _ := t.zones.Get(w.Zone)
	t.zones = t.zones.With(w.Zone, r.withFailure(f, t.now))
	t.remoteZones = t.remoteZones.withFailure(f, t.now)
	if before && !t.reachable(w.Zone) {
		t.out = append(t.out, ZoneChanged{
			Zone: w.Zone, AllOthers: t.remoteZones.severalUnreachable(), LastFailed: w.ID,
		})
	}
}

// zoneAnswered forgets the failures of a zone from which something came, and the
// ejections of its workers.
func (t *transition) zoneAnswered(zone ident.Zone) {
	if zone == t.settings.Zone {
		return
	}
	before := t.reachable(zone)
	t.zones = t.zones.Without(zone)
	t.remoteZones = reachability{}
	if before {
		return
	}
	t.out = append(t.out, ZoneChanged{Zone: zone, Reachable: true})
	for id, w := range t.workers.All() {
		if w.Zone == zone && w.health.Ejected(t.now) {
			w.health = health.Target{}
			t.workers = t.workers.With(id, w)
		}
	}
}

// probeZones asks for a connection to each unreachable zone, once in probeInterval.
func (t *transition) probeZones(r Request) {
	for zone, held := range t.zones.All() {
		if held.unreachable() && !t.now.Before(held.probeAt) {
			held.probeAt = t.now.Add(probeInterval)
			t.zones = t.zones.With(zone, held)
			t.probe(r, func(w worker) bool { return w.Zone == zone })
		}
	}
	if t.remoteZones.severalUnreachable() && !t.now.Before(t.remoteZones.probeAt) {
		t.remoteZones.probeAt = t.now.Add(probeInterval)
		t.probe(r, func(w worker) bool { return w.Zone != t.settings.Zone })
	}
}

// probe asks for a connection to one of the workers that fit, another one for each
// request.
func (t *transition) probe(r Request, fits func(worker) bool) {
	var best registry.Worker
	top := uint64(0)
	for _, w := range t.workers.All() {
		if w.State != registry.Ready || w.succeeded() || !fits(w) {
			continue
		}
		if score := hash.Mix(requestKey(r.ID), w.key); best.ID == "" || score > top {
			best, top = w.Worker, score
		}
	}
	if best.ID != "" {
		t.out = append(t.out, ProbeConnection{Worker: best})
	}
}

// probeEnded takes what came of a probe.
func (t *transition) probeEnded(ev ProbeEnded) {
	w, ok := t.workers.Get(ev.Worker)
	switch {
	case ok && ev.OK:
		t.zoneAnswered(w.Zone)
	case ev.Refused:
		t.connectionRefused(ev.Worker)
	}
}
