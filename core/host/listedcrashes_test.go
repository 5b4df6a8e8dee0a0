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

// These tests guard against a request that crashes the targets of a listed fleet: each arrival, at
// any host, crashes three as it is retried.

// listedTarget simulates a target that crashes under bad requests.
type listedTarget struct {
	config.Target
	incarnation uint64
	running     []listedAttempt
	restartAt   time.Time
}

// listedAttempt is an attempt in progress at a listedTarget.
type listedAttempt struct {
	dispatch host.Dispatch
	at       ident.Host
	bad      bool
	due      time.Time
}

// listedFleet simulates hosts of a listed fleet that exchange heartbeats, and targets of a plain
// service.
type listedFleet struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	states  map[ident.Host]host.State
	order   []ident.Host
	targets map[ident.Target]*listedTarget
	packets []seededPacket
	// partitioned hosts neither send nor receive messages.
	partitioned map[ident.Host]bool
	crashes     []time.Time
	sentAt      []time.Time
	verdicts    map[ident.Request]host.Verdict
	count       int
	// decline, if set, returns the backoff that a target requests from a host as it declines a
	// request, or 0 if it accepts it.
	decline func(target ident.Target, at ident.Host) time.Duration
}

func newListedFleet(t *testing.T, hosts, targets int) *listedFleet {
	f := &listedFleet{
		t: t, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(4, 4)), states: map[ident.Host]host.State{},
		targets: map[ident.Target]*listedTarget{}, partitioned: map[ident.Host]bool{}, verdicts: map[ident.Request]host.Verdict{},
	}
	changes := make([]config.Change, 0, hosts+targets+2)
	changes = append(changes,
		config.PutService{Service: config.Service{ID: "floor", Kind: config.KindPlain}},
		config.PutAccount{Account: config.Account{ID: "a", KeyHash: keyHashOf("a")}},
	)
	for i := range targets {
		target := config.Target{ID: ident.Target(fmt.Sprint("t", i)), Service: "floor", Zone: "z0", Address: fmt.Sprint("127.0.1.", i, ":1"), Slots: 8}
		f.targets[target.ID] = &listedTarget{Target: target, incarnation: 1}
		changes = append(changes, config.PutTarget{Target: target})
	}
	for i := range hosts {
		id := ident.Host(fmt.Sprint("h", i))
		f.order = append(f.order, id)
		changes = append(changes, config.PutHost{Host: config.Host{ID: id, Zone: "z0", Address: fmt.Sprint("127.0.0.", i, ":3"), Serves: true}})
	}
	var cfg config.Config
	for _, ch := range changes {
		cfg = mustApply(cfg, ch)
	}
	for _, id := range f.order {
		f.start(id, cfg, 1)
	}
	f.advance(3 * time.Second)
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
			f.packets = append(f.packets, seededPacket{id, e.To, e.Message})
		case host.Dispatch:
			f.dispatch(id, e)
		case host.Finish:
			f.verdicts[e.Request] = e.Verdict
		case host.Probe:
			one := f.targets[e.Target.ID]
			down := !one.restartAt.IsZero()
			f.reduce(id, host.LoadReported{Target: e.Target.ID, Failed: down, Refused: down, Incarnation: one.incarnation, Seq: uint64(f.now.UnixMilli())})
		}
	}
}

func (f *listedFleet) dispatch(at ident.Host, d host.Dispatch) {
	one := f.targets[d.Target.ID]
	if !one.restartAt.IsZero() {
		f.reduce(at, host.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: outcome.NeverSent{Reason: "refused", ConnectRefused: true}})
		return
	}
	if f.decline != nil {
		if backoff := f.decline(d.Target.ID, at); backoff > 0 {
			f.reduce(at, host.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: outcome.Declined{Reason: "busy", RetryAfter: backoff}})
			return
		}
	}
	a := listedAttempt{dispatch: d, at: at, bad: d.Request[0] == 'b', due: f.now.Add(400 * time.Millisecond)}
	if a.bad {
		a.due = f.now.Add(crashDelay)
		f.sentAt = append(f.sentAt, f.now)
	}
	one.running = append(one.running, a)
}

// advance lets d pass.
func (f *listedFleet) advance(d time.Duration) {
	for range int(d / tickInterval) {
		f.now = f.now.Add(tickInterval)
		for i := range len(f.targets) {
			f.step(f.targets[ident.Target(fmt.Sprint("t", i))])
		}
		for _, id := range f.order {
			f.reduce(id, host.Tick{})
		}
		for len(f.packets) > 0 {
			p := f.packets[0]
			f.packets = f.packets[1:]
			if _, known := f.states[p.to]; known && !f.partitioned[p.from] && !f.partitioned[p.to] {
				f.reduce(p.to, host.MessageReceived{From: p.from, Message: p.message})
			}
		}
	}
}

func (f *listedFleet) step(one *listedTarget) {
	if !one.restartAt.IsZero() {
		if f.now.Before(one.restartAt) {
			return
		}
		one.restartAt, one.incarnation = time.Time{}, one.incarnation+1
	}
	due := slices.IndexFunc(one.running, func(a listedAttempt) bool { return a.bad && !f.now.Before(a.due) })
	running := one.running
	one.running = nil
	if due >= 0 {
		one.restartAt = f.now.Add(workerDowntime)
		f.crashes = append(f.crashes, f.now)
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
		f.reduce(a.at, host.AttemptEnded{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Result: result})
	}
}

// arrive sends a request to a host: kind is "b" for one that crashes targets, "g" for any other.
func (f *listedFleet) arrive(at ident.Host, kind string, digest uint64) {
	f.count++
	id := ident.Request(fmt.Sprint(kind, f.count))
	f.reduce(at, host.RequestArrived{Request: host.Request{
		ID: id, KeyHash: keyHashOf("a"), Service: "floor", Path: "/work", Digest: digest, Deadline: f.now.Add(10 * time.Second),
	}})
}

// runLoad sends the same bad request every half second, and others continuously.
func (f *listedFleet) runLoad(d time.Duration) {
	for range int(d / (2 * tickInterval)) {
		if f.count%5 == 0 {
			f.arrive(f.order[f.random.IntN(len(f.order))], "b", 77)
		}
		f.arrive(f.order[f.random.IntN(len(f.order))], "g", uint64(1000+f.count))
		f.advance(2 * tickInterval)
	}
}

// sentAfterCrashes counts how often the bad request was sent more than crashSpreadTime after its
// third crash.
func (f *listedFleet) sentAfterCrashes() int {
	n := 0
	for _, at := range f.sentAt {
		if len(f.crashes) >= 3 && at.After(f.crashes[2].Add(crashSpreadTime)) {
			n++
		}
	}
	return n
}

// TestListedFleetRefusesCrashingRequest guards against a request that crashes target after target:
// after three crashes it must be refused by all hosts, and all others answered.
func TestListedFleetRefusesCrashingRequest(t *testing.T) {
	f := newListedFleet(t, 5, 20)
	f.runLoad(15 * time.Second)
	f.advance(2 * time.Second)
	require.GreaterOrEqual(t, len(f.crashes), 3, "the bad request crashed too few targets")
	require.LessOrEqual(t, f.sentAfterCrashes(), maxSentAfterCrashes, "%d crashes in total", len(f.crashes))
	for id, v := range f.verdicts {
		if id[0] == 'g' {
			require.NotEqual(t, host.CodeCrashesTargets, v.Code, "%s: %s", id, v.Reason)
		}
	}
}

// TestListedHostsShareRefusals guards against hosts that, after a restart or a partition, still
// send a request refused by the others.
func TestListedHostsShareRefusals(t *testing.T) {
	f := newListedFleet(t, 4, 20)
	f.partitioned["h3"] = true
	f.runLoad(8 * time.Second)
	require.GreaterOrEqual(t, len(f.crashes), 3, "the bad request crashed too few targets")
	f.partitioned["h3"] = false
	for _, id := range []ident.Host{"h0", "h1"} {
		f.start(id, f.states[id].Config(), 2)
	}
	f.advance(3 * time.Second)
	sent := len(f.sentAt)
	for _, id := range f.order {
		f.arrive(id, "b", 77)
		f.advance(tickInterval)
	}
	require.Equal(t, sent, len(f.sentAt))
	last := f.verdicts[ident.Request(fmt.Sprint("b", f.count))]
	require.Equal(t, host.CodeCrashesTargets, last.Code)
	require.Equal(t, outcome.NotRun, last.Outcome)
	require.Positive(t, last.RetryAfter)
}
