// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"time"

	"github.com/yardhall/yardhall/core/table"
)

const (
	// answersRemembered is how long a host remembers what was answered: longer than the
	// proofs of three ends take to come, those of the first one included.
	answersRemembered = 30 * time.Second
	// maxAnswers bounds what is remembered in half of that time, some 200 bytes each. The
	// contents that must be found are popular, and so are answered again soon.
	maxAnswers = 512
)

// RecentAnswers are the requests that a host has lately had answered, so that it can tell of those
// under which workers seem to end. It is immutable; the zero value is empty. Two halves take
// turns: what is in neither is forgotten.
type RecentAnswers struct {
	newer, older table.Table[Content, time.Time]
	since        time.Time
}

// With takes an answer that was no failure.
func (a RecentAnswers) With(content Content, now time.Time) RecentAnswers {
	if content == "" {
		return a
	}
	if a.newer.Len() >= maxAnswers || now.Sub(a.since) > answersRemembered/2 {
		a.older, a.newer, a.since = a.newer, table.Table[Content, time.Time]{}, now
	}
	a.newer = a.newer.With(content, now)
	return a
}

// LastAnswered is when a request was answered last; false where that is not known, or long ago.
func (a RecentAnswers) LastAnswered(content Content, now time.Time) (time.Time, bool) {
	at, ok := a.newer.Get(content)
	if !ok {
		at, ok = a.older.Get(content)
	}
	return at, ok && now.Sub(at) <= answersRemembered
}
