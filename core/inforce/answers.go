// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package inforce

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// Answer is the answer to a write that waits until a table is in force.
type Answer struct {
	// ID names the write, To is the host that waits for its answer.
	ID     string
	To     ident.Host
	Result catalog.Result
	// Version is the table's.
	Version config.Version
}

// waitingAnswer is one of them with since when it waits, and the host for which it does.
type waitingAnswer struct {
	Answer
	since    time.Time
	waitsFor ident.Host
}

// Released is an answer whose table will be in force in time.
type Released struct {
	Answer
	// After is how long it waited, WaitedFor the last host that held it up; empty for
	// none.
	After     time.Duration
	WaitedFor ident.Host
}

// WithAnswer lets an answer wait; one that waits already under its ID stays.
func (s State) WithAnswer(a Answer, now time.Time) State {
	if !s.waiting.Has(a.ID) {
		s.waiting = s.waiting.With(a.ID, waitingAnswer{Answer: a, since: now})
	}
	return s
}

// WithoutAnswers drops all answers that wait, as a replica does that leads no more.
func (s State) WithoutAnswers() State {
	s.waiting = table.Table[string, waitingAnswer]{}
	return s
}

// Waiting is how many answers wait.
func (s State) Waiting() int { return s.waiting.Len() }

// Release takes out the answers whose tables will be in force in time. It looks at every
// lease for each answer.
func (s State) Release(set Settings, view View, now time.Time) (State, []Released) {
	var released []Released
	for id, a := range s.waiting.All() {
		ok, waitsFor := s.WillBe(a.Version, set, view, now)
		if !ok {
			a.waitsFor = waitsFor
			s.waiting = s.waiting.With(id, a)
			continue
		}
		s.waiting = s.waiting.Without(id)
		released = append(released, Released{Answer: a.Answer, After: now.Sub(a.since), WaitedFor: a.waitsFor})
	}
	return s, released
}
