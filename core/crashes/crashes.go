// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package crashes decides which requests are refused because they crash workers.
//
// A request may crash every worker that starts to run it, and each crash also fails all other
// requests on that worker. Callers retry such a request under a new id, at any host, so it is
// recognized by its Content. Each time a worker's process exits, hosts report a Crash for every
// request that was in progress there. Evidence, which replicas keep, separates the request
// that crashes workers from those that merely shared them, and yields a List, which all hosts
// hold and apply.
//
// One part of a prompt may crash every worker that begins to answer a request with it, whatever else
// the request holds. Each shared part of a prompt therefore has a Content too, and a report names
// them beside that of the request. Evidence tells the part from the innocent ones beside it, which
// workers answer.
//
// # Usage
//
//	e = e.With(content, crashes.Crash{Worker: "w1", SentAt: sent, EndedAt: ended}, now)
//	list = list.With(now, e.Evaluate(now)...)
//	until, refused := list.Refused(content, now)
//
// Both types are immutable, bounded and expire their entries; their zero values are empty.
// Times are by the local clock; hosts exchange ages instead of times.
package crashes

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// Crash is an attempt that was in progress at a worker when the worker's process exited.
type Crash struct {
	// Attempt identifies the attempt, so that it counts once no matter how often and how late it
	// is reported: reported ages do not include the time in transit. Empty if unknown.
	Attempt string
	Worker  ident.Target
	SentAt  time.Time
	EndedAt time.Time
	// AnswerStarted is set if the caller had already received part of the answer.
	AnswerStarted bool
}

const (
	// CrashesToRefuse is the number of consecutive crashes after which a request is refused. Each
	// crash costs all requests on the worker, some ten and up to its slots. Fewer crashes would
	// also refuse innocent requests: while one request crashes workers, retries of the others
	// often follow it to the next worker.
	CrashesToRefuse = 3
	// crashesToWatch is the number of consecutive crashes from which hosts report whether a
	// worker answers the request after all.
	crashesToWatch = CrashesToRefuse - 1
	// refusalDuration is how long a request is refused after its last crash: it bounds the
	// crashes of a caller that keeps retrying, and the wait after the workers have been fixed.
	refusalDuration = 10 * time.Minute
	// Retention is how long a request is remembered after its last crash: if it crashes another
	// worker after refusalDuration, it is refused again at once.
	Retention = time.Hour
	// sameCrashTolerance is the difference in time up to which reports of a worker's crash mean
	// the same one: reports may be some poll intervals old, and a process takes longer to
	// restart.
	sameCrashTolerance = time.Second
	// AnswerReportWindow is how long hosts have to report answers before a request is refused:
	// longer than the list takes to reach them through hubs and their polls to return. With crashes
	// proved 3 s late, in 40 seeds, no popular request was refused; with 600 ms a request that crashes
	// workers was sent more than three times after that in one of them.
	AnswerReportWindow = 400 * time.Millisecond
	// partProbeAfter is how long requests with a refused part are sent to no worker at all. From then
	// on each host sends one of them, at a time of its own, and no other while it awaits the
	// result: an answer ends the refusal everywhere, a crash renews it. A part may be common, so it
	// must not be refused as long as a single request, and firstPartProbeAfter, for the first probe,
	// is shorter: the part may have been mistaken for the cause.
	partProbeAfter      = 2 * time.Minute
	firstPartProbeAfter = time.Minute
	// partProbeSpacing is the mean time between the probes of two hosts, minPartProbeSpread the
	// least time over which all are spread. The result of a probe reaches other hosts within
	// seconds.
	partProbeSpacing   = 10 * time.Second
	minPartProbeSpread = time.Minute
	// partProbeResult is how long a host awaits the result of its probe.
	partProbeResult = 10 * time.Second
	// transitTolerance is the difference allowed between times in two hosts' reports, as reported
	// ages do not include the time in transit.
	transitTolerance = 100 * time.Millisecond
)
