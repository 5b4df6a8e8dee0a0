// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// A worker that has died without a word, is cut off or has turned slow keeps a request
// that could be answered elsewhere. What may run again goes to another worker after
// twice its objective, if the budget of retries allows it then; if not, it goes on
// waiting. To go earlier, at the times that a host has learnt to be usual, was measured
// and is worth nothing: more engines read its prompt then (docs/decisions.md).
//
// Each host does learn how long answers of a route take to begin, the way in which RFC
// 6298 learns when a segment is lost: a smoothed time and a smoothed deviation. Pauses
// before a request is sent once more follow it.
const (
	// timeGain and deviationGain are the weights of a new time (RFC 6298: 1/8, 1/4),
	// likelyDeviations how many deviations most answers take at most.
	timeGain         = 0.125
	deviationGain    = 0.25
	likelyDeviations = 1
	// headObjectives times the route's objective is how long the head of an answer is
	// waited for, minHeadWait the least.
	headObjectives = 2
	minHeadWait    = 250 * time.Millisecond
	// stallPauses times the longest pause between events is how long a stream may rest
	// that can go on elsewhere.
	stallPauses = 4
	minStall    = time.Second
)

// headTimes are how long the answers of one route take to begin, in seconds. The zero
// value knows nothing.
type headTimes struct {
	smoothed  float64
	deviation float64
	known     bool
}

// with adds one time.
func (h headTimes) with(d time.Duration) headTimes {
	s := d.Seconds()
	if !h.known {
		return headTimes{smoothed: s, deviation: s / 2, known: true}
	}
	off := s - h.smoothed
	h.deviation += deviationGain * (max(off, -off) - h.deviation)
	h.smoothed += timeGain * off
	return h
}

// within is how long answers take at most to begin, but for those that are more than
// some deviations off.
func (h headTimes) within(deviations float64) time.Duration {
	return time.Duration((h.smoothed + deviations*h.deviation) * float64(time.Second))
}

// patience is how long the next try may wait for the head of the answer until the
// request may go elsewhere, and between events; 0 is up to the deadline. Only what may
// run again and has workers left to go to has an end of it.
func (c call) patience() (head, stall time.Duration) {
	if !c.route.Repeatable() || c.sent+1 >= c.route.MaxAttempts {
		return 0, 0
	}
	head = max(headObjectives*time.Duration(c.route.Objective), minHeadWait)
	if c.route.MaxPause > 0 {
		stall = max(stallPauses*time.Duration(c.route.MaxPause), minStall)
	}
	return head, stall
}

// learnHead takes the time until an answer began, or until it was no longer waited
// for: without the latter only fast answers would count.
func (t *turn) learnHead(route string, took time.Duration) {
	if took <= 0 {
		return
	}
	h, _ := t.heads.Get(route)
	t.heads = t.heads.With(route, h.with(took))
}

// headLate decides whether a request that has waited for the head of its answer goes
// elsewhere. The retry is paid for at once, so that it is sure.
func (t *turn) headLate(ev HeadLate) {
	c, ok := t.calls.Get(ev.Request)
	if !ok || c.attempt != ev.Attempt {
		return
	}
	t.learnHead(c.route.Name, ev.Waited)
	next := c
	next.sent++
	if !c.route.Repeatable() || !t.mayRetry(next) || len(t.usable(c)) == 0 {
		return
	}
	t.spend(c.pool.ID)
	c.paid = true
	t.calls = t.calls.With(ev.Request, c)
	t.out = append(t.out, GiveUp{Request: ev.Request})
}

// forgetHeads drops what is known of routes that are no longer in force.
func (s State) forgetHeads() State {
	for name := range s.heads.All() {
		if !s.index.Named(name) {
			s.heads = s.heads.Without(name)
		}
	}
	return s
}

// GiveUp ends the present try of a request, which will be made elsewhere.
type GiveUp struct{ Request ident.Request }

func (GiveUp) decision() {}
