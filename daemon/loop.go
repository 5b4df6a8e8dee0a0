// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/yardhall/yardhall/callers"
	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/peers"
	"github.com/yardhall/yardhall/targets"
)

const (
	// tickInterval is the time between two Ticks of the core.
	tickInterval = 50 * time.Millisecond
	// eventQueue bounds the events that wait for the core.
	eventQueue = 8192
	// callEvents bounds the effects of one call that wait for its handler; the
	// core emits at most maxTries dispatches and one end.
	callEvents = 8
)

// loop feeds events to the core one at a time and carries out its effects.
type loop struct {
	log     logr.Logger
	notes   *noteLog
	now     func() time.Time
	events  chan host.Event
	state   atomic.Pointer[host.State]
	pool    *peers.Pool
	targets *targets.Client
	disk    *diskWriter
	done    chan struct{}
	reduced *expvar.Int
	answers *callers.Answers
	delays  *delays
	pace    pace

	// reducing is held while an event is reduced and its effects carried out.
	reducing sync.Mutex
	mu       sync.Mutex
	calls    map[ident.Request]chan host.Effect
	writes   map[string]chan writeAnswer
	reads    map[string]chan bool
	// waits take the next decision for each request that was told to wait; under
	// reducing.
	waits map[ident.Request]chan requests.Decision
}

type writeAnswer struct {
	result catalog.Result
	known  bool
}

func newLoop(s host.State, log logr.Logger, pool *peers.Pool, t *targets.Client) *loop {
	l := &loop{
		log: log, notes: newNoteLog(log), now: time.Now, events: make(chan host.Event, eventQueue), pool: pool, targets: t,
		done: make(chan struct{}), calls: map[ident.Request]chan host.Effect{}, writes: map[string]chan writeAnswer{},
		reads:   map[string]chan bool{},
		waits:   map[ident.Request]chan requests.Decision{},
		reduced: new(expvar.Int), answers: &callers.Answers{}, delays: newDelays(log), pace: newPace(),
	}
	l.state.Store(&s)
	return l
}

// post hands an event to the core, unless the process has stopped.
func (l *loop) post(ev host.Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
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
			l.pace.ticked(l.delays.ticked(l.now(), len(l.events), l.state.Load().Counters()))
			l.reduce(ctx, host.Tick{})
		case ev := <-l.events:
			l.reduce(ctx, ev)
		}
	}
}

// reduce feeds one event and carries out what comes of it, but for what is meant
// for who brought the event, which it returns: the gateway's decisions and answers
// to workers.
func (l *loop) reduce(ctx context.Context, ev host.Event) []host.Effect {
	l.reducing.Lock()
	defer l.reducing.Unlock()
	next, effects := host.Reduce(*l.state.Load(), ev, l.now())
	l.state.Store(&next)
	l.reduced.Add(1)
	var own []host.Effect
	for _, e := range effects {
		switch e := e.(type) {
		case host.RequestDecision:
			if !l.toWaiting(e.Decision) {
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

// toWaiting hands a decision to the request that waits for it, and tells whether one
// does. The caller holds reducing.
func (l *loop) toWaiting(d requests.Decision) bool {
	var id ident.Request
	switch d := d.(type) {
	case requests.Wait:
		l.waits[d.Request] = make(chan requests.Decision, 1)
		return false
	case requests.Dispatch:
		id = d.Request
	case requests.Finish:
		id = d.Request
	}
	ch, ok := l.waits[id]
	if ok {
		ch <- d
	}
	return ok
}

// Await implements requests.Core.
func (l *loop) Await(ctx context.Context, id ident.Request) requests.Decision {
	l.reducing.Lock()
	ch := l.waits[id]
	l.reducing.Unlock()
	defer func() {
		l.reducing.Lock()
		delete(l.waits, id)
		l.reducing.Unlock()
	}()
	select {
	case d := <-ch:
		return d
	case <-ctx.Done():
		// Either this or an earlier event has decided on the request.
		l.reduce(context.Background(), host.RequestEvent{Event: requests.Withdrawn{Request: id}})
	case <-l.done:
		return nil
	}
	select {
	case d := <-ch:
		return d
	case <-l.done:
		return nil
	}
}

// Route implements requests.Core: it runs on the caller's goroutine, as each
// decision concerns the request that asked.
func (l *loop) Route(ev requests.Event) []requests.Decision {
	var decisions []requests.Decision
	for _, e := range l.reduce(context.Background(), host.RequestEvent{Event: ev}) {
		if r, ok := e.(host.RequestDecision); ok {
			decisions = append(decisions, r.Decision)
		}
	}
	return decisions
}

// Hear implements platform.Core: it feeds a worker's word and returns the answer.
func (l *loop) Hear(ev host.Event) host.HeartbeatAnswer {
	for _, e := range l.reduce(context.Background(), ev) {
		if a, ok := e.(host.HeartbeatAnswer); ok {
			return a
		}
	}
	return host.HeartbeatAnswer{}
}

// Limits implements requests.Core.
func (l *loop) Limits() config.Limits { return l.state.Load().Config().Gateway.Limits }

// Draining implements requests.Core.
func (l *loop) Draining() bool { return l.state.Load().Draining() }

// Confirm tells whether the configuration held is the newest one, as a leader
// says after the call began.
func (l *loop) Confirm(ctx context.Context, limit time.Duration) bool {
	id := uuid.NewString()
	ch := make(chan bool, 1)
	l.mu.Lock()
	l.reads[id] = ch
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.reads, id)
		l.mu.Unlock()
	}()
	l.reduce(ctx, host.Read{ID: id, Deadline: l.now().Add(limit)})
	select {
	case ok := <-ch:
		return ok
	case <-ctx.Done():
	case <-l.done:
	}
	return false
}

func (l *loop) answerRead(e host.AnswerRead) {
	l.mu.Lock()
	ch, ok := l.reads[e.ID]
	l.mu.Unlock()
	if ok {
		ch <- e.OK
	}
}

func (l *loop) carryOut(ctx context.Context, e host.Effect) {
	switch e := e.(type) {
	case host.Send:
		l.pool.Send(e.To, e.Message)
	case host.Persist:
		l.disk.queue(e.Persist)
	case host.Dispatch:
		l.toCall(e.Request, e, false)
	case host.Finish:
		l.toCall(e.Request, e, true)
	case host.Probe:
		go l.probe(ctx, e.Target)
	case host.SendOrder:
		go l.order(ctx, e)
	case host.AnswerWrite:
		l.answerWrite(e)
	case host.Note:
		l.notes.observe(e)
	case host.LookUp:
		l.lookUp(e)
	case host.KnowHosts:
		l.pool.Know(e.Hosts)
	case host.AnswerRead:
		l.answerRead(e)
	}
}

// lookUp sends a kept answer to the host that asked for it.
func (l *loop) lookUp(e host.LookUp) {
	m := host.AnswerOf{For: e.For, Answer: l.answers.Get(e.Request)}
	if self := l.state.Load().ID(); e.To == self {
		// The loop cannot wait for itself.
		go l.post(host.Received{From: self, Message: m})
		return
	}
	l.pool.Send(e.To, m)
}

func (l *loop) toCall(id ident.Request, e host.Effect, last bool) {
	l.mu.Lock()
	ch, ok := l.calls[id]
	if last {
		delete(l.calls, id)
	}
	l.mu.Unlock()
	if !ok {
		return
	}
	ch <- e
	if last {
		close(ch)
	}
}

// Begin implements callers.Core.
func (l *loop) Begin(r host.Request) <-chan host.Effect {
	ch := make(chan host.Effect, callEvents)
	l.mu.Lock()
	l.calls[r.ID] = ch
	l.mu.Unlock()
	l.post(host.Arrived{Request: r})
	return ch
}

// Ended implements callers.Core.
func (l *loop) Ended(ev host.AttemptEnded) { l.post(ev) }

// Config implements callers.Core.
func (l *loop) Config() config.Config { return l.state.Load().Config() }

// Ready implements callers.Core.
func (l *loop) Ready() bool { return l.state.Load().Ready() }

// Write submits a write and waits for its answer, until ctx ends or the core
// gives it up. known is false where it may or may not have been done.
func (l *loop) Write(ctx context.Context, w catalog.Write, limit time.Duration) (result catalog.Result, known bool) {
	ch := make(chan writeAnswer, 1)
	l.mu.Lock()
	l.writes[w.ID] = ch
	l.mu.Unlock()
	l.reduce(ctx, host.Submitted{Write: w, Deadline: l.now().Add(limit)})
	select {
	case a := <-ch:
		return a.result, a.known
	case <-ctx.Done():
	case <-l.done:
	}
	l.mu.Lock()
	delete(l.writes, w.ID)
	l.mu.Unlock()
	return catalog.Result{}, false
}

func (l *loop) answerWrite(e host.AnswerWrite) {
	l.mu.Lock()
	ch, ok := l.writes[e.ID]
	delete(l.writes, e.ID)
	l.mu.Unlock()
	if ok {
		ch <- writeAnswer{result: e.Result, known: e.Known}
	}
}

// State returns the newest state of the core, which is immutable.
func (l *loop) State() host.State { return *l.state.Load() }

// Post hands an event of the operators' port to the core.
func (l *loop) Post(ev host.Event) { l.reduce(context.Background(), ev) }

func (l *loop) probe(ctx context.Context, t config.Target) {
	load, err := l.targets.Load(ctx, t.Address)
	if ctx.Err() != nil {
		return
	}
	l.post(host.Reported{
		Target: t.ID, Failed: err != nil, Boot: load.Boot, Seq: load.Seq, InFlight: load.InFlight, Leaving: load.Leaving,
	})
}

// orderTimeout bounds an order to an engine, loading included.
const orderTimeout = 4 * time.Minute

func (l *loop) order(ctx context.Context, e host.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := l.targets.Order(ctx, targets.FencedOrder{
		Address: e.Order.Target.Address, NotAfter: e.Order.NotAfter, ReadFirst: e.ReadFirst,
		Body: targets.OrderBody{Token: e.Order.Token, Action: e.Order.Action, Model: e.Order.Model},
	}, l.now)
	ended := host.OrderEnded{Order: e.Order, OK: err == nil}
	if err != nil {
		ended.Error = err.Error()
	}
	l.post(ended)
}
