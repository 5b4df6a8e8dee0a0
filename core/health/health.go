// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package health joins what a host knows of a target into one verdict: its own
// results, the target's reports, signs of leaving and the platform's lagging
// list.
//
// # Usage
//
//	t := health.Target{}
//	t = t.WithResult(false, now)
//	if t.Usable(now) { ... }
//
// The zero value is a target of which nothing is known; it is usable.
package health

import "time"

// Listing is what the platform's list says of a target.
type Listing uint8

// Listings.
const (
	Unlisted Listing = iota
	Live
	Leaving
	Absent
)

const (
	// maxFailures in a row eject a target.
	maxFailures = 3
	// ejectBase doubles with each further failure up to ejectMax.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// unreachableBase and unreachableMax are the same for a target that cannot be
	// connected to.
	unreachableBase = 500 * time.Millisecond
	unreachableMax  = 4 * time.Second
	// goodAnswerLifetime is how long a good answer outweighs an absence from the list.
	goodAnswerLifetime = 10 * time.Second
	// lostAfter is how long a target fails before it counts as gone for good.
	lostAfter = time.Minute
	// leavingLifetime is how long a sign of leaving counts without being renewed.
	leavingLifetime = 30 * time.Second
	// reportedLeavingLifetime is the same for one heard from another host, which repeats it
	// with each heartbeat.
	reportedLeavingLifetime = 5 * time.Second
)

// Target is the health of one target. It is immutable.
type Target struct {
	Failures     int
	EjectedUntil time.Time
	LastGood     time.Time
	// FailingSince is the first of the present row of failures.
	FailingSince time.Time
	// LeavingUntil is how long the target's own word that it is leaving counts;
	// a later report that says otherwise ends it.
	LeavingUntil time.Time `json:"SignUntil"`
	// LeavingReportedUntil is the same by word of another host. It is not passed on.
	LeavingReportedUntil time.Time `json:"HeardUntil"`
	Listing              Listing
	// ReportSeq is the number of the newest load report.
	ReportSeq uint64
	// Boot is the start of the target as reported; a new one clears signs.
	Boot uint64
}

// Usable tells whether new work may be sent at now.
func (t Target) Usable(now time.Time) bool {
	if t.IsLeaving(now) || now.Before(t.EjectedUntil) {
		return false
	}
	if t.Listing == Absent {
		return !t.LastGood.IsZero() && now.Sub(t.LastGood) < goodAnswerLifetime
	}
	return true
}

// Lost tells whether the target failed for so long that it is taken for gone.
func (t Target) Lost(now time.Time) bool {
	return t.Failures >= maxFailures && now.Sub(t.FailingSince) >= lostAfter
}

// Answers tells whether the target's last sign of life is good and recent.
func (t Target) Answers(now time.Time) bool {
	return t.Failures == 0 && !t.LastGood.IsZero() && now.Sub(t.LastGood) < goodAnswerLifetime
}

// IsLeaving tells whether the target or the platform says that it is stopping.
func (t Target) IsLeaving(now time.Time) bool {
	return t.Listing == Leaving || t.SaysLeaving(now) || now.Before(t.LeavingReportedUntil)
}

// SaysLeaving tells whether the target itself told this host that it is leaving.
func (t Target) SaysLeaving(now time.Time) bool { return now.Before(t.LeavingUntil) }

// Ejected tells whether failures alone keep new work away.
func (t Target) Ejected(now time.Time) bool { return !t.IsLeaving(now) && now.Before(t.EjectedUntil) }

// WithResult counts one answer or failure.
func (t Target) WithResult(good bool, now time.Time) Target {
	if good {
		t.Failures = 0
		t.EjectedUntil = time.Time{}
		t.LastGood = now
		return t
	}
	if t.Failures == 0 {
		t.FailingSince = now
	}
	t.Failures++
	if t.Failures >= maxFailures {
		t.EjectedUntil = now.Add(min(ejectBase<<min(t.Failures-maxFailures, maxShift), ejectMax))
	}
	return t
}

// WithUnreachable records that the target could not be connected to: a sign
// strong enough to eject it at once, for a short time that doubles.
func (t Target) WithUnreachable(now time.Time) Target {
	if t.Failures == 0 {
		t.FailingSince = now
	}
	t.Failures++
	t.EjectedUntil = now.Add(min(unreachableBase<<min(t.Failures-1, maxShift), unreachableMax))
	return t
}

// maxShift keeps the doubling within range.
const maxShift = 10

// WithLeaving records the target's own word on whether it is leaving.
func (t Target) WithLeaving(leaving bool, now time.Time) Target {
	if leaving {
		t.LeavingUntil = now.Add(leavingLifetime)
		return t
	}
	t.LeavingUntil, t.LeavingReportedUntil = time.Time{}, time.Time{}
	return t
}

// WithReportedLeaving records another host's word that the target is leaving.
func (t Target) WithReportedLeaving(now time.Time) Target {
	t.LeavingReportedUntil = now.Add(reportedLeavingLifetime)
	return t
}

// WithListing records what the platform's list says.
func (t Target) WithListing(l Listing) Target {
	t.Listing = l
	return t
}

// WithReport takes a load report; old and doubled ones are ignored, and false
// is returned.
func (t Target) WithReport(boot, seq uint64, leaving bool, now time.Time) (Target, bool) {
	if boot < t.Boot || (boot == t.Boot && seq <= t.ReportSeq) {
		return t, false
	}
	t.Boot, t.ReportSeq = boot, seq
	return t.WithLeaving(leaving, now).WithResult(true, now), true
}
