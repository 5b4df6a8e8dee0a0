// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package gateway decides what an entry host does with each request of the
// route table: whether it may run, at which worker, and what follows when a try
// fails. It does no I/O and reads no clock.
//
// # Usage
//
//	s := requests.New(requests.Settings{Zone: "hall-a"})
//	s = s.WithConfig(cfg.Gateway)
//	s, decisions := requests.Reduce(s, requests.Arrived{Request: r}, now)
//
// Every event that ends a try or a request yields exactly one decision for it.
package requests

import (
	"iter"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// Settings are the bounds that a gateway keeps. Zero fields take defaults.
type Settings struct {
	Zone ident.Zone
	// KeyLease is how long a confirmed configuration may be used for requests
	// with a key; keys taken away stop working within this time.
	KeyLease time.Duration
	// RetryShare is the part of a pool's requests that may be sent once more,
	// RetryExtra what the whole fleet may send beyond, per RetryWindow.
	RetryShare float64
	RetryExtra float64
	// LoadFactor times the mean load of a pool, plus LoadSlack, bounds an
	// engine's load.
	LoadFactor float64
	LoadSlack  float64
	// StartTime is how long a host that starts may need until it can serve; requests
	// wait for it meanwhile. 0 lets none wait.
	StartTime time.Duration
}

// Defaults of Settings.
const (
	DefaultKeyLease   = 4 * time.Second
	DefaultRetryShare = 0.1
	DefaultRetryExtra = 20
	DefaultLoadFactor = 2.0
	DefaultLoadSlack  = 2.5
)

func (s Settings) withDefaults() Settings {
	if s.KeyLease == 0 {
		s.KeyLease = DefaultKeyLease
	}
	if s.RetryShare == 0 {
		s.RetryShare = DefaultRetryShare
	}
	if s.RetryExtra == 0 {
		s.RetryExtra = DefaultRetryExtra
	}
	if s.LoadFactor == 0 {
		s.LoadFactor = DefaultLoadFactor
	}
	if s.LoadSlack == 0 {
		s.LoadSlack = DefaultLoadSlack
	}
	return s
}

// State is the gateway of one host. It is immutable; Reduce returns the next
// one. The zero State refuses everything as not ready.
type State struct {
	settings Settings
	number   uint64
	index    config.RouteIndex
	// confirmed is when the configuration held was surely the newest one.
	confirmed time.Time
	// behind is set while a newer table than the one held is known of.
	behind  bool
	workers table.Table[ident.Target, worker]
	calls   table.Table[ident.Request, call]
	budgets table.Table[ident.Service, budget]
	// heads are the times until answers begin, by route.
	heads table.Table[string, headTimes]
	// told are the requests of other hosts, by what was told at toldAt and held
	// about at toldAsOf; never changed in place.
	told     loads.Counts
	toldAt   time.Time
	toldAsOf time.Time
	// zones and abroad are what connections to workers of other zones showed.
	zones  table.Table[ident.Zone, reach]
	abroad reach
	// hosts is how many entry hosts share the fleet's budgets.
	hosts int
	// closing is set late in a planned stop.
	closing  bool
	counters Counters
	// started is when the host began to start; zero where nobody waits for it. waits
	// are the requests that do.
	started time.Time
	waits   table.Table[ident.Request, waiting]
}

// Counters count what a gateway decided; they only grow.
type Counters struct {
	Requests   uint64
	Dispatched uint64
	Retried    uint64
	Refused    uint64
	Stale      uint64
	Unknown    uint64
	// NoBudget counts retries that the budget did not allow.
	NoBudget uint64
	// Spilled counts requests kept from their first engine by its load.
	Spilled uint64
	// Waited counts requests that waited for this host to start, WaitedInVain is the
	// sum of the time of those that it then did not serve.
	Waited       uint64
	WaitedInVain time.Duration
}

// New returns a gateway without configuration.
func New(s Settings) State { return State{settings: s.withDefaults(), hosts: assumedHosts} }

// assumedHosts is the number of entry hosts until a replica has told it.
const assumedHosts = 16

// WithConfig returns the gateway with a route table in force.
func (s State) WithConfig(g config.RouteTable) State {
	if g.Number <= s.number {
		return s
	}
	s.number = g.Number
	s.index = g.Index()
	return s.forgetHeads()
}

// WithBehind returns the gateway of a host that knows, or does not know, of a newer
// route table than the one that it holds.
func (s State) WithBehind(behind bool) State {
	s.behind = behind
	return s
}

// WithHosts returns the gateway as one of n entry hosts.
func (s State) WithHosts(n int) State {
	s.hosts = max(1, n)
	return s
}

// Number is the number of the route table in force; 0 for none.
func (s State) Number() uint64 { return s.number }

// Fresh tells whether the configuration was confirmed recently enough for
// requests with a key.
func (s State) Fresh(now time.Time) bool {
	return s.number > 0 && !s.confirmed.IsZero() && now.Sub(s.confirmed) < s.settings.KeyLease
}

// Ready tells whether new connections should come to this host at now: it can serve
// keys for at least leave more, which is the time that the balancer needs to notice
// that they should not, and a host that starts knows the workers that it needs.
func (s State) Ready(now time.Time, leave time.Duration) bool {
	return s.Fresh(now.Add(leave)) && (!s.Starting(now) || s.Equipped(now))
}

// KeyLease is how long a confirmation serves keys.
func (s State) KeyLease() time.Duration { return s.settings.KeyLease }

// Confirmed is the time as of which the configuration held was surely the newest
// one; zero for never.
func (s State) Confirmed() time.Time { return s.confirmed }

// Workers yields all workers as this host knows them, in the order of their ids.
func (s State) Workers() iter.Seq[registry.Worker] {
	return func(yield func(registry.Worker) bool) {
		for _, w := range s.workers.All() {
			if !yield(w.Worker) {
				return
			}
		}
	}
}

// KnownWorkers is how many workers this host knows.
func (s State) KnownWorkers() int { return s.workers.Len() }

// Idle tells whether no request is in progress.
func (s State) Idle() bool { return s.calls.Len() == 0 && s.waits.Len() == 0 }

// Counters returns what was counted so far.
func (s State) Counters() Counters { return s.counters }

// Worker returns a worker as this host knows it.
func (s State) Worker(id ident.Target) (registry.Worker, bool) {
	w, ok := s.workers.Get(id)
	return w.Worker, ok
}

// ToldBy is the replica that told of a worker last.
func (s State) ToldBy(id ident.Target) ident.Host {
	w, _ := s.workers.Get(id)
	return w.toldBy
}

// Loads returns the requests of this host at each worker that has any.
func (s State) Loads() loads.Digest {
	own := loads.Counts{}
	for _, w := range s.workers.All() {
		if w.own > 0 {
			own[w.tag] += w.own
		}
	}
	return loads.Pack(own)
}

// Reduce is the transition of a gateway.
func Reduce(s State, ev Event, now time.Time) (State, []Decision) {
	t := turn{State: s, now: now}
	switch ev := ev.(type) {
	case Arrived:
		t.arrive(ev.Request)
	case HeadReceived:
		t.headReceived(ev)
	case HeadLate:
		t.headLate(ev)
	case AttemptEnded:
		t.attemptEnded(ev)
	case Expired:
		t.expired(ev.Request)
	case Registered:
		t.registered(ev)
	case LoadsTold:
		t.told, t.toldAt, t.toldAsOf = ev.Loads.Counts(), t.now, ev.AsOf
	case Confirmed:
		if ev.AsOf.After(t.confirmed) {
			t.confirmed = ev.AsOf
		}
	case Reached:
		if w, ok := t.workers.Get(ev.Worker); ok && ev.OK {
			t.heardFrom(w.Zone)
		}
	case Withdrawn:
		t.withdrawn(ev.Request)
	case Closing:
		t.closing = true
	case Tick:
	}
	t.serveWaiting()
	return t.State, t.out
}

// turn is the working copy of one transition.
type turn struct {
	State
	now time.Time
	out []Decision
}

// call is one request in progress.
type call struct {
	req Request
	// since is when the request arrived.
	since   time.Time
	route   config.Route
	pool    config.Pool
	account ident.Account
	rank    int
	// attempt counts the tries, sent the workers that the request may have
	// reached.
	attempt int
	sent    int
	target  ident.Target
	tried   []ident.Target
	// resends counts how often it was sent to the same worker once more.
	resends int
	// holder is the first engine that answered without success: it is alive and, as it
	// ranks first, likely keeps what the prompt shares. Empty for none.
	holder ident.Target
	// paid is set where the budget has already been charged for the next try.
	paid bool
	// worst joins the outcomes of the tries so far.
	worst outcome.Kind
}

func (t *turn) finish(id ident.Request, v Verdict) {
	t.calls = t.calls.Without(id)
	if v.Code != CodeOK {
		t.counters.Refused++
	}
	if v.Outcome == outcome.Unknown {
		t.counters.Unknown++
	}
	t.out = append(t.out, Finish{Request: id, Verdict: v, Inputs: t.inputs(choice{})})
}

// inputs gathers what a decision is made from.
func (t *turn) inputs(picked choice) Inputs {
	in := Inputs{
		Number: t.number, Mean: picked.mean, Choice: picked.place, Candidates: picked.of,
		Load: t.load(picked.worker, t.now), ConfigAge: -time.Millisecond,
	}
	if !t.confirmed.IsZero() {
		in.ConfigAge = t.now.Sub(t.confirmed)
	}
	if _, asOf := t.others(picked.worker); !asOf.IsZero() {
		in.LoadAge = t.now.Sub(asOf)
	}
	return in
}

// refuse ends a request before any worker was called.
func (t *turn) refuse(id ident.Request, code Code, reason string, after time.Duration) {
	t.finish(id, Verdict{Outcome: outcome.NotRun, Code: code, Reason: reason, RetryAfter: after})
}

// refuseHere does the same where another host can take the request.
func (t *turn) refuseHere(id ident.Request, code Code, reason string) {
	t.finish(id, Verdict{Outcome: outcome.NotRun, Code: code, Reason: reason, RetryAfter: comeBackElsewhere, Elsewhere: true})
}

const (
	// comeBack is the advice to callers where something may be repaired soon.
	comeBack = 300 * time.Millisecond
	// comeBackElsewhere is the same where another host can take the request now.
	comeBackElsewhere = 20 * time.Millisecond
	// maxConnects bounds the workers that a request finds out of reach.
	maxConnects = 4
)

// dispatch sends the call to the best worker, or ends it with v where there is
// none.
func (t *turn) dispatch(c call, v Verdict) {
	picked, ok := t.choose(c)
	w := picked.worker
	if !ok || !t.now.Before(c.req.Deadline) {
		v.Outcome = c.worst
		if v.Outcome == outcome.NotRun && v.RetryAfter == 0 {
			v.RetryAfter = comeBack
		}
		t.finish(c.req.ID, v)
		return
	}
	c.attempt++
	c.target = w.ID
	c.tried = append(c.tried[:len(c.tried):len(c.tried)], w.ID)
	t.counters.Dispatched++
	t.use(w.ID, 1)
	t.calls = t.calls.With(c.req.ID, c)
	t.out = append(t.out, t.dispatchOf(c, picked))
}

// dispatchOf is the next try of a call at the worker picked.
func (t *turn) dispatchOf(c call, picked choice) Dispatch {
	head, stall := c.patience()
	return Dispatch{
		Request: c.req.ID, Attempt: c.attempt, Worker: picked.worker.Worker, Route: c.route,
		Account: c.account, Rank: c.rank, Deadline: c.req.Deadline, Engine: c.pool.Engine,
		CacheFrom: picked.cacheFrom, HeadWait: head, Stall: stall, Inputs: t.inputs(picked),
	}
}

// expired ends a request whose time is over.
func (t *turn) expired(id ident.Request) {
	c, ok := t.calls.Get(id)
	if !ok {
		return
	}
	t.use(c.target, -1)
	t.finish(id, Verdict{Outcome: outcome.Worst(c.worst, outcome.Unknown), Code: CodeDeadline, Reason: "the deadline has passed"})
}
