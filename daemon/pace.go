// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"time"

	"github.com/yardhall/yardhall/common/gate"
)

// Connections of workers and operators are taken a few at a time, fewer while the
// processor is short: thousands of workers call in the same moment when a fleet starts or
// its replicas come back, and what holds the fleet together runs in the same process. The
// number of connections at work is halved with each late tick of the loop, and raised by
// one with each that is in time (additive increase, multiplicative decrease).
//
// While the processor is short, no more connections wait to be accepted than are accepted
// in backlogTime: what is accepted later is answered for callers that have left, and such
// work can take all of the processor for good.
//
// Inputs: how late the ticks of the loop are, and how many connections were accepted since
// the backlog was last set. Measured at 300 machines and 3,000 workers that start together:
// a fixed number of 16 starved the log; 1 would hold small fleets up.
const (
	// maxPace and minPace bound the new connections at work. Chosen, not measured.
	maxPace = 16
	minPace = 1
	// lateTick is how late a tick shows that the processor is short: half of a heartbeat
	// of the log; onTime that it is not.
	lateTick = 100 * time.Millisecond
	onTime   = tickInterval
	// maxBacklog and minBacklog bound the connections that wait to be accepted. Chosen,
	// not measured.
	maxBacklog = 256
	minBacklog = 16
	// backlogTime is less than the 1 s that a worker waits for an answer.
	backlogTime = 400 * time.Millisecond
	// backlogInterval is the time between two settings of the backlog. Chosen, not
	// measured.
	backlogInterval = 500 * time.Millisecond
)

// pace bounds how many connections of workers and operators are at work at once.
type pace struct{ gate *gate.Gate }

func newPace() pace { return pace{gate: gate.New(maxPace)} }

// ticked takes the delay of a tick.
func (p pace) ticked(late time.Duration) {
	switch n := p.gate.Limit(); {
	case late > lateTick && n > minPace:
		p.gate.SetLimit(max(minPace, n/2))
	case late <= onTime && n < maxPace:
		p.gate.SetLimit(n + 1)
	}
}

// short tells whether the processor has been short just now.
func (p pace) short() bool { return p.gate.Limit() < maxPace }

// backlog is how many connections may wait to be accepted. The zero value is the
// backlog of a listener that has just been opened.
type backlog struct {
	since time.Time
	count int
	set   int
}

// accepted counts an accepted connection at now, and returns another backlog where it
// is time for one.
func (b *backlog) accepted(now time.Time, short bool) (n int, changed bool) {
	b.count++
	if b.since.IsZero() {
		b.since, b.set = now, maxBacklog
	}
	passed := now.Sub(b.since)
	if passed < backlogInterval {
		return b.set, false
	}
	n = maxBacklog
	if short {
		rate := float64(b.count) / passed.Seconds()
		n = min(max(minBacklog, int(rate*backlogTime.Seconds())), maxBacklog)
	}
	changed = n != b.set
	b.since, b.count, b.set = now, 0, n
	return n, changed
}
