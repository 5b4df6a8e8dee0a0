// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// A request under which workers end is sent to none any more, whichever way it would go:
// when it arrives, after a failure, after a pause, or from another host (package crashes
// decides which ones). Each end costs callers all that the worker runs.
//
// An attempt that breaks off alone shows little: an answer may be lost, a connection reset,
// a zone cut off. It counts as a crash once the worker's process is known to have ended: a
// new connection to it is refused, or another process is registered at its address or under
// its id. A connection that comes up clears all attempts there. A worker that had said that
// it leaves ends as planned, and nothing is held against its requests.
//
// Inputs: attempts that broke off, connections refused, registrations, and the list of
// crashes.
const (
	// suspectLifetime is how long an attempt that broke off waits for the proof that its
	// worker ended: the time that one needs to be back and register. Chosen, not measured.
	suspectLifetime = 8 * time.Second
	// maxSuspects bounds those that wait: the requests of a host at a few full engines.
	maxSuspects = 256
	// crashLifetime is how long a crash is reported, in some polls one after the other, as
	// one may be lost.
	crashLifetime = 3 * time.Second
	// maxCrashReports bounds those reported together: as many as an engine has slots, four
	// times over. Chosen, not measured.
	maxCrashReports = 256
)

// suspect is an attempt that broke off, perhaps as its worker ended.
type suspect struct {
	content crashes.Content
	life    int
	crash   crashes.Crash
}

// CrashReport is a crash of a request. SeenAt is when this host learned of it.
type CrashReport struct {
	Content crashes.Content
	Crash   crashes.Crash
	SeenAt  time.Time
}

// isSame tells whether two reports are of one attempt: times of other hosts differ a little
// from poll to poll.
func (r CrashReport) isSame(other CrashReport) bool {
	return r.Content == other.Content && r.Crash.IsSame(other.Crash)
}

// CrashReports are crashes seen lately. It is immutable; the zero value is empty.
type CrashReports struct {
	// bySeen holds them in the order in which they came, by their number.
	bySeen table.Table[uint64, CrashReport]
	// Seen counts all that ever came.
	Seen uint64
}

// With adds a report, and forgets those that are reported no more.
func (c CrashReports) With(r CrashReport, now time.Time) CrashReports {
	for _, known := range c.bySeen.All() {
		if known.isSame(r) {
			return c
		}
	}
	for n, old := range c.bySeen.All() {
		if now.Sub(old.SeenAt) > crashLifetime || c.bySeen.Len() >= maxCrashReports {
			c.bySeen = c.bySeen.Without(n)
		}
	}
	c.Seen++
	c.bySeen = c.bySeen.With(c.Seen, r)
	return c
}

// Lately are those to be reported now.
func (c CrashReports) Lately(now time.Time) []CrashReport {
	var out []CrashReport
	for _, r := range c.bySeen.All() {
		if now.Sub(r.SeenAt) <= crashLifetime {
			out = append(out, r)
		}
	}
	return out
}

// Crashes are the crashes that this host itself saw lately.
func (s State) Crashes() CrashReports { return s.crashReports }

// CrashList are the requests under which workers ended, as this host knows them.
func (s State) CrashList() crashes.List { return s.crashList }

// WithCrashList returns the state of a host that holds a list.
func (s State) WithCrashList(l crashes.List) State {
	s.crashList = l
	return s
}

// isRefused tells whether the call is sent to no worker any more.
func (t *transition) isRefused(c call) bool {
	_, refused := t.crashList.Refused(c.content, t.now)
	return refused
}

// crashVerdict ends such a call. The caller may come back when the refusal ends, as nothing
// else would change what becomes of it.
func (t *transition) crashVerdict(c call) Verdict {
	v := Verdict{
		Outcome: c.combined, Code: CodeCrashes,
		Reason: fmt.Sprintf("%d workers in a row ended under requests of content %s", crashes.EndsToRefuse, c.content),
	}
	if v.Outcome == outcome.NotRun {
		until, _ := t.crashList.Refused(c.content, t.now)
		v.RetryAfter = until.Sub(t.now)
	}
	return v
}

// attemptBroke suspects an attempt that broke off, and asks for a connection that tells
// whether its worker ended.
func (t *transition) attemptBroke(c call, r outcome.Broken) {
	w, known := t.workers.Get(c.target)
	if c.content == "" || r.Silent || !known || !t.reachable(w.Zone) {
		return
	}
	s := suspect{content: c.content, life: c.life, crash: crashes.Crash{
		Worker: c.target, SentAt: c.sentAt, EndedAt: t.now, Begun: r.Begun,
	}}
	switch {
	case w.life != c.life || w.succeeded():
		t.reportCrash(s)
	case w.State == registry.Draining || w.State == registry.Gone:
	default:
		if !slices.ContainsFunc(t.suspects, s.sameProcess) {
			t.out = append(t.out, ProbeConnection{Worker: w.Worker})
		}
		t.addSuspect(s)
	}
}

func (s suspect) sameProcess(other suspect) bool {
	return s.crash.Worker == other.crash.Worker && s.life == other.life
}

// addSuspect keeps a suspect, and drops those that have waited for too long.
func (t *transition) addSuspect(s suspect) {
	kept := slices.DeleteFunc(slices.Clone(t.suspects), func(old suspect) bool {
		return t.now.Sub(old.crash.EndedAt) > suspectLifetime
	})
	kept = append(kept, s)
	t.suspects = kept[max(0, len(kept)-maxSuspects):]
}

// processEnded takes the proof that a worker's process ended: the attempts that broke off
// there were in progress then.
func (t *transition) processEnded(id ident.Target, life int) {
	n := 0
	t.suspects = slices.DeleteFunc(slices.Clone(t.suspects), func(s suspect) bool {
		if s.crash.Worker != id || s.life != life {
			return false
		}
		if t.now.Sub(s.crash.EndedAt) <= suspectLifetime {
			t.reportCrash(s)
			n++
		}
		return true
	})
	if n > 0 {
		t.out = append(t.out, WorkerEnded{Worker: id, Requests: n})
	}
}

// reportCrash reports a suspect whose worker's process is known to have ended.
func (t *transition) reportCrash(s suspect) {
	t.crashReports = t.crashReports.With(CrashReport{Content: s.content, Crash: s.crash, SeenAt: t.now}, t.now)
}

// processLives takes the proof that a worker's process goes on.
func (t *transition) processLives(id ident.Target, life int) {
	t.suspects = slices.DeleteFunc(slices.Clone(t.suspects), func(s suspect) bool {
		return s.crash.Worker == id && s.life == life
	})
}

// connectionRefused takes a refused connection to a worker as the proof that its process
// ended, unless its zone is out of reach.
func (t *transition) connectionRefused(id ident.Target) {
	if w, ok := t.workers.Get(id); ok && t.reachable(w.Zone) {
		t.processEnded(id, w.life)
	}
}

// answeredAfterAll takes an answer to a request under which workers had ended: it does not
// end all workers that run it.
func (t *transition) answeredAfterAll(c call, r outcome.Answered) {
	if e, ok := t.crashList.Get(c.content); ok && e.Ends > 0 && r.Status < serverError {
		t.crashList = t.crashList.With(t.now, crashes.Entry{Content: c.content, At: t.now})
	}
}
