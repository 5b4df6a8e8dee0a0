// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// An interrupted attempt alone proves no crash: an answer may be lost, a connection reset, a zone
// partitioned. It counts as a crash once the worker's process is known to have exited; proof that
// the process is alive clears its interrupted attempts.
const (
	// suspectLifetime is how long an interrupted attempt waits for proof that its worker's
	// process exited: the time that a worker needs to restart and register.
	suspectLifetime = 8 * time.Second
	// probeInterval is how long one probe serves all attempts at a process: those in progress
	// when a worker crashes are interrupted together.
	probeInterval = 100 * time.Millisecond
	// maxSuspects bounds the interrupted attempts that wait for proof: a host's requests at a few
	// full workers.
	maxSuspects = 256
	// reportLifetime is how long a crash is reported, in several successive messages, as one may
	// be lost.
	reportLifetime = 3 * time.Second
	// maxReports bounds the crashes reported together: four times the slots of a worker.
	maxReports = 256
)

// Suspect is an interrupted attempt whose worker may have crashed; Incarnation is that of the
// worker's process.
type Suspect struct {
	Content Content
	// Parts are the contents of the parts that its prompt shares with others.
	Parts       []Content
	Incarnation uint64
	Crash       Crash
}

func (s Suspect) isOfProcess(worker ident.Target, incarnation uint64) bool {
	return s.Crash.Worker == worker && s.Incarnation == incarnation
}

// Observer tracks the worker crashes that one host sees itself. It is immutable; the zero value
// has seen none.
type Observer struct {
	// suspects is never modified in place.
	suspects []Suspect
	reports  Reports
}

// Reports returns the crashes seen recently.
func (o Observer) Reports() Reports { return o.reports }

// ProbeRequested reports whether an attempt at the worker's process was interrupted within
// probeInterval, so that a probe is already under way.
func (o Observer) ProbeRequested(worker ident.Target, incarnation uint64, now time.Time) bool {
	return slices.ContainsFunc(o.suspects, func(s Suspect) bool {
		return s.isOfProcess(worker, incarnation) && now.Sub(s.Crash.EndedAt) < probeInterval
	})
}

// WithoutSuspects drops all interrupted attempts, as the host itself was cut off.
func (o Observer) WithoutSuspects() Observer {
	o.suspects = nil
	return o
}

// HasSuspect reports whether attempts at a worker's process wait for proof that it exited.
func (o Observer) HasSuspect(worker ident.Target, incarnation uint64) bool {
	return slices.ContainsFunc(o.suspects, func(s Suspect) bool { return s.isOfProcess(worker, incarnation) })
}

// WithSuspect adds an interrupted attempt and drops expired ones.
func (o Observer) WithSuspect(s Suspect, now time.Time) Observer {
	kept := slices.DeleteFunc(slices.Clone(o.suspects), func(old Suspect) bool { return old.expired(now) })
	kept = append(kept, s)
	o.suspects = kept[max(0, len(kept)-maxSuspects):]
	return o
}

func (s Suspect) expired(now time.Time) bool { return now.Sub(s.Crash.EndedAt) > suspectLifetime }

// WithProcessExit records proof that a worker's process exited: the attempts interrupted there
// count as crashes. It also returns their number.
func (o Observer) WithProcessExit(worker ident.Target, incarnation uint64, now time.Time) (Observer, int) {
	n := 0
	var remaining []Suspect
	for _, s := range o.suspects {
		switch {
		case !s.isOfProcess(worker, incarnation):
			remaining = append(remaining, s)
		case !s.expired(now):
			o.reports = o.reports.With(Report{Content: s.Content, Parts: s.Parts, Crash: s.Crash, SeenAt: now}, now)
			n++
		}
	}
	o.suspects = remaining
	return o, n
}

// WithProcessAlive records proof that a worker's process was alive at the given time: attempts
// interrupted there before had another cause.
func (o Observer) WithProcessAlive(worker ident.Target, incarnation uint64, at time.Time) Observer {
	if len(o.suspects) == 0 {
		return o
	}
	o.suspects = slices.DeleteFunc(slices.Clone(o.suspects), func(s Suspect) bool {
		return s.isOfProcess(worker, incarnation) && s.Crash.EndedAt.Before(at)
	})
	return o
}

// Report is a crash of a request. SeenAt is when this host learned of it.
type Report struct {
	Content Content
	// Parts are the contents of the parts that its prompt shares with others.
	Parts  []Content
	Crash  Crash
	SeenAt time.Time
}

// isSame reports whether two reports are of the same attempt.
func (r Report) isSame(other Report) bool {
	return r.Content == other.Content && r.Crash.isSameAttempt(other.Crash)
}

// Reports holds the crashes seen recently. It is immutable; the zero value is empty.
type Reports struct {
	// byNumber holds the reports by their number, in order of arrival.
	byNumber table.Table[uint64, Report]
	// Total is the number of reports ever added.
	Total uint64
}

// With adds a report and drops expired ones.
func (r Reports) With(report Report, now time.Time) Reports {
	for _, known := range r.byNumber.All() {
		if known.isSame(report) {
			return r
		}
	}
	for n, old := range r.byNumber.All() {
		if now.Sub(old.SeenAt) > reportLifetime || r.byNumber.Len() >= maxReports {
			r.byNumber = r.byNumber.Without(n)
		}
	}
	r.Total++
	r.byNumber = r.byNumber.With(r.Total, report)
	return r
}

// Recent returns the crashes still to be reported.
func (r Reports) Recent(now time.Time) []Report {
	var out []Report
	for _, report := range r.byNumber.All() {
		if now.Sub(report.SeenAt) <= reportLifetime {
			out = append(out, report)
		}
	}
	return out
}
