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

// A zone that is cut off takes all its workers with it. Found out worker by worker,
// each would cost some request the time of a connection that nobody answers. So a few
// workers of a zone in a row at which nobody answered, with nothing heard from the
// zone in between, keep all requests from the zone; connections without a request
// find out when it is back. The own zone is never given up like this.
const (
	// enoughMisses workers of one zone are enough to leave it, or of several zones to
	// leave all others. Fewer workers of a zone than that may well have died alone.
	enoughMisses = 3
	// missLife is how long misses count together.
	missLife = 2 * time.Second
	// probeInterval is the time between two connections to a zone that is kept from.
	probeInterval = 400 * time.Millisecond
)

// miss is a worker at which nobody answered.
type miss struct {
	worker ident.Target
	zone   ident.Zone
}

// reach is what connections to some workers showed of late. The zero value shows
// nothing. Its slice is never changed in place.
type reach struct {
	misses []miss
	// since is when the first of them was, probeAt when the next connection without
	// a request is due.
	since   time.Time
	probeAt time.Time
}

// withMiss adds a worker, unless it stands there already.
func (r reach) withMiss(m miss, now time.Time) reach {
	if len(r.misses) < enoughMisses && now.Sub(r.since) > missLife {
		r = reach{since: now}
	}
	if slices.Contains(r.misses, m) || len(r.misses) >= enoughMisses {
		return r
	}
	r.misses = append(slices.Clone(r.misses), m)
	r.probeAt = now.Add(probeInterval)
	return r
}

// zoneCut tells whether the zone of the misses is kept from.
func (r reach) zoneCut() bool { return len(r.misses) >= enoughMisses }

// abroadCut tells the same of all other zones: several of them are missed.
func (r reach) abroadCut() bool {
	first := func(m miss) bool { return m.zone != r.misses[0].zone }
	return len(r.misses) >= enoughMisses && slices.ContainsFunc(r.misses, first)
}

// reaches tells whether requests may be sent to the workers of a zone.
func (t *turn) reaches(zone ident.Zone) bool {
	if zone == t.settings.Zone {
		return true
	}
	r, _ := t.zones.Get(zone)
	return !r.zoneCut() && !t.abroad.abroadCut()
}

// missed counts a worker at which nobody answered.
func (t *turn) missed(w worker) {
	if w.Zone == t.settings.Zone {
		return
	}
	before := t.reaches(w.Zone)
	m := miss{worker: w.ID, zone: w.Zone}
	r, _ := t.zones.Get(w.Zone)
	t.zones = t.zones.With(w.Zone, r.withMiss(m, t.now))
	t.abroad = t.abroad.withMiss(m, t.now)
	if before && !t.reaches(w.Zone) {
		t.out = append(t.out, ZoneBelieved{Zone: w.Zone, Others: t.abroad.abroadCut(), Missed: w.ID})
	}
}

// heardFrom forgets the misses of a zone from which something came. Its workers may
// be tried again at once.
func (t *turn) heardFrom(zone ident.Zone) {
	if zone == t.settings.Zone {
		return
	}
	cut := !t.reaches(zone)
	t.zones = t.zones.Without(zone)
	t.abroad = reach{}
	if !cut {
		return
	}
	t.out = append(t.out, ZoneBelieved{Zone: zone, Reached: true})
	for id, w := range t.workers.All() {
		if w.Zone == zone && w.health.Ejected(t.now) {
			w.health = health.Target{}
			t.workers = t.workers.With(id, w)
		}
	}
}

// probeZones asks for a connection to each zone that is kept from, now and then.
func (t *turn) probeZones(r Request) {
	for zone, held := range t.zones.All() {
		if held.zoneCut() && !t.now.Before(held.probeAt) {
			held.probeAt = t.now.Add(probeInterval)
			t.zones = t.zones.With(zone, held)
			t.reconnect(r, func(w worker) bool { return w.Zone == zone })
		}
	}
	if t.abroad.abroadCut() && !t.now.Before(t.abroad.probeAt) {
		t.abroad.probeAt = t.now.Add(probeInterval)
		t.reconnect(r, func(w worker) bool { return w.Zone != t.settings.Zone })
	}
}

// reconnect asks for a connection to one of the workers that fit, another one for
// each request.
func (t *turn) reconnect(r Request, fits func(worker) bool) {
	var best registry.Worker
	top := uint64(0)
	for _, w := range t.workers.All() {
		if w.State != registry.Ready || w.replaced || !fits(w) {
			continue
		}
		if score := hash.Mix(requestKey(r.ID), w.key); best.ID == "" || score > top {
			best, top = w.Worker, score
		}
	}
	if best.ID != "" {
		t.out = append(t.out, Reconnect{Worker: best})
	}
}
