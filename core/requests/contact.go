// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
)

// A host has lost contact with the workers once connections to contactThreshold of them have failed
// within contactWindow, with no connection to any worker in between, and one of them is in its own zone:
// a partition between zones leaves its own one in contact. If the host's zone has no workers, those that failed must be in
// several zones. If the connections timed out, a response over an open connection shows contact too;
// where they are refused, open connections may live on while new ones fail.
//
// Requests alone fail slowly and at the same few workers, so a host finds out by probes, connections
// without a request: to probedWorkers that have not failed, the host's zone first, once as many have
// failed, or once the host has had no response for silenceFactor times the expected time, at least
// minSilence, while a request waits for one. It does not probe while workers of its own zone respond. A
// host that is cut off from a part of the workers thus finds another one. A host without contact probes
// one worker per probeInterval and regains contact with the first connection.
//
// Inputs: connections and responses by worker, and the times of requests in progress.
const (
	contactThreshold = 4
	// contactWindow is more than a request and two rounds of probes take to time out.
	contactWindow = 5 * time.Second
	probedWorkers = 2
	silenceFactor = 2
	// minSilence is less than a time-out of a connection, and far more than a sound host goes
	// without any response while requests wait.
	minSilence = 400 * time.Millisecond
)

// contact is a host's contact with all workers. The zero value is in contact. Its slice is never
// modified in place.
type contact struct {
	// failed are the workers that could not be connected to since a connection was last
	// established, the first of them at firstFailedAt; timedOut is set if one of these connections
	// timed out.
	failed        []failedWorker
	firstFailedAt time.Time
	timedOut      bool
	lost          bool
	// respondedAt is when a worker last responded, zoneRespondedAt one of the host's zone; nextProbeAt
	// is when the next probe is due.
	respondedAt     time.Time
	zoneRespondedAt time.Time
	nextProbeAt     time.Time
}

// recordContactFailure counts a worker that could not be connected to.
func (t *transition) recordContactFailure(w worker, timedOut bool) {
	f := failedWorker{worker: w.ID, zone: w.Zone}
	if !t.contact.lost && t.now.Sub(t.contact.firstFailedAt) > contactWindow {
		t.contact.failed, t.contact.firstFailedAt, t.contact.timedOut = nil, t.now, false
	}
	if t.contact.lost || slices.Contains(t.contact.failed, f) {
		return
	}
	t.dropRefusalsOfOthers(w.ID)
	t.contact.failed = append(slices.Clone(t.contact.failed), f)
	t.contact.timedOut = t.contact.timedOut || timedOut
	if len(t.contact.failed) < min(contactThreshold, t.readyWorkers()) || !t.coversOwnZone(t.contact.failed) {
		if len(t.contact.failed)%probedWorkers == 0 && t.now.Sub(t.contact.zoneRespondedAt) >= minSilence {
			t.probeWorkers(probedWorkers)
		}
		return
	}
	t.contact.lost = true
	// The attempts that the cut interrupted are no crashes, whatever becomes of their workers.
	t.refusals, t.crashObserver = nil, t.crashObserver.WithoutSuspects()
	t.counters.ContactsLost++
	t.reinstate()
	t.probeWorkers(1)
	t.out = append(t.out, ContactChanged{LastFailed: w.ID, TimedOut: t.contact.timedOut})
}

// readyWorkers returns the number of workers that are registered as ready, at least 1.
func (t *transition) readyWorkers() int {
	n := 0
	for _, w := range t.workers.All() {
		if w.State == registry.Ready && !w.addressTaken() {
			n++
		}
	}
	return max(1, n)
}

// coversOwnZone reports whether a worker of the host's zone has failed or, if there is none, workers
// of several zones.
func (t *transition) coversOwnZone(failed []failedWorker) bool {
	if slices.ContainsFunc(failed, func(f failedWorker) bool { return f.zone == t.settings.Zone }) {
		return true
	}
	several := false
	for _, w := range t.workers.All() {
		if w.State == registry.Ready && w.Zone == t.settings.Zone {
			return false
		}
		several = several || w.State == registry.Ready && w.Zone != failed[0].zone
	}
	return !several || slices.ContainsFunc(failed, func(f failedWorker) bool { return f.zone != failed[0].zone })
}

// recordConnected records a connection to a worker.
func (t *transition) recordConnected(id ident.Target) {
	t.confirmRefusals(id)
	wasLost := t.contact.lost
	t.contact.failed, t.contact.timedOut, t.contact.lost = nil, false, false
	if wasLost {
		t.out = append(t.out, ContactChanged{Found: true, Reached: id})
	}
}

// recordResponse records a response of a worker over a connection of this host.
func (t *transition) recordResponse(id ident.Target, newlyConnected bool) {
	if newlyConnected || t.contact.timedOut {
		t.recordConnected(id)
	}
	t.contact.respondedAt = t.now
	if w, ok := t.workers.Get(id); ok && w.Zone == t.settings.Zone {
		t.contact.zoneRespondedAt = t.now
	}
}

// recordContact records what the result of an attempt, sent by this host itself, shows of its
// contact with the worker's zone and with all workers.
func (t *transition) recordContact(w worker, a outcome.Attempt) {
	if isSilent(a) {
		t.recordZoneFailure(w)
	} else if isWorkerResponse(a) {
		t.recordZoneResponse(w.Zone)
		t.recordResponse(w.ID, false)
	}
	if n, ok := a.(outcome.NeverSent); ok && (n.ConnectTimedOut || n.ConnectRefused) {
		t.recordContactFailure(w, n.ConnectTimedOut)
	}
}

// reinstate ends the ejections of all workers: a host without contact has ejected them for its own
// failures, and reaches them through others.
func (t *transition) reinstate() {
	for id, w := range t.workers.All() {
		if w.health.Ejected(t.now) {
			next := w
			next.health = health.Target{}
			t.workers = t.workers.With(id, next)
		}
	}
}

// probeContact requests probes if the host has lost contact, or has had no response for too long.
func (t *transition) probeContact() {
	if t.now.Before(t.contact.nextProbeAt) {
		return
	}
	switch {
	case t.contact.lost:
		t.probeWorkers(1)
	case t.isSilent():
		t.probeWorkers(probedWorkers)
	}
}

// isSilent reports whether a request has waited for too long without any response from a worker.
func (t *transition) isSilent() bool {
	for _, c := range t.calls.All() {
		if c.pausing || c.sentAt.IsZero() || t.contact.respondedAt.After(c.sentAt) {
			continue
		}
		if t.now.Sub(c.sentAt) >= max(minSilence, silenceFactor*t.expectedHeaderTime(c)) {
			return true
		}
	}
	return false
}

// probeWorkers requests connections to n workers, first to those that have not failed and to those of
// the host's zone.
func (t *transition) probeWorkers(n int) {
	t.contact.nextProbeAt = t.now.Add(probeInterval)
	ready := t.probeOrder()
	for _, w := range ready[:min(n, len(ready))] {
		t.out = append(t.out, ProbeConnection{Worker: w.Worker})
	}
}

// probeAnotherWorker requests a connection to a worker other than the given one.
func (t *transition) probeAnotherWorker(id ident.Target) {
	for _, w := range t.probeOrder() {
		if w.ID != id {
			t.out = append(t.out, ProbeConnection{Worker: w.Worker})
			return
		}
	}
}

// probeOrder returns the ready workers, those that have not failed and those of the host's zone first.
func (t *transition) probeOrder() []worker {
	key := hash.Of(string(t.settings.Host), t.now.String())
	var ready []worker
	for _, w := range t.workers.All() {
		if w.State == registry.Ready && !w.addressTaken() {
			ready = append(ready, w)
		}
	}
	rank := func(w worker) int {
		r := 0
		if slices.Contains(t.contact.failed, failedWorker{worker: w.ID, zone: w.Zone}) {
			r += 2
		}
		if w.Zone != t.settings.Zone {
			r++
		}
		return r
	}
	slices.SortFunc(ready, func(a, b worker) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(hash.Mix(key, a.key), hash.Mix(key, b.key)))
	})
	return ready
}
