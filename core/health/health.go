// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package health joins what a host knows of a target into one belief: its own results, the
// target's reports, signs of leaving and the platform's lagging list. It owns no state but
// the values that its callers keep, and relies on nothing.
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

// A target gets no new work while it is ejected or leaving. It is ejected after maxFailures
// failures in a row, for ejectBase, doubled with each further failure up to ejectMax; one
// that cannot be connected to is ejected at once, for a shorter time; a good answer ends
// both. It is leaving while it says so itself, while another host reports that it said so,
// or while the platform's list says so. An absence from the list counts only where there is
// no recent good answer, as the list lags.
//
// Inputs: results of attempts, load reports, the list, and the present time. Measured on
// nine simulated days without dead targets: ejection changes nothing there; it stays for
// those that die.
const (
	// maxFailures, ejectBase and ejectMax are chosen, not measured.
	maxFailures = 3
	ejectBase   = time.Second
	ejectMax    = 30 * time.Second
	// unreachableBase and unreachableMax are the same for a target that cannot be
	// connected to. Chosen, not measured.
	unreachableBase = 500 * time.Millisecond
	unreachableMax  = 4 * time.Second
	// goodAnswerLifetime is how long a good answer outweighs an absence from the list:
	// five readings of it.
	goodAnswerLifetime = 10 * time.Second
	// lostAfter is how long a target fails before it counts as gone for good. Chosen,
	// not measured.
	lostAfter = time.Minute
	// leavingLifetime is how long a target's report that it is leaving counts without
	// being renewed. Chosen, not measured.
	leavingLifetime = 30 * time.Second
	// reportedLeavingLifetime is the same for another host's report, which that host
	// repeats with each heartbeat of one second.
	reportedLeavingLifetime = 5 * time.Second
)

// Target is the health of one target. It is immutable.
type Target struct {
	Failures     int
	EjectedUntil time.Time
	LastGood     time.Time
	// FailingSince is the first of the present row of failures.
	FailingSince time.Time
	// LeavingUntil is how long the target's own report that it is leaving counts; a later
	// report that says otherwise ends it. The JSON names are those of state dumps.
	LeavingUntil time.Time `json:"SignUntil"`
	// LeavingReportedUntil is the same by another host's report. It is not passed on.
	LeavingReportedUntil time.Time `json:"HeardUntil"`
	Listing              Listing
	// ReportSeq is the number of the newest load report.
	ReportSeq uint64
	// Boot is the start of the target as reported; a new one clears signs.
	Boot uint64
	// BackoffUntil is the end of the backoff that the target requested of this host.
	BackoffUntil time.Time
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

// PresumedDead tells whether the target failed for so long that it is taken for gone.
func (t Target) PresumedDead(now time.Time) bool {
	return t.Failures >= maxFailures && now.Sub(t.FailingSince) >= lostAfter
}

// IsResponding tells whether the target's last sign of life is good and recent.
func (t Target) IsResponding(now time.Time) bool {
	return t.Failures == 0 && !t.LastGood.IsZero() && now.Sub(t.LastGood) < goodAnswerLifetime
}

// IsLeaving tells whether the target or the platform says that it is stopping.
func (t Target) IsLeaving(now time.Time) bool {
	return t.Listing == Leaving || t.ReportsLeaving(now) || now.Before(t.LeavingReportedUntil)
}

// ReportsLeaving tells whether the target itself reported to this host that it is leaving.
func (t Target) ReportsLeaving(now time.Time) bool { return now.Before(t.LeavingUntil) }

// RemainingBackoff is what is left of the target's backoff. It concerns this host alone, so that it does
// not make the target unusable.
func (t Target) RemainingBackoff(now time.Time) time.Duration { return max(0, t.BackoffUntil.Sub(now)) }

// WithBackoff records that the target requested a backoff.
func (t Target) WithBackoff(d time.Duration, now time.Time) Target {
	if until := now.Add(d); until.After(t.BackoffUntil) {
		t.BackoffUntil = until
	}
	return t
}

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

// WithLeaving records the target's own report on whether it is leaving.
func (t Target) WithLeaving(leaving bool, now time.Time) Target {
	if leaving {
		t.LeavingUntil = now.Add(leavingLifetime)
		return t
	}
	t.LeavingUntil, t.LeavingReportedUntil = time.Time{}, time.Time{}
	return t
}

// WithLeavingFromPeer records another host's report that the target is leaving.
func (t Target) WithLeavingFromPeer(now time.Time) Target {
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
