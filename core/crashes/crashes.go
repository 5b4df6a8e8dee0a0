// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package crashes decides which requests are refused because workers end under them.
//
// A request may end each worker that begins to run it, and each end takes along all that
// the worker runs beside it. Its caller sends it again, under a new id, to any host. So it
// is known again by its Content, and what hosts see of ends is gathered: each end of a
// worker is a Crash of every request that was in progress there. Evidence, on replicas,
// tells the request that ends workers from those that only shared them, and yields a List,
// which all hosts hold and obey.
//
// # Usage
//
//	e = e.With(content, crashes.Crash{Worker: "w1", SentAt: sent, EndedAt: ended}, now)
//	list = list.With(now, e.Judged(now)...)
//	entry, refused := list.Refused(content, now)
//
// Both are immutable and bounded, and forget with time; their zero values are empty. Times
// are those of the host that holds them: between hosts travel ages.
package crashes

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// Crash is an attempt at a worker that was in progress when the worker's process ended.
type Crash struct {
	// Attempt names the attempt, so that it counts once however often it is reported, and
	// however late: ages lack the time that a message was held up. Empty where it is not
	// known.
	Attempt string
	Worker  ident.Target
	SentAt  time.Time
	EndedAt time.Time
	// AnswerStarted is set where the caller had already seen part of the answer.
	AnswerStarted bool
}

const (
	// CrashesToRefuse is how many workers in a row end under a request until it is refused.
	// Each costs its callers all that the worker runs, some ten requests and up to its
	// slots; but a request that has merely met two such ends is not rare while another one
	// ends workers: its second attempt goes where that one goes next.
	CrashesToRefuse = 3
	// endsToWatch is the number of ends from which hosts report if a worker answers the
	// request after all.
	endsToWatch = CrashesToRefuse - 1
	// refuseFor is how long a request is refused after the last end under it. Chosen, not
	// measured: a caller that goes on sending it then costs a worker every ten minutes, and
	// one whose workers were replaced by better ones waits no longer.
	refuseFor = 10 * time.Minute
	// Retention is how long after the last end a request is remembered: one that is let
	// through after refuseFor and ends another worker is refused again at once. Chosen, not
	// measured.
	Retention = time.Hour
	// sameEnd is the time within which reports of the end of a worker mean the same end:
	// reports are some poll intervals old, and a process needs longer to start again.
	sameEnd = time.Second
	// AnswerReportWindow is the time that hosts have to report answers before a request is refused:
	// a list reaches them through hubs, and their polls come back, in less. Measured with
	// ends that are proved 3 s late, 40 seeds: a popular request was refused in none; one that
	// ends workers was sent more than three times after that in none, in one with 600 ms.
	AnswerReportWindow = 400 * time.Millisecond
	// transit is the difference that ages allow for between two hosts' reports: they lack
	// the time that a message was on its way.
	transit = 100 * time.Millisecond
)
