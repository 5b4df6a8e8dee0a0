// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import "time"

// Incarnation names one process of a worker by when it started, in Unix milliseconds of
// the worker's own clock. A worker that starts again under its id is another incarnation:
// it counts its heartbeats anew and holds nothing of before. 0 stands for a worker that
// does not say, of which only the sequence tells what is newer.
type Incarnation int64

// Started is the start of the process; zero where it is not known.
func (i Incarnation) Started() time.Time {
	if i == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(i))
}

// succeeds tells whether a process surely started after another one.
func (i Incarnation) succeeds(other Incarnation) bool { return other != 0 && i > other }

// String is the start in UTC; empty where it is not known.
func (i Incarnation) String() string {
	if i == 0 {
		return ""
	}
	return i.Started().UTC().Format("2006-01-02T15:04:05.000Z")
}

// Newer tells whether a says more recent things than b about the same worker: what a
// later process says, and of one process whatever is final, or else what came last. A
// registration without a start counts as older than any with one; Record keeps both.
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

// Record is what several registries report of one worker, joined. The order in which
// reports arrive does not matter where all say when the worker started. It is immutable;
// the zero value knows nothing.
//
// Programs that do not know of starts report the same process without one, while others
// report it with its start. Both are kept, the newest of each, and Worker decides.
type Record struct {
	// dated is the newest report with a start, undated the newest one without.
	dated, undated Worker
}

// With returns the record with one more report; changed is false where it says nothing
// newer.
func (r Record) With(w Worker) (next Record, changed bool) {
	slot := &r.dated
	if w.Born == 0 {
		slot = &r.undated
	}
	if slot.ID != "" && !Newer(w, *slot) {
		return r, false
	}
	if w.Born.succeeds(r.dated.Born) {
		// What came without a start was of the earlier process.
		r.undated = Worker{}
	}
	*slot = w
	return r, true
}

// recordOf returns a record that knows one report only.
func recordOf(w Worker) Record {
	r, _ := Record{}.With(w)
	return r
}

// Worker is the worker as it is best known.
func (r Record) Worker() Worker {
	switch {
	case r.dated.ID == "":
		return r.undated
	case r.undated.ID == "" || !r.undatedPrevails():
		return r.dated
	}
	return r.undated
}

// undatedPrevails decides between a report with and one without a start. That a worker
// leaves must not be missed, and one registry's silence tells little where another one
// hears the worker.
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

// Incarnation is the newest one that is known of the worker.
func (r Record) Incarnation() Incarnation { return r.dated.Born }
