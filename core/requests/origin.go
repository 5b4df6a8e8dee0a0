// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/origins"
)

// What workers of two versions write does not fit together, and workers do not check it. A stream
// therefore goes on only at workers of the service and the version that sent its first event, within an
// answer and where its caller resumes it at any host.
//
// A host knows the origins of the streams that it began. The caller of another one names the request that
// brought the first event, and the host looks its origin up at replicas or hubs, to which all hosts report
// theirs (package origins). The host that began the stream may have stopped before it reported it, or be of
// an earlier version that does not report. After originTimeout, the stream then goes on if a single version
// can have begun it (soleversion.go), and is refused otherwise. One that is known to be unproved is looked up for
// processTimeout, as long as a retry within an answer waits.
//
// A caller that does not name the request is served like a new one.
//
// Inputs: the request that a caller names, known origins, workers' versions.

const (
	// originTimeout is how long an origin is looked up: longer than the host that began the stream
	// takes to report it, and short beside the gap after which callers give up.
	originTimeout = 500 * time.Millisecond
	// retryAfterVersion is the advice while no worker of the version is available: a worker that ended
	// takes about as long to start again.
	retryAfterVersion = time.Second
)

// streamOrigins is what a host knows of the origins of streams.
type streamOrigins struct {
	// known are those of the streams begun here, and those that were looked up.
	known origins.Store
	// unreported are the streams begun here since origins were last taken for a report, but for those
	// that ended whole. reportDue is set if one of them broke off: its caller will resume it soon.
	unreported origins.Report
	reportDue  bool
}

// OriginOf returns the origin of a stream if this host knows it.
func (s State) OriginOf(key hash.Key) (origins.Origin, bool) { return s.streams.known.Of(key) }

// OriginReportDue reports whether origins should be reported soon.
func (s State) OriginReportDue() bool { return s.streams.reportDue }

// HasUnreportedOrigins reports whether TakeOrigins returns any.
func (s State) HasUnreportedOrigins() bool { return len(s.streams.unreported) > 0 }

// TakeOrigins returns the origins to report, and the state in which they are reported.
func (s State) TakeOrigins() (State, origins.Report) {
	taken := s.streams.unreported
	s.streams.unreported, s.streams.reportDue = nil, false
	return s, taken
}

// handleStreamBegun records which version sent a stream's first event.
func (t *transition) handleStreamBegun(ev StreamBegun) {
	c, ok := t.calls.Get(ev.Request)
	if !ok || c.attempt != ev.Attempt || c.hasOrigin {
		return
	}
	t.beginStream(&c)
	t.calls = t.calls.With(c.req.ID, c)
}

// recordOrigin records the origin of a stream and queues it for a report.
func (t *transition) recordOrigin(o origins.Origin, key hash.Key) {
	t.streams.known = t.streams.known.With(o, t.now, key)
	if !o.Unproved && t.streams.unreported.Has(key) {
		t.streams.unreported = t.streams.unreported.Without(key)
	}
	if t.streams.unreported.Len() < origins.MaxReported {
		t.streams.unreported = t.streams.unreported.With(o, key)
	}
}

// settleOrigin drops the report of a stream that ended whole, and hastens that of one that did not.
func (t *transition) settleOrigin(c call, v Verdict) {
	key := origins.KeyOf(c.req.ID)
	switch {
	case !c.hasOrigin || !t.streams.unreported.Has(key):
	case v.Code == CodeOK:
		t.streams.unreported = t.streams.unreported.Without(key)
	default:
		t.streams.reportDue = true
	}
}

// namesOrigin reports whether a call resumes a stream whose origin decides where it goes on.
func (c *call) namesOrigin() bool {
	return c.req.Resumed && c.req.Resumes != "" && c.route.Kind == config.RouteStream
}

// isResumable reports whether a call is for a stream that may go on at another worker.
func (c *call) isResumable() bool { return c.route.Kind == config.RouteStream && c.route.Resumable }

// pinToOrigin limits a call that resumes a stream to the service and version that began it. It reports
// false if the call waits for its origin or was refused.
func (t *transition) pinToOrigin(c *call, w waitingRequest) bool {
	o, known := t.streams.known.Of(origins.KeyOf(c.req.Resumes))
	mayGuess := !known
	known = known && !o.Unproved
	if !known && !w.originSearched {
		t.awaitOrigin(w)
		if o.Unproved {
			t.updateTakeUps(origins.KeyOf(c.req.Resumes), o)
		}
		return false
	}
	if !known && mayGuess {
		if o, known = t.soleOrigin(c, w.originSince); known {
			t.recordOrigin(o, origins.KeyOf(c.req.Resumes))
		}
	}
	switch {
	case !known:
		t.counters.OriginsUnknown++
		t.refuse(c.req.ID, CodeVersionUnknown, "it is not known which version began the stream", 0)
		return false
	case !mapsTo(c.route, o.Service):
		t.refuse(c.req.ID, CodeNoVersion, "the route no longer maps to the service that began the stream", 0)
		return false
	}
	c.origin, c.hasOrigin = o, true
	c.pool, _ = t.routes.Pool(o.Service)
	t.counters.StreamsResumed++
	return true
}

// mapsTo reports whether a route sends requests to a service.
func mapsTo(r config.Route, service ident.Service) bool {
	for _, s := range r.Shares {
		if s.Pool == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// awaitOrigin queues a request until its origin is found.
func (t *transition) awaitOrigin(w waitingRequest) {
	w.awaitsOrigin, w.originSince, w.deadline = true, t.now, t.now.Add(originTimeout)
	if d := w.request.Deadline; !d.IsZero() && d.Before(w.deadline) {
		w.deadline = d
	}
	t.enqueue(w)
	t.out = append(t.out, LookUpOrigin{Stream: origins.KeyOf(w.request.Resumes)})
	t.refuseLeastUrgent()
}

// handleOriginFound records the origin of a stream and dispatches the requests that wait for it.
func (t *transition) handleOriginFound(ev OriginFound) {
	if o, known := t.streams.known.Of(ev.Stream); !known || o.Unproved && !ev.Origin.Unproved {
		t.streams.known = t.streams.known.With(ev.Origin, t.now, ev.Stream)
	}
	t.updateTakeUps(ev.Stream, ev.Origin)
}

// updateTakeUps lets the requests that wait for a stream's origin go on, or wait longer if it is unproved.
func (t *transition) updateTakeUps(stream hash.Key, o origins.Origin) {
	for _, w := range t.waitingByUrgency() {
		if !w.awaitsOrigin || origins.KeyOf(w.request.Resumes) != stream {
			continue
		}
		if o.Unproved {
			t.awaitProof(w)
		} else {
			t.endOriginWait(w)
		}
	}
}

// awaitProof extends the wait of a request until the host that began its stream may know which process did.
func (t *transition) awaitProof(w waitingRequest) {
	w.deadline = w.originSince.Add(processTimeout)
	if d := w.request.Deadline; !d.IsZero() && d.Before(w.deadline) {
		w.deadline = d
	}
	t.waiting = t.waiting.With(w.request.ID, w)
}

// endOriginWait goes on with a request whose origin was found or will not be.
func (t *transition) endOriginWait(w waitingRequest) {
	t.waiting = t.waiting.Without(w.request.ID)
	w.awaitsOrigin, w.originSearched = false, true
	t.admitAndDispatch(w)
}
