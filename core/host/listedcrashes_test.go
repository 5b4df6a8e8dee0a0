// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// Seen: nothing; found by reading, when requests that end their workers were refused in
// fleets with a route table.
//
// Course: in a listed fleet such a request that may run twice ends three targets with each
// arrival, as it is tried again each time, and any host takes it again.
//
// Cause: the same; hosts judge targets by attempts, never requests by what became of targets.
//
// Proof: here, where it is sent on for as long as it comes.

// listedTarget is a target that ends under bad requests.
type listedTarget struct {
	config.Target
	boot    uint64
	running []listedAttempt
	backAt  time.Time
}

type listedAttempt struct {
	host host.Dispatch
	at   ident.Host
	bad  bool
	due  time.Time
}

// listedFleet is some hosts of a listed fleet, which hear each other's heartbeats, before
// targets of a plain service.
type listedFleet struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	states  map[ident.Host]host.State
	order   []ident.Host
	targets map[ident.Target]*listedTarget
	wire    []seededPacket
	// deaf hosts neither send nor hear.
	deaf     map[ident.Host]bool
	ends     []time.Time
	sent     []time.Time
	verdicts map[ident.Request]host.Verdict
	count    int
	// decline, where set, tells for how long a target asks a host for no requests as it declines;
	// 0 where it takes the request.
	decline func(target ident.Target, at ident.Host) time.Duration
}

func newListedFleet(t *testing.T, hosts, targets int) *listedFleet {
	f := &listedFleet{
		t: t, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(4, 4)), states: map[ident.Host]host.State{},
		targets: map[ident.Target]*listedTarget{}, deaf: map[ident.Host]bool{}, verdicts: map[ident.Request]host.Verdict{},
	}
	changes := make([]config.Change, 0, hosts+targets+2)
	changes = append(changes,
		config.PutService{Service: config.Service{ID: "floor", Kind: config.KindPlain}},
		config.PutAccount{Account: config.Account{ID: "a", KeyHash: keyOf("a")}},
	)
	for i := range targets {
		target := config.Target{ID: ident.Target(fmt.Sprint("t", i)), Service: "floor", Zone: "z0", Address: fmt.Sprint("127.0.1.", i, ":1"), Slots: 8}
		f.targets[target.ID] = &listedTarget{Target: target, boot: 1}
		changes = append(changes, config.PutTarget{Target: target})
	}
	for i := range hosts {
		id := ident.Host(fmt.Sprint("h", i))
		f.order = append(f.order, id)
		changes = append(changes, config.PutHost{Host: config.Host{ID: id, Zone: "z0", Address: fmt.Sprint("127.0.0.", i, ":3"), Serves: true}})
	}
	var cfg config.Config
	for _, ch := range changes {
		cfg = must(cfg, ch)
	}
	for _, id := range f.order {
		f.start(id, cfg, 1)
	}
	f.pass(3 * time.Second)
	return f
}

func (f *listedFleet) start(id ident.Host, cfg config.Config, incarnation uint64) {
	f.states[id] = host.New(host.Settings{ID: id, Zone: "z0", Serves: true, Incarnation: incarnation}, 1, f.now)
	f.reduce(id, host.MessageReceived{From: "state", Message: host.WholeConfig{Leader: "state", Fresh: true, Document: cfg.Document()}})
}

func (f *listedFleet) reduce(id ident.Host, ev host.Event) {
	next, effects := host.Reduce(f.states[id], ev, f.now)
	f.states[id] = next
	for _, e := range effects {
		switch e := e.(type) {
		case host.Send:
			f.wire = append(f.wire, seededPacket{id, e.To, e.Message})
		case host.Dispatch:
			f.dispatch(id, e)
		case host.Finish:
			f.verdicts[e.Request] = e.Verdict
		case host.Probe:
			one := f.targets[e.Target.ID]
			down := !one.backAt.IsZero()
			f.reduce(id, host.LoadReported{Target: e.Target.ID, Failed: down, Refused: down, Boot: one.boot, Seq: uint64(f.now.UnixMilli())})
		}
	}
}

func (f *listedFleet) dispatch(at ident.Host, d host.Dispatch) {
	one := f.targets[d.Target.ID]
	if !one.backAt.IsZero() {
		f.reduce(at, host.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: outcome.NeverSent{Reason: "refused", ConnectRefused: true}})
		return
	}
	if f.decline != nil {
		if backoff := f.decline(d.Target.ID, at); backoff > 0 {
			f.reduce(at, host.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: outcome.Declined{Reason: "busy", RetryAfter: backoff}})
			return
		}
	}
	a := listedAttempt{host: d, at: at, bad: d.Request[0] == 'b', due: f.now.Add(400 * time.Millisecond)}
	if a.bad {
		a.due = f.now.Add(crashAfter)
		f.sent = append(f.sent, f.now)
	}
	one.running = append(one.running, a)
}

// pass lets time pass.
func (f *listedFleet) pass(d time.Duration) {
	for range int(d / tickTime) {
		f.now = f.now.Add(tickTime)
		for i := range len(f.targets) {
			f.step(f.targets[ident.Target(fmt.Sprint("t", i))])
		}
		for _, id := range f.order {
			f.reduce(id, host.Tick{})
		}
		for len(f.wire) > 0 {
			p := f.wire[0]
			f.wire = f.wire[1:]
			if _, known := f.states[p.to]; known && !f.deaf[p.from] && !f.deaf[p.to] {
				f.reduce(p.to, host.MessageReceived{From: p.from, Message: p.message})
			}
		}
	}
}

func (f *listedFleet) step(one *listedTarget) {
	if !one.backAt.IsZero() {
		if f.now.Before(one.backAt) {
			return
		}
		one.backAt, one.boot = time.Time{}, one.boot+1
	}
	due := slices.IndexFunc(one.running, func(a listedAttempt) bool { return a.bad && !f.now.Before(a.due) })
	running := one.running
	one.running = nil
	if due >= 0 {
		one.backAt = f.now.Add(workerBack)
		f.ends = append(f.ends, f.now)
	}
	for _, a := range running {
		var result outcome.Attempt = outcome.Answered{Status: 200}
		switch {
		case due >= 0:
			result = outcome.Interrupted{Reason: "unexpected EOF"}
		case f.now.Before(a.due):
			one.running = append(one.running, a)
			continue
		}
		f.reduce(a.at, host.AttemptEnded{Request: a.host.Request, Attempt: a.host.Attempt, Result: result})
	}
}

// arrive sends a request to a host: kind is b for one that ends targets, g for any other.
func (f *listedFleet) arrive(at ident.Host, kind string, digest uint64) {
	f.count++
	id := ident.Request(fmt.Sprint(kind, f.count))
	f.reduce(at, host.RequestArrived{Request: host.Request{
		ID: id, KeyHash: keyOf("a"), Service: "floor", Path: "/work", Digest: digest, Deadline: f.now.Add(10 * time.Second),
	}})
}

// load lets the same bad request come each half second, and others all the time.
func (f *listedFleet) load(d time.Duration) {
	for range int(d / (2 * tickTime)) {
		if f.count%5 == 0 {
			f.arrive(f.order[f.random.IntN(len(f.order))], "b", 77)
		}
		f.arrive(f.order[f.random.IntN(len(f.order))], "g", uint64(1000+f.count))
		f.pass(2 * tickTime)
	}
}

// sentSince is how often the bad request was sent since its third end and the time that
// hosts have to learn of it.
func (f *listedFleet) sentSince() int {
	n := 0
	for _, at := range f.sent {
		if len(f.ends) >= 3 && at.After(f.ends[2].Add(contact)) {
			n++
		}
	}
	return n
}

// TestRequestThatEndsTargetsOfAListedFleet has the same request come again at any of five
// hosts: it is sent no more once three targets ended under it, and all others are answered.
func TestRequestThatEndsTargetsOfAListedFleet(t *testing.T) {
	f := newListedFleet(t, 5, 20)
	f.load(15 * time.Second)
	f.pass(2 * time.Second)
	require.GreaterOrEqual(t, len(f.ends), 3, "the load that it is about")
	require.LessOrEqual(t, f.sentSince(), maxSentOn, "%d ends in all", len(f.ends))
	for id, v := range f.verdicts {
		if id[0] == 'g' {
			require.NotEqual(t, host.CodeCrashesTargets, v.Code, "%s: %s", id, v.Reason)
		}
	}
}

// TestListedHostsTeachEachOther has hosts start again, one of them while it is deaf, after
// the others have come to refuse the request: they refuse it soon after they are back.
func TestListedHostsTeachEachOther(t *testing.T) {
	f := newListedFleet(t, 4, 20)
	f.deaf["h3"] = true
	f.load(8 * time.Second)
	require.GreaterOrEqual(t, len(f.ends), 3, "the load that it is about")
	f.deaf["h3"] = false
	for _, id := range []ident.Host{"h0", "h1"} {
		f.start(id, f.states[id].Config(), 2)
	}
	f.pass(3 * time.Second)
	sent := len(f.sent)
	for _, id := range f.order {
		f.arrive(id, "b", 77)
		f.pass(tickTime)
	}
	require.Equal(t, sent, len(f.sent))
	last := f.verdicts[ident.Request(fmt.Sprint("b", f.count))]
	require.Equal(t, host.CodeCrashesTargets, last.Code)
	require.Equal(t, outcome.NotRun, last.Outcome)
	require.Positive(t, last.RetryAfter)
}
