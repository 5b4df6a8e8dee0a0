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

// Another zone becomes unreachable once unreachableThreshold of its workers have failed to
// respond within failureWindow, without any response from the zone in between. All other zones
// become unreachable together once that many workers in several of them have failed, without a
// response from any of the other zones in between. No request is sent to an unreachable zone.
// Connections without a request, one per probeInterval, detect when it is reachable again; its
// ejected workers are then reinstated at once. The host's own zone always counts as reachable.
// Without this rule a partitioned zone of 105 workers failed 396 requests in six seconds, with it 237.
//
// In a fleet of hundreds of hosts, each has too few requests to find out by itself while a partition
// lasts. A zone whose replicas have all stopped replying to this host's hub is therefore unreachable
// too, unless one of its workers has responded to this host within responseLifetime: a partition may
// separate replicas only.
//
// A host that reaches no worker of any zone sends its requests through other hosts (tunnels.go).
//
// Inputs: connection attempts and requests that timed out or were answered, by worker and zone; the
// zones whose replicas do not reply.
const (
	// unreachableThreshold is a number of workers; with fewer, a few dead workers would make
	// their whole zone unreachable: with two, four dead ones of thirty did.
	unreachableThreshold = 3
	// failureWindow is the time within which failures count together; a connection attempt may
	// take 0.4 s.
	failureWindow = 2 * time.Second
	// probeInterval is the time between two probes of a zone: the timeout of one connection
	// attempt.
	probeInterval = 400 * time.Millisecond
	// responseLifetime is how long a response from a zone outweighs the silence of its replicas.
	responseLifetime = 2 * time.Second
)

// failedWorker is a worker that did not respond in time.
type failedWorker struct {
	worker ident.Target
	zone   ident.Zone
}

// reachability holds the workers that recently failed to respond. The zero value has none. Its
// slice is never modified in place.
type reachability struct {
	failures []failedWorker
	// firstFailureAt is when the first of them failed; nextProbeAt is when the next probe is due.
	firstFailureAt time.Time
	nextProbeAt    time.Time
	// silent is set if the zone's replicas do not reply.
	silent bool
}

// withFailure returns r with a worker added, unless it is already included.
func (r reachability) withFailure(f failedWorker, now time.Time) reachability {
	if len(r.failures) < unreachableThreshold && now.Sub(r.firstFailureAt) > failureWindow {
		r = reachability{firstFailureAt: now, nextProbeAt: r.nextProbeAt, silent: r.silent}
	}
	if slices.Contains(r.failures, f) || len(r.failures) >= unreachableThreshold {
		return r
	}
	r.failures = append(slices.Clone(r.failures), f)
	r.nextProbeAt = now.Add(probeInterval)
	return r
}

// hasFailed reports whether enough workers have failed for the zone to be unreachable.
func (r reachability) hasFailed() bool { return len(r.failures) >= unreachableThreshold }

// isUnreachable reports whether the zone is unreachable.
func (r reachability) isUnreachable() bool { return r.silent || r.hasFailed() }

// spansZones reports whether enough workers of several zones have failed for all other zones to
// be unreachable.
func (r reachability) spansZones() bool {
	ofAnother := func(f failedWorker) bool { return f.zone != r.failures[0].zone }
	return r.hasFailed() && slices.ContainsFunc(r.failures, ofAnother)
}

// isZoneReachable reports whether requests may be sent to the workers of a zone.
func (t *transition) isZoneReachable(zone ident.Zone) bool {
	if zone == t.settings.Zone {
		return true
	}
	r, _ := t.reachabilityByZone.Get(zone)
	if !t.HasContact() {
		// Other hosts may reach zones that this one does not.
		return !r.silent
	}
	return !r.isUnreachable() && !t.otherZones.spansZones()
}

// recordZoneFailure counts a worker that did not respond against its zone.
func (t *transition) recordZoneFailure(w worker) {
	if w.Zone == t.settings.Zone {
		return
	}
	before := t.isZoneReachable(w.Zone)
	f := failedWorker{worker: w.ID, zone: w.Zone}
	r, _ := t.reachabilityByZone.Get(w.Zone)
	t.reachabilityByZone = t.reachabilityByZone.With(w.Zone, r.withFailure(f, t.now))
	t.otherZones = t.otherZones.withFailure(f, t.now)
	if before && !t.isZoneReachable(w.Zone) {
		t.out = append(t.out, ZoneChanged{
			Zone: w.Zone, AllOthers: t.otherZones.spansZones(), LastFailed: w.ID,
		})
	}
}

// recordZoneResponse clears the failures of a zone that responded. If it was unreachable, it also
// reinstates the zone's ejected workers.
func (t *transition) recordZoneResponse(zone ident.Zone) {
	if zone == t.settings.Zone {
		return
	}
	before := t.isZoneReachable(zone)
	t.zoneRespondedAt = t.zoneRespondedAt.With(zone, t.now)
	t.reachabilityByZone = t.reachabilityByZone.Without(zone)
	t.otherZones = reachability{}
	if before {
		return
	}
	t.out = append(t.out, ZoneChanged{Zone: zone, Reachable: true})
	for id, w := range t.workers.All() {
		if w.Zone == zone && w.health.Ejected(t.now) {
			next := w
			next.health = health.Target{}
			t.workers = t.workers.With(id, next)
		}
	}
}

// handleSilentZones records the zones whose replicas do not reply.
func (t *transition) handleSilentZones(silent []ident.Zone) {
	for zone, r := range t.reachabilityByZone.All() {
		if r.silent && !slices.Contains(silent, zone) {
			r.silent = false
			t.reachabilityByZone = t.reachabilityByZone.With(zone, r)
			t.logZoneChange(zone, false)
		}
	}
	for _, zone := range silent {
		respondedAt, _ := t.zoneRespondedAt.Get(zone)
		r, _ := t.reachabilityByZone.Get(zone)
		if r.silent || zone == t.settings.Zone || t.now.Sub(respondedAt) < responseLifetime {
			continue
		}
		before := t.isZoneReachable(zone)
		r.silent, r.nextProbeAt = true, t.now
		t.reachabilityByZone = t.reachabilityByZone.With(zone, r)
		t.logZoneChange(zone, before)
	}
}

// logZoneChange emits a ZoneChanged if a zone is no longer as reachable as before.
func (t *transition) logZoneChange(zone ident.Zone, before bool) {
	if after := t.isZoneReachable(zone); after != before {
		t.out = append(t.out, ZoneChanged{Zone: zone, Reachable: after})
	}
}

// probeZones requests a connection to each unreachable zone, one per probeInterval.
func (t *transition) probeZones(r Request) {
	for zone, current := range t.reachabilityByZone.All() {
		if current.isUnreachable() && !t.now.Before(current.nextProbeAt) {
			current.nextProbeAt = t.now.Add(probeInterval)
			t.reachabilityByZone = t.reachabilityByZone.With(zone, current)
			t.probeOne(r, func(w *worker) bool { return w.Zone == zone })
		}
	}
	if t.otherZones.spansZones() && !t.now.Before(t.otherZones.nextProbeAt) {
		t.otherZones.nextProbeAt = t.now.Add(probeInterval)
		t.probeOne(r, func(w *worker) bool { return w.Zone != t.settings.Zone })
	}
}

// probeOne requests a connection to one of the workers that fit, drawn by the request's id.
func (t *transition) probeOne(r Request, fits func(*worker) bool) {
	var best registry.Worker
	bestScore := uint64(0)
	for _, w := range t.workers.All() {
		if w.State != registry.Ready || w.addressTaken() || !fits(&w) {
			continue
		}
		if score := hash.Mix(requestKey(r.ID), w.key); best.ID == "" || score > bestScore {
			best, bestScore = w.Worker, score
		}
	}
	if best.ID != "" {
		t.out = append(t.out, ProbeConnection{Worker: best})
	}
}

// handleProbeEnded applies the result of a probe.
func (t *transition) handleProbeEnded(ev ProbeEnded) {
	w, ok := t.workers.Get(ev.Worker)
	switch {
	case ev.OK:
		t.recordConnected(ev.Worker)
	case ok && (ev.Refused || ev.TimedOut):
		t.recordContactFailure(w, ev.TimedOut)
	}
	switch {
	case ok && ev.OK:
		t.recordZoneResponse(w.Zone)
	case ev.Refused:
		t.recordConnectionRefused(ev.Worker, false)
	}
}
