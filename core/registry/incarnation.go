// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import "time"

// Incarnation identifies one process of a worker by its start, in Unix milliseconds of the worker's
// own clock. A worker that restarts under its id is another incarnation: its sequence numbers start
// anew, and its cache is empty. 0 stands for a worker that does not report its start, whose
// heartbeats are ordered by their sequence numbers alone.
type Incarnation int64

// Started returns the start of the process; zero if it is unknown.
func (i Incarnation) Started() time.Time {
	if i == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(i))
}

// succeeds reports whether a process is known to have started after another one.
func (i Incarnation) succeeds(other Incarnation) bool { return other != 0 && i > other }

// String returns the start in UTC; empty if it is unknown.
func (i Incarnation) String() string {
	if i == 0 {
		return ""
	}
	return i.Started().UTC().Format("2006-01-02T15:04:05.000Z")
}

// Newer reports whether a replaces b, a report of the same worker: that of a later process does, and
// of one process the one with a final state, or else with the higher sequence number. A registration
// without a start is older than any with one; Record keeps both.
func Newer(a, b Worker) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	if a.State == Gone || b.State == Gone {
		return a.State == Gone && b.State != Gone
	}
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.State > b.State
}

// Record merges the reports of several registries on one worker. The order in which reports arrive
// does not matter if all of them include the worker's start. It is immutable; the zero value has no
// report.
//
// Earlier versions report the same process without its start. The newest report of each kind is
// kept, and Worker decides between them.
type Record struct {
	// dated is the newest report with a start.
	dated Worker
	// undated is the newest report without a start; nil for none, as from a fleet of one version.
	// It is never modified in place.
	undated *Worker
}

// With returns the record with one more report; changed is false if it is not newer.
func (r Record) With(w Worker) (next Record, changed bool) {
	if w.Born == 0 {
		if r.undated != nil && !Newer(w, *r.undated) {
			return r, false
		}
		r.undated = &w
		return r, true
	}
	if r.dated.ID != "" && !Newer(w, r.dated) {
		return r, false
	}
	if w.Born.succeeds(r.dated.Born) {
		// The report without a start is of the earlier process.
		r.undated = nil
	}
	r.dated = w
	return r, true
}

// RecordOf returns a record with a single report.
func RecordOf(w Worker) Record {
	r, _ := Record{}.With(w)
	return r
}

// Only returns the report of a record that has a single one.
func (r Record) Only() (Worker, bool) {
	switch {
	case r.undated == nil:
		return r.dated, r.dated.ID != ""
	case r.dated.ID == "":
		return *r.undated, true
	}
	return Worker{}, false
}

// Worker returns the worker by its newest report.
func (r Record) Worker() Worker {
	switch {
	case r.undated == nil:
		return r.dated
	case r.dated.ID == "" || r.undatedPrevails():
		return *r.undated
	}
	return r.dated
}

// undatedPrevails decides between a report with and one without a start. A drain must not be missed,
// and a worker that is silent at one registry may send its heartbeats to another one.
func (r Record) undatedPrevails() bool {
	switch r.dated.State {
	case Silent:
		return r.undated.State != Silent
	case Ready:
		return r.undated.State == Gone || r.undated.State == Draining && r.undated.Seq > r.dated.Seq
	case Draining, Gone:
	}
	return false
}

// Incarnation returns the newest known incarnation of the worker.
func (r Record) Incarnation() Incarnation { return r.dated.Born }
