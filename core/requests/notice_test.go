// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// decliningEngines are engines that decline all that they get within a time, and say each
// time for how long they want nothing more.
type decliningEngines struct {
	ids      map[ident.Target]bool
	from, to time.Time
	backoff  time.Duration
	// until is when each one wants something again, tooEarly counts what came before.
	until    map[ident.Target]time.Time
	tooEarly map[ident.Target]int
}

// take is what becomes of an attempt at now: what the worker says of itself, and the result.
func (e *decliningEngines) take(id ident.Target, now time.Time) (requests.Notice, outcome.Attempt) {
	if now.Before(e.until[id]) {
		e.tooEarly[id]++
	}
	if !e.ids[id] || now.Before(e.from) || !now.Before(e.to) {
		return requests.Notice{}, outcome.Answered{Status: 200}
	}
	e.until[id] = now.Add(e.backoff)
	return requests.Notice{Backoff: e.backoff}, outcome.Declined{Reason: "full", RetryAfter: e.backoff}
}

// TestWorkersThatWantNothingGetNothing tells of three engines of nine, one a zone, that
// declined all that they got for nine seconds and asked each host for 3 s without requests.
// Hosts sent them 5 and 7 requests within such a time, and refused a third of their callers.
//
// A host passed over a worker that declined for a time of its own, 0.2 s, and did not read for
// how long the worker wanted nothing. An engine that declines everything has no requests, so
// that it then looked like the least loaded one; and where a route allows one worker only, the
// same request went to the same engine up to three times more. Lines of both kinds of attempts,
// with what the engine had asked for before, proved that.
func TestWorkersThatWantNothingGetNothing(t *testing.T) {
	g := table()
	for i := range g.Routes {
		g.Routes[i].Objective, g.Routes[i].MaxAttempts = config.Duration(500*time.Millisecond), 1
		g.Routes[i].Timeout = config.Duration(10 * time.Second)
	}
	g.Number = 2
	s := ready(9).WithConfig(g)
	engines := &decliningEngines{
		ids:  map[ident.Target]bool{"engines-0": true, "engines-4": true, "engines-8": true},
		from: start.Add(2 * time.Second), to: start.Add(11 * time.Second), backoff: 3 * time.Second,
		until: map[ident.Target]time.Time{}, tooEarly: map[ident.Target]int{},
	}
	refused := 0
	now := start
	const gap, total = 50 * time.Millisecond, 300
	for i := range total {
		now = now.Add(gap)
		s = confirmedAt(s, now)
		r := request(fmt.Sprint("r-", i), "/once/x")
		r.Prompt = prompt(fmt.Sprint("subject-", i%30))
		next, d := arrive(t, s, r, now)
		for s = next; ; {
			sent, ok := d.(requests.Dispatch)
			if !ok {
				break
			}
			at := now.Add(sent.Pause)
			notice, result := engines.take(sent.Worker.ID, at)
			s, _ = requests.Reduce(s, requests.HeaderReceived{
				Request: sent.Request, Attempt: sent.Attempt, Worker: sent.Worker.ID, Notice: notice, Route: sent.Route.Name, Took: 20 * time.Millisecond,
			}, at)
			var decisions []requests.Decision
			s, decisions = requests.Reduce(s, requests.AttemptEnded{Request: sent.Request, Attempt: sent.Attempt, Result: result, Wanted: true}, at)
			d = only(t, decisions)
		}
		if d.(requests.Finish).Verdict.Code != requests.CodeOK {
			refused++
		}
	}
	require.Empty(t, engines.tooEarly, "requests to engines that wanted nothing")
	// Nine seconds hold three times of 3 s; each of three engines declines once in each.
	require.LessOrEqual(t, refused, 3*3)
}
