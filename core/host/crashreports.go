// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
)

// maxCrashParts bounds the parts of one reported request that count.
const maxCrashParts = 16

// CrashReport reports an attempt that was in progress when its worker's process exited, Age ago,
// after it had run for Ran. Its gob encoding depends on the field names.
type CrashReport struct {
	Content crashes.Content
	Attempt string
	Worker  ident.Target
	Ran     time.Duration
	Age     time.Duration
	Begun   bool
	// Parts are the contents of the parts that the request's prompt shares with others.
	Parts []crashes.Content
}

// CrashEntry is an entry of a crash list, updated Age ago. Its gob encoding depends on the field
// names.
type CrashEntry struct {
	Content crashes.Content
	Ends    int
	Age     time.Duration
	// Beside are the parts of prompts without which the entry refuses nothing.
	Beside []crashes.Content
	// Stamp orders the entries of a request; 0 from earlier versions and in reports of answers.
	Stamp int64
}

// crashReports returns the recent crashes detected here or reported by the clients of this hub.
func (t *transition) crashReports() []CrashReport {
	t.crashes.reportedCount = t.crashCount()
	all := t.requests.CrashReports().Recent(t.now)
	all = append(all, t.crashes.clientReports.Recent(t.now)...)
	all = append(all, t.crashes.observer.Reports().Recent(t.now)...)
	out := make([]CrashReport, 0, len(all))
	for _, r := range all {
		out = append(out, CrashReport{
			Content: r.Content, Attempt: r.Crash.Attempt, Worker: r.Crash.Worker, Ran: r.Crash.EndedAt.Sub(r.Crash.SentAt),
			Age: t.now.Sub(r.Crash.EndedAt), Begun: r.Crash.AnswerStarted, Parts: r.Parts,
		})
	}
	return out
}
