// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// An attempt that breaks off alone shows little: an answer may be lost, a connection reset,
// a zone cut off. It counts as a crash once the worker's process is known to have ended; a
// sign that the process lives clears all attempts that broke off there.
const (
	// suspectLifetime is how long an attempt that broke off waits for the proof that its
	// worker ended: the time that one needs to be back and register. Chosen, not measured.
	suspectLifetime = 8 * time.Second
	// askInterval is how long proof that was asked for serves all attempts: those that are
	// in progress when a worker ends break off together. Chosen, not measured.
	askInterval = 100 * time.Millisecond
	// maxSuspects bounds those that wait: the requests of a host at a few full engines.
	maxSuspects = 256
	// reportLifetime is how long a crash is reported, in some messages one after the other,
	// as one may be lost.
	reportLifetime = 3 * time.Second
	// maxReports bounds those reported together: as many as an engine has slots, four times
	// over. Chosen, not measured.
	maxReports = 256
)

// Suspect is an attempt that broke off, perhaps as its worker ended. Life tells processes of
// one worker apart.
type Suspect struct {
	Content Content
	Boot    uint64
	Crash   Crash
}

func (s Suspect) isAt(worker ident.Target, life uint64) bool {
	return s.Crash.Worker == worker && s.Boot == life
}

// Observer is what one host sees of ends of workers. It is immutable; the zero value has
// seen none.
type Observer struct {
	// suspects are never changed in place.
	suspects []Suspect
	reports  Reports
}

// Reports are the crashes seen lately.
func (o Observer) Reports() Reports { return o.reports }

// ProbeRequested tells whether an attempt broke off at a worker's process a moment ago, so that proof
// has been asked for.
func (o Observer) ProbeRequested(worker ident.Target, life uint64, now time.Time) bool {
	return slices.ContainsFunc(o.suspects, func(s Suspect) bool {
		return s.isAt(worker, life) && now.Sub(s.Crash.EndedAt) < askInterval
	})
}

// WithSuspect adds an attempt that broke off, and drops those that have waited too long.
func (o Observer) WithSuspect(s Suspect, now time.Time) Observer {
	kept := slices.DeleteFunc(slices.Clone(o.suspects), func(old Suspect) bool { return old.over(now) })
	kept = append(kept, s)
	o.suspects = kept[max(0, len(kept)-maxSuspects):]
	return o
}

func (s Suspect) over(now time.Time) bool { return now.Sub(s.Crash.EndedAt) > suspectLifetime }

// WithProcessExit takes the proof that a worker's process ended: the attempts that broke off there
// were in progress then. It also returns how many there were.
func (o Observer) WithProcessExit(worker ident.Target, life uint64, now time.Time) (Observer, int) {
	n := 0
	var left []Suspect
	for _, s := range o.suspects {
		switch {
		case !s.isAt(worker, life):
			left = append(left, s)
		case !s.over(now):
			o.reports = o.reports.With(Report{Content: s.Content, Crash: s.Crash, SeenAt: now}, now)
			n++
		}
	}
	o.suspects = left
	return o, n
}

// WithProcessAlive takes the proof that a worker's process went on until a time: what broke off there
// before did so for another reason.
func (o Observer) WithProcessAlive(worker ident.Target, life uint64, until time.Time) Observer {
	if len(o.suspects) == 0 {
		return o
	}
	o.suspects = slices.DeleteFunc(slices.Clone(o.suspects), func(s Suspect) bool {
		return s.isAt(worker, life) && s.Crash.EndedAt.Before(until)
	})
	return o
}

// Report is a crash of a request. SeenAt is when this host learned of it.
type Report struct {
	Content Content
	Crash   Crash
	SeenAt  time.Time
}

// isSame tells whether two reports are of one attempt.
func (r Report) isSame(other Report) bool {
	return r.Content == other.Content && r.Crash.isSame(other.Crash)
}

// Reports are crashes seen lately. It is immutable; the zero value is empty.
type Reports struct {
	// bySeen holds them in the order in which they came, by their number.
	bySeen table.Table[uint64, Report]
	// Total counts all that ever came.
	Total uint64
}

// With adds a report, and forgets those that are reported no more.
func (r Reports) With(one Report, now time.Time) Reports {
	for _, known := range r.bySeen.All() {
		if known.isSame(one) {
			return r
		}
	}
	for n, old := range r.bySeen.All() {
		if now.Sub(old.SeenAt) > reportLifetime || r.bySeen.Len() >= maxReports {
			r.bySeen = r.bySeen.Without(n)
		}
	}
	r.Total++
	r.bySeen = r.bySeen.With(r.Total, one)
	return r
}

// Recent are those to be reported now.
func (r Reports) Recent(now time.Time) []Report {
	var out []Report
	for _, one := range r.bySeen.All() {
		if now.Sub(one.SeenAt) <= reportLifetime {
			out = append(out, one)
		}
	}
	return out
}
