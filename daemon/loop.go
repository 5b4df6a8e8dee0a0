// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/yardhall/yardhall/callers"
	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/peers"
	"github.com/yardhall/yardhall/targets"
)

const (
	// tickInterval is the time between two Ticks of the core.
	tickInterval = 50 * time.Millisecond
	// eventQueue bounds the events that wait for the core. Chosen, not measured.
	eventQueue = 8192
	// callEvents bounds the effects of one call that wait for its handler; the
	// core emits at most maxAttempts dispatches and one end.
	callEvents = 8
)

// loop feeds events to the core one at a time and carries out its effects.
type loop struct {
	log     logr.Logger
	notes   *noteLog
	now     func() time.Time
	inbox   *inbox
	state   atomic.Pointer[host.State]
	pool    *peers.Pool
	targets *targets.Client
	disk    *diskWriter
	crashes *crashKeeper
	// origins writes the origins of streams that a replica keeps.
	origins *originWriter
	// departureDisk writes the departures that a replica keeps.
	departureDisk *departureWriter
	done          chan struct{}
	reduced       *expvar.Int
	answers       *callers.ResponseCache
	delays        *delays
	pace          pace

	// rejectedOrders counts orders of rollouts that were answered with 400.
	rejectedOrders expvar.Int
	// suspended is for how long the machine was suspended, as the core knows; under reducing.
	suspended time.Duration
	// reducing is held while an event is reduced and its effects carried out.
	reducing sync.Mutex
	mu       sync.Mutex
	calls    map[ident.Request]chan host.Effect
	writes   map[string]chan writeAnswer
	reads    map[string]chan bool
	// departures are the answers to workers that leave.
	departures departureWaits
	// probeWorker connects to a worker in the background.
	probeWorker func(requests.ProbeConnection)
	// breakOff ends an attempt whose worker has ended; it does not wait.
	breakOff func(requests.AbortAttempt)
	// waits take the next decision for each request that waits; under
	// reducing.
	waits map[ident.Request]chan requests.Decision
}

func newLoop(s host.State, log logr.Logger, pool *peers.Pool, t *targets.Client) *loop {
	l := &loop{
		log: log, notes: newNoteLog(log), now: clock.Now, inbox: newInbox(), pool: pool, targets: t,
		done: make(chan struct{}), calls: map[ident.Request]chan host.Effect{}, writes: map[string]chan writeAnswer{},
		reads:    map[string]chan bool{},
		breakOff: func(requests.AbortAttempt) {}, probeWorker: func(requests.ProbeConnection) {},
		waits:   map[ident.Request]chan requests.Decision{},
		reduced: new(expvar.Int), answers: &callers.ResponseCache{}, delays: newDelays(log), pace: newPace(),
	}
	l.state.Store(&s)
	return l
}

// post hands an event to the core, unless the process has stopped.
func (l *loop) post(ev host.Event) {
	l.inbox.put(ev, l.done)
}

// run reduces events until ctx ends.
func (l *loop) run(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.tick(ctx)
			continue
		case ev := <-l.inbox.log:
			l.reduce(ctx, ev)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.tick(ctx)
		case ev := <-l.inbox.log:
			l.reduce(ctx, ev)
		case ev := <-l.inbox.events:
			l.reduce(ctx, ev)
		case <-l.inbox.polls.waiting:
			if m, ok := l.inbox.polls.take(); ok {
				l.reduce(ctx, m)
			}
		}
	}
}

func (l *loop) tick(ctx context.Context) {
	l.pace.ticked(l.delays.ticked(l.now(), l.inbox.len(), l.state.Load().Counters()))
	for _, e := range l.reduce(ctx, host.Tick{}) {
		if r, ok := e.(host.RequestDecision); ok {
			l.handleTickDecision(r.Decision)
		}
	}
}

// handleTickDecision carries out a decision that no request waits for.
func (l *loop) handleTickDecision(d requests.Decision) {
	if p, ok := d.(requests.ProbeConnection); ok {
		l.probeWorker(p)
	}
}

// reduce feeds one event and carries out what comes of it, but for what is meant
// for who brought the event, which it returns: the gateway's decisions and answers
// to workers.
func (l *loop) reduce(ctx context.Context, ev host.Event) []host.Effect {
	l.reducing.Lock()
	defer l.reducing.Unlock()
	now := l.now()
	l.noteSuspension(now)
	next, effects := host.Reduce(*l.state.Load(), ev, now)
	l.state.Store(&next)
	l.reduced.Add(1)
	var own []host.Effect
	for _, e := range effects {
		switch e := e.(type) {
		case host.RequestDecision:
			if b, ok := e.Decision.(requests.AbortAttempt); ok {
				l.breakOff(b)
			} else if !l.toWaiting(e.Decision) {
				own = append(own, e)
			}
		case host.HeartbeatAnswer:
			own = append(own, e)
		default:
			l.carryOut(ctx, e)
		}
	}
	return own
}

// noteSuspension tells the core where the machine has been suspended. The caller holds
// reducing.
func (l *loop) noteSuspension(now time.Time) {
	total := clock.Suspended()
	if total == l.suspended {
		return
	}
	l.log.Info("the machine was suspended", "ms", (total - l.suspended).Milliseconds(), "in_all_ms", total.Milliseconds())
	l.suspended = total
	next, _ := host.Reduce(*l.state.Load(), host.Suspended{Total: total}, now)
	l.state.Store(&next)
}

// State returns the newest state of the core, which is immutable.
func (l *loop) State() host.State { return *l.state.Load() }

// Post hands an event of the operators' port to the core.
func (l *loop) Post(ev host.Event) { l.reduce(context.Background(), ev) }
