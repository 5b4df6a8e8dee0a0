// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package health derives whether a target may get new work from what a host knows of it: results
// of its own attempts, the target's load reports, other hosts' reports that the target is
// leaving, and the platform's target list, which may lag. Callers store the values; the package
// keeps no state.
//
// # Usage
//
//	t := health.Target{}
//	t = t.WithResult(false, now)
//	if t.Usable(now) { ... }
//
// The zero value is a target of which nothing is known yet; it is usable.
package health

import "time"

// Listing is a target's state in the platform's list.
type Listing uint8

// States in the platform's list; Unlisted means that the list has not been read yet.
const (
	Unlisted Listing = iota
	Live
	Leaving
	Absent
)

// A target gets no new work while it is ejected or leaving. It is ejected after failuresToEject
// consecutive failures, for ejectBase, doubled with each further failure up to ejectMax. A target
// that cannot be connected to is ejected at once, for a shorter time. A good answer ends either
// ejection. A target is leaving while it reports so itself, while another host forwards such a
// report, or while the platform's list says so. Absence from the list counts only without a
// recent good answer, as the list lags.
const (
	failuresToEject = 3
	ejectBase       = time.Second
	ejectMax        = 30 * time.Second
	// unreachableEjectBase and unreachableEjectMax apply to a target that cannot be connected to.
	unreachableEjectBase = 500 * time.Millisecond
	unreachableEjectMax  = 4 * time.Second
	// successLifetime is how long a good answer outweighs absence from the list: five refreshes
	// of the list.
	successLifetime = 10 * time.Second
	// presumedDeadAfter is how long a target must keep failing to be presumed dead.
	presumedDeadAfter = time.Minute
	// leavingLifetime is how long a target's own report that it is leaving stays valid unless
	// renewed.
	leavingLifetime = 30 * time.Second
	// peerLeavingLifetime is the same for another host's report, which is repeated in each of its
	// heartbeats, one second apart.
	peerLeavingLifetime = 5 * time.Second
)

// Target is the health of one target, as one host knows it. It is immutable.
type Target struct {
	Failures     int
	EjectedUntil time.Time
	LastGood     time.Time
	// FailingSince is the time of the first of the current consecutive failures.
	FailingSince time.Time
	// LeavingUntil is when the target's own report that it is leaving expires; a later report may
	// clear it. The JSON names are those of state dumps.
	LeavingUntil time.Time `json:"SignUntil"`
	// LeavingReportedUntil is the same for another host's report, which is not forwarded.
	LeavingReportedUntil time.Time `json:"HeardUntil"`
	Listing              Listing
	// ReportSeq is the sequence number of the newest load report.
	ReportSeq uint64
	// Boot is the incarnation of the target's process, which increases with each start. Reports
	// of a newer incarnation replace those of an older one whatever their sequence number.
	Boot uint64
	// BackoffUntil is when the backoff that the target requested of this host ends.
	BackoffUntil time.Time
}

// Usable reports whether new work may be sent to the target.
func (t Target) Usable(now time.Time) bool {
	if t.IsLeaving(now) || now.Before(t.EjectedUntil) {
		return false
	}
	if t.Listing == Absent {
		return !t.LastGood.IsZero() && now.Sub(t.LastGood) < successLifetime
	}
	return true
}

// PresumedDead reports whether the target has been failing for at least presumedDeadAfter.
func (t Target) PresumedDead(now time.Time) bool {
	return t.Failures >= failuresToEject && now.Sub(t.FailingSince) >= presumedDeadAfter
}

// IsResponding reports whether the target's last result is good and recent.
func (t Target) IsResponding(now time.Time) bool {
	return t.Failures == 0 && !t.LastGood.IsZero() && now.Sub(t.LastGood) < successLifetime
}

// IsForgettable reports whether the last good answer, the first of the current failures and every
// state that they led to ended long ago, and nothing else is known of the target.
func (t Target) IsForgettable(now time.Time, after time.Duration) bool {
	if t.Failures > 0 && now.Sub(t.FailingSince) <= after {
		return false
	}
	for _, until := range []time.Time{t.EjectedUntil, t.LastGood, t.LeavingUntil, t.LeavingReportedUntil, t.BackoffUntil} {
		if now.Sub(until) <= after {
			return false
		}
	}
	return t.Listing == Unlisted && t.ReportSeq == 0 && t.Boot == 0
}

// IsLeaving reports whether the target is leaving, by its own report, another host's or the
// platform's list.
func (t Target) IsLeaving(now time.Time) bool {
	return t.Listing == Leaving || t.ReportsLeaving(now) || now.Before(t.LeavingReportedUntil)
}

// ReportsLeaving reports whether the target itself has reported to this host that it is leaving.
func (t Target) ReportsLeaving(now time.Time) bool { return now.Before(t.LeavingUntil) }

// RemainingBackoff returns the time left of the backoff that the target requested of this host,
// or 0. A backoff does not make the target unusable.
func (t Target) RemainingBackoff(now time.Time) time.Duration { return max(0, t.BackoffUntil.Sub(now)) }

// WithBackoff records that the target requested a backoff of d; one that ends earlier than the
// current one is ignored.
func (t Target) WithBackoff(d time.Duration, now time.Time) Target {
	if until := now.Add(d); until.After(t.BackoffUntil) {
		t.BackoffUntil = until
	}
	return t
}

// Ejected reports whether only failures keep new work from the target.
func (t Target) Ejected(now time.Time) bool { return !t.IsLeaving(now) && now.Before(t.EjectedUntil) }

// WithResult records a good answer or a failure.
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
	if t.Failures >= failuresToEject {
		t.EjectedUntil = now.Add(min(ejectBase<<min(t.Failures-failuresToEject, maxDoublings), ejectMax))
	}
	return t
}

// WithUnreachable records that the target could not be connected to, which ejects it at once, for
// a time that doubles with each failure.
func (t Target) WithUnreachable(now time.Time) Target {
	if t.Failures == 0 {
		t.FailingSince = now
	}
	t.Failures++
	t.EjectedUntil = now.Add(min(unreachableEjectBase<<min(t.Failures-1, maxDoublings), unreachableEjectMax))
	return t
}

// maxDoublings keeps the shift of the ejection time from overflowing.
const maxDoublings = 10

// WithLeaving records whether the target reports that it is leaving.
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
	t.LeavingReportedUntil = now.Add(peerLeavingLifetime)
	return t
}

// WithListing records the target's state in the platform's list.
func (t Target) WithListing(l Listing) Target {
	t.Listing = l
	return t
}

// WithReport records a load report and reports whether it was new; an outdated or duplicate
// report changes nothing.
func (t Target) WithReport(incarnation, seq uint64, leaving bool, now time.Time) (Target, bool) {
	if incarnation < t.Boot || (incarnation == t.Boot && seq <= t.ReportSeq) {
		return t, false
	}
	t.Boot, t.ReportSeq = incarnation, seq
	return t.WithLeaving(leaving, now).WithResult(true, now), true
}
