// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import "time"

// A process that stood still, because its machine was frozen or its processor was taken away, knows
// workers as they were before. Some may have begun to leave since, and what replicas and hubs have sent
// about them waits in its sockets beside new requests. Requests therefore wait after a stall until a reply to
// a poll sent since shows which workers leave, at most for resumeTimeout.
//
// A host that no hub or replica answers does not wait, whatever the age of what it knows: it may be
// partitioned for long, and its callers are served better by workers that may leave than late or not at all.
//
// Inputs: when a stall ended, as of when departures are known and the route table was confirmed.

// resumeTimeout is several round trips to a hub, and short beside the objectives of callers.
const resumeTimeout = 300 * time.Millisecond

// WithResumedAt returns the state of a host whose process has just stood still.
func (s State) WithResumedAt(now time.Time) State {
	s.resumedAt = now
	return s
}

// WithDeparturesKnown returns the state of a host that knows all workers that had begun to leave by a time.
func (s State) WithDeparturesKnown(asOf time.Time) State {
	if asOf.After(s.departuresAsOf) {
		s.departuresAsOf = asOf
	}
	return s
}

// resuming reports whether requests wait for news of workers. A confirmation is such news, as it comes with
// the reply that names departures.
func (s State) resuming(now time.Time) bool {
	return !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < resumeTimeout &&
		s.confirmed.AsOf.Before(s.resumedAt) && s.departuresAsOf.Before(s.resumedAt)
}

// deferUntilResumed queues a request while the host is resuming after a stall, unless its deadline is
// earlier than the end of that.
func (t *transition) deferUntilResumed(r Request) bool {
	if !t.resuming(t.now) {
		return false
	}
	until := t.resumedAt.Add(resumeTimeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(until) {
		return false
	}
	route, _ := t.routes.Route(r.Host, r.Path)
	t.queue(waitingRequest{request: r, arrived: t.now, rank: route.Rank, deadline: until, afterStall: true})
	return true
}
