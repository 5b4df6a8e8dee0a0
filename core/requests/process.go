// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// A registration is of a process, while an id and an address may belong to another one by now: a worker that
// starts again under its id is known by its last process until its next heartbeat. What a worker's version decides,
// where a stream goes on and which version began it, therefore rests on the process at the other end of the
// connection. A connection belongs to the process that is known to have run when it was opened (registry.Life), as
// one process at a time listens at an address. That a connection looks open proves nothing: its end may be late or
// lost on the way.
//
// A process is also known to have run when a request was sent that it answered. Connections that are opened while others
// to the same process are in use are thus soon known to lead to it.
//
//   - A stream that has begun is written only over a connection to a process of its version. If the
//     process is not known, up to maxUnknownProcesses other workers are tried, and then the same again every
//     processRetryInterval, over the same connections, for processTimeout.
//   - A stream that begins over a connection to an unknown process has an unproved origin until the process is
//     known. Hosts report it as such, so that no other host guesses its version.
//
// The rule holds for workers that report when they started. Others have a new id with each start, and decline
// requests for another one. It is suspended while no replica of this version replies.
//
// Inputs: lives of workers' processes, when connections were opened, and which requests were answered over them.

const (
	// processTimeout is how long a stream waits for its worker's process to be known: two heartbeats, and the polls that
	// report them.
	processTimeout = 2500 * time.Millisecond
	// processRetryInterval is the time between two tries.
	processRetryInterval = 100 * time.Millisecond
	// maxUnknownProcesses bounds the workers of an unknown process to which a call holds connections.
	maxUnknownProcesses = 3
	// maxLivesPerWorker bounds the processes of a worker that are remembered, maxUnprovedStreams the streams that
	// have ended with an unproved origin.
	maxLivesPerWorker  = 3
	maxUnprovedStreams = 1 << 10
)

// workerLives are the newest processes of a worker, the newest first. It is never modified in place.
type workerLives []registry.Life

// processes is what a host knows of the processes of workers. The zero value knows none.
type processes struct {
	// reported is set once a replica or hub has replied that reports lives.
	reported bool
	lives    table.Table[ident.Target, workerLives]
	// unproved are the streams that ended before their origin was proved. It is never modified in place.
	unproved []unprovedStream
}

// unprovedStream is a stream that ended at endedAt before the process was known to which its connection was opened.
type unprovedStream struct {
	key      hash.Key
	service  ident.Service
	worker   ident.Target
	openedAt time.Time
	endedAt  time.Time
}

// WithProcessesReported returns the state of a host to which a replica or hub reports the lives of processes.
func (s State) WithProcessesReported() State {
	s.processes.reported = true
	return s
}

// LivesOf returns what is known of the processes of a worker.
func (s State) LivesOf(id ident.Target) []registry.Life {
	lives, _ := s.processes.lives.Get(id)
	return lives
}

// checksProcess reports whether the version of a worker's process matters to a call and may differ from the
// registered one.
func (t *transition) checksProcess(c call, w registry.Worker) bool {
	return (c.isResumable() || c.hasOrigin) && w.Born != 0 && t.processes.reported
}

// reportsConnection reports whether the connection of a call's attempt is to be reported: a worker that starts again
// under its id leaves open which process a stream is at.
func (t *transition) reportsConnection(c call, w registry.Worker) bool {
	return c.route.Kind == config.RouteStream && w.Born != 0 && t.processes.reported
}

// versionOn returns the version of the process to which a connection was opened; false if it is not known.
func (s State) versionOn(id ident.Target, openedAt time.Time) (version ident.Version, known bool) {
	for _, l := range s.LivesOf(id) {
		switch {
		case openedAt.IsZero() || !l.RanAt(openedAt):
		case known && l.Version != version:
			return "", false
		default:
			version, known = l.Version, true
		}
	}
	return version, known
}

// handleProcessSeen records that a process of a worker ran, and proves the origins that depend on it.
func (t *transition) handleProcessSeen(ev ProcessSeen) {
	id := ev.Life.Worker
	lives := slices.Clone(t.LivesOf(id))
	if i := slices.IndexFunc(lives, func(l registry.Life) bool {
		return l.Born == ev.Life.Born && l.Version == ev.Life.Version
	}); i >= 0 {
		lives[i] = lives[i].Merge(ev.Life)
	} else {
		lives = append(lives, ev.Life)
		slices.SortFunc(lives, func(a, b registry.Life) int { return int(b.Born - a.Born) })
		lives = lives[:min(len(lives), maxLivesPerWorker)]
	}
	t.processes.lives = t.processes.lives.With(id, lives)
	t.proveOrigins(id)
	t.abortProved(id)
}

// recordProcessAnswer records that the process at the other end of an attempt's connection, if it is known, still ran when
// the request was sent that it answers.
func (t *transition) recordProcessAnswer(ev HeaderReceived) {
	c, ok := t.calls.Get(ev.Request)
	if _, known := t.versionOn(ev.Worker, ev.OpenedAt); !ok || c.attempt != ev.Attempt || !known {
		return
	}
	lives := slices.Clone(t.LivesOf(ev.Worker))
	i := slices.IndexFunc(lives, func(l registry.Life) bool { return l.RanAt(ev.OpenedAt) })
	lives[i] = lives[i].WithAnswer(c.sentAt)
	t.processes.lives = t.processes.lives.With(ev.Worker, lives)
	t.proveOrigins(ev.Worker)
}

// proveOrigins records the origins of streams that a worker began over connections whose process is known now.
func (t *transition) proveOrigins(id ident.Target) {
	for _, c := range t.calls.All() {
		if c.originUnproved && c.originWorker == id {
			t.proveOrigin(&c)
			t.calls = t.calls.With(c.req.ID, c)
		}
	}
	isOf := func(u unprovedStream) bool { return u.worker == id }
	if !slices.ContainsFunc(t.processes.unproved, isOf) {
		return
	}
	t.processes.unproved = slices.DeleteFunc(slices.Clone(t.processes.unproved), func(u unprovedStream) bool {
		if !isOf(u) {
			return false
		}
		version, known := t.versionOn(u.worker, u.openedAt)
		if known {
			t.recordProvedOrigin(origins.Origin{Service: u.service, Version: version}, u.key)
		}
		return known
	})
}

// proveOrigin sets the origin of a call's stream if the process that began it is known.
func (t *transition) proveOrigin(c *call) {
	version, known := t.versionOn(c.originWorker, c.originOpenedAt)
	if !known {
		return
	}
	c.origin.Version, c.originUnproved = version, false
	t.recordProvedOrigin(c.origin, origins.KeyOf(c.req.ID))
}

// recordProvedOrigin records an origin that has become known, for callers that have taken the stream up already, too.
func (t *transition) recordProvedOrigin(o origins.Origin, stream hash.Key) {
	t.recordOrigin(o, stream)
	t.updateTakeUps(stream, o)
}

// beginStream sets the origin of a stream whose first event has arrived.
func (t *transition) beginStream(c *call) {
	c.origin, c.hasOrigin = origins.Origin{Service: c.pool.ID, Version: c.version}, true
	if !c.checksProcess {
		t.recordOrigin(c.origin, origins.KeyOf(c.req.ID))
		return
	}
	c.originUnproved, c.originWorker, c.originAttempt, c.originOpenedAt = true, c.target, c.attempt, c.openedAt
	t.proveOrigin(c)
	if c.originUnproved {
		t.recordOrigin(origins.Origin{Service: c.pool.ID, Unproved: true}, origins.KeyOf(c.req.ID))
	}
}

// keepUnproved keeps a stream whose attempt has ended and whose process is still not known, for when it is.
func (t *transition) keepUnproved(c *call) {
	if !c.originUnproved || c.attempt != c.originAttempt {
		return
	}
	t.proveOrigin(c)
	if !c.originUnproved {
		return
	}
	t.lookUpProcess(c.originWorker, true)
	kept := slices.DeleteFunc(slices.Clone(t.processes.unproved), func(u unprovedStream) bool {
		return t.now.Sub(u.endedAt) > origins.Retention
	})
	kept = append(kept, unprovedStream{
		key: origins.KeyOf(c.req.ID), service: c.origin.Service, worker: c.originWorker, openedAt: c.originOpenedAt, endedAt: t.now,
	})
	t.processes.unproved = kept[max(0, len(kept)-maxUnprovedStreams):]
}

// checkProcess reports whether a call may be written over its connection: one that goes on with a stream only to a
// process of its version.
func (t *transition) checkProcess(c *call) bool {
	if c.openedAt.IsZero() {
		return true
	}
	version, known := t.versionOn(c.target, c.openedAt)
	goesOn := c.checksProcess && c.hasOrigin
	if !known {
		t.lookUpProcess(c.target, goesOn)
	}
	switch {
	case goesOn && !known:
		c.unknownProcess = append(slices.Clone(c.unknownProcess), c.target)
	case !goesOn || version == c.origin.Version:
		c.unknownProcess, c.processAwaitedSince = nil, time.Time{}
		return true
	}
	c.withheld++
	return false
}

// lookUpProcess asks for the lives of a worker's processes. It is urgent if a stream waits for them.
func (t *transition) lookUpProcess(id ident.Target, urgent bool) {
	t.out = append(t.out, LookUpProcess{Worker: id, Urgent: urgent})
}

// awaitProcess pauses a call that goes on with a stream and for which a process is not known: that of its origin, or
// that of any worker of the origin's version. It reports false once that took too long, or if there is nothing to wait
// for.
func (t *transition) awaitProcess(c call) bool {
	if !c.originUnproved && len(c.unknownProcess) == 0 || c.originUnproved && t.isUnprovable(c) {
		return false
	}
	if c.processAwaitedSince.IsZero() {
		c.processAwaitedSince = t.now
	}
	if t.now.Sub(c.processAwaitedSince) >= processTimeout || !t.now.Before(c.req.Deadline) {
		return false
	}
	c.tried = slices.DeleteFunc(slices.Clone(c.tried), func(id ident.Target) bool { return slices.Contains(c.unknownProcess, id) })
	c.unknownProcess = nil
	c.pausing, c.awaitsRoom = true, true
	t.calls = t.calls.With(c.req.ID, c)
	t.out = append(t.out, Pause{Request: c.req.ID, For: processRetryInterval})
	return true
}

// dispatchUnproved waits until the process that began a call's stream is known, or ends the call.
func (t *transition) dispatchUnproved(c call) {
	if t.awaitProcess(c) {
		return
	}
	t.counters.OriginsUnknown++
	t.finish(c.req.ID, Verdict{
		Outcome: c.combinedOutcome, Code: CodeVersionUnknown, Reason: "it is not known which process of the worker began the stream",
	})
}

// isUnprovable reports whether the process that began a call's stream will not be known: a later one is known to have
// run only after the connection was opened.
func (t *transition) isUnprovable(c call) bool {
	return slices.ContainsFunc(t.LivesOf(c.originWorker), func(l registry.Life) bool { return l.From.After(c.originOpenedAt) })
}

// removeOldLives drops the processes of workers that are no longer known.
func (t *transition) removeOldLives() {
	for id := range t.processes.lives.All() {
		if t.workers.find(id) == nil {
			t.processes.lives = t.processes.lives.Without(id)
		}
	}
}
