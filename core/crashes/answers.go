// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"time"

	"github.com/yardhall/yardhall/core/table"
)

const (
	// answerRetention is how long a host remembers that a request was answered: longer than it
	// takes to detect three consecutive worker crashes.
	answerRetention = 30 * time.Second
	// maxAnswers bounds each generation of remembered answers, about 200 bytes each. Requests for
	// which the answers matter are popular, so they are soon answered and remembered again.
	maxAnswers = 512
)

// RecentAnswers remembers which requests a host has recently had answered, so that it can report
// those that are suspected of crashing workers. It keeps two generations and drops the older one
// as a whole. It is immutable; the zero value is empty.
type RecentAnswers struct {
	newer, older table.Table[Content, time.Time]
	newerSince   time.Time
}

// With records a successful answer.
func (a RecentAnswers) With(content Content, now time.Time) RecentAnswers {
	if content == "" {
		return a
	}
	if a.newer.Len() >= maxAnswers || now.Sub(a.newerSince) > answerRetention/2 {
		a.older, a.newer, a.newerSince = a.newer, table.Table[Content, time.Time]{}, now
	}
	a.newer = a.newer.With(content, now)
	return a
}

// LastAnswered returns when a request was last answered; false if that is unknown or longer than
// answerRetention ago.
func (a RecentAnswers) LastAnswered(content Content, now time.Time) (time.Time, bool) {
	at, ok := a.newer.Get(content)
	if !ok {
		at, ok = a.older.Get(content)
	}
	return at, ok && now.Sub(at) <= answerRetention
}
