//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// fault is one disturbance that was put into effect.
type fault struct {
	kind  string
	nodes []node
	from  time.Time
	// to is zero while it lasts.
	to time.Time
}

func (f fault) String() string { return fmt.Sprintf("%s %v", f.kind, f.nodes) }

// touches tells whether the fault concerned a node at some moment of a span.
func (f fault) touches(n node, from, to time.Time) bool {
	if f.from.After(to) || !f.to.IsZero() && f.to.Before(from) {
		return false
	}
	for _, m := range f.nodes {
		if m == n {
			return true
		}
	}
	return false
}

// touchesAny is touches for any of several nodes.
func (f fault) touchesAny(nodes []node, from, to time.Time) bool {
	for _, n := range nodes {
		if f.touches(n, from, to) {
			return true
		}
	}
	return false
}

const (
	kindStop = "planned stop"
	kindWipe = "lost disk"
	// kindRestart is a worker that crashes and starts again, perhaps behind a cut.
	kindRestart = "worker starts again"
)

// faults draws disturbances from a seed and puts them into effect; they overlap.
type faults struct {
	fleet  *fleet
	random *rand.Rand
	done   sync.WaitGroup
	mu     sync.Mutex
	// busy are the hosts whose process is disturbed.
	busy map[node]bool
	// wiped is when a disk was lost last.
	wiped time.Time
	list  []*fault
}

func newFaults(f *fleet) *faults {
	return &faults{fleet: f, random: rand.New(rand.NewPCG(f.seed, 99)), busy: map[node]bool{}}
}

// begin notes a fault; the function returned notes its end.
func (x *faults) begin(kind string, nodes ...node) (end func()) {
	one := &fault{kind: kind, nodes: nodes, from: time.Now()}
	x.mu.Lock()
	x.list = append(x.list, one)
	x.mu.Unlock()
	return func() {
		x.mu.Lock()
		one.to = time.Now()
		x.mu.Unlock()
	}
}

// claim takes a host's process for one disturbance.
func (x *faults) claim(n node) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[n] {
		return false
	}
	x.busy[n] = true
	return true
}

func (x *faults) release(n node) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy[n] = false
}

// between draws a time.
func (x *faults) between(least, most time.Duration) time.Duration {
	return least + time.Duration(x.random.Int64N(int64(most-least)))
}

func (x *faults) anyHost() node {
	return node(1 + x.random.IntN(x.fleet.shape.replicas+x.fleet.shape.entries))
}

func (x *faults) anyReplica() node { return node(1 + x.random.IntN(x.fleet.shape.replicas)) }

func (x *faults) anyWorker() *soakWorker {
	return x.fleet.workers[x.random.IntN(len(x.fleet.workers))]
}

const (
	minGap  = 150 * time.Millisecond
	maxGap  = 900 * time.Millisecond
	minLast = 200 * time.Millisecond
	maxLast = 3500 * time.Millisecond
	// catchUp is how long replicas must have been left alone since a disk was
	// lost before another one may be: the fleet is made for one lost disk at a
	// time, and a replica counts as lost until it has caught up.
	catchUp   = 4 * time.Second
	maxDelay  = 150 * time.Millisecond
	maxFaulty = 0.4
)

// run disturbs the fleet for a time and waits until the last fault has ended.
func (x *faults) run(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		action := x.draw()
		x.done.Go(action)
		time.Sleep(x.between(minGap, maxGap))
	}
	x.done.Wait()
	x.fleet.network.heal()
	for _, w := range x.fleet.workers {
		w.setFaulty(0)
	}
}

// draw picks the next fault. All chance is drawn here, in order.
func (x *faults) draw() func() {
	last, host, replica := x.between(minLast, maxLast), x.anyHost(), x.anyReplica()
	other, worker, part := x.anyHost(), x.anyWorker(), x.random.Float64()
	switch x.random.IntN(15) {
	case 0:
		return func() { x.pause(host, last) }
	case 1:
		return func() { x.kill(host, last) }
	case 2, 3:
		return func() { x.stop(host) }
	case 4:
		return func() { x.hangup(host) }
	case 5:
		return func() { x.wipe(replica, last) }
	case 6:
		return func() { x.killAtOnce(x.fleet.replicas(), last/4) }
	case 7:
		return func() { x.isolate(host, last, true, true) }
	case 8:
		return func() { x.isolate(host, last, part < 0.5, part >= 0.5) }
	case 9:
		return func() { x.cutPair(host, other, last) }
	case 10:
		return func() { x.slow(host, last, time.Duration(part*float64(maxDelay))) }
	case 11:
		return func() { x.reset(host) }
	}
	return func() { x.spoil(worker, part*maxFaulty, last) }
}

func (x *faults) pause(n node, d time.Duration) {
	if !x.claim(n) {
		return
	}
	defer x.release(n)
	defer x.begin("pause", n)()
	x.fleet.signal(n, syscall.SIGSTOP)
	time.Sleep(d)
	x.fleet.signal(n, syscall.SIGCONT)
}

func (x *faults) kill(n node, d time.Duration) {
	if !x.claim(n) {
		return
	}
	defer x.release(n)
	defer x.begin("kill", n)()
	x.fleet.signal(n, syscall.SIGKILL)
	x.fleet.await(n)
	time.Sleep(d)
	x.fleet.start(n)
}

func (x *faults) stop(n node) {
	if !x.claim(n) {
		return
	}
	defer x.release(n)
	defer x.begin(kindStop, n)()
	x.fleet.signal(n, syscall.SIGTERM)
	x.fleet.await(n)
	x.fleet.start(n)
}

func (x *faults) hangup(n node) {
	if !x.claim(n) {
		return
	}
	defer x.release(n)
	defer x.begin("hangup", n)()
	x.fleet.signal(n, syscall.SIGHUP)
}

// wipe takes the disk of one replica; never of a second one before the first
// has had time to be replaced.
func (x *faults) wipe(n node, d time.Duration) {
	if !x.claim(n) {
		return
	}
	defer x.release(n)
	if !x.mayWipe() {
		return
	}
	defer x.begin(kindWipe, n)()
	x.fleet.signal(n, syscall.SIGKILL)
	x.fleet.await(n)
	x.fleet.wipe(n)
	time.Sleep(d)
	x.fleet.start(n)
}

// mayWipe tells whether no disk was lost before, or the replicas were left alone
// for long enough some time after. It notes the loss that follows.
func (x *faults) mayWipe() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	since := x.wiped
	for _, f := range x.list {
		if f.kind == kindWipe && f.to.IsZero() {
			return false
		}
		if f.to.IsZero() || f.to.After(since) {
			if f.touchesAny(x.fleet.replicas(), x.wiped, now) {
				since = later(since, f.to, now)
			}
		}
	}
	if !x.wiped.IsZero() && now.Sub(since) < catchUp {
		return false
	}
	x.wiped = now
	return true
}

// later is the later one of two times, where an open end is now.
func later(a, end, now time.Time) time.Time {
	if end.IsZero() {
		return now
	}
	if end.After(a) {
		return end
	}
	return a
}

// killAtOnce kills the hosts that are not disturbed otherwise.
func (x *faults) killAtOnce(nodes []node, d time.Duration) {
	var mine []node
	for _, n := range nodes {
		if x.claim(n) {
			mine = append(mine, n)
			defer x.release(n)
		}
	}
	defer x.begin("kill", mine...)()
	for _, n := range mine {
		x.fleet.signal(n, syscall.SIGKILL)
	}
	for _, n := range mine {
		x.fleet.await(n)
	}
	time.Sleep(d)
	for _, n := range mine {
		x.fleet.start(n)
	}
}

// isolate cuts a host off from all other hosts, one way or both.
func (x *faults) isolate(n node, d time.Duration, in, out bool) {
	defer x.begin(fmt.Sprintf("cut off (in %t, out %t)", in, out), n)()
	set := func(on bool) {
		for m := range x.fleet.hosts {
			if in {
				x.fleet.network.hold(link{m, n}, on)
			}
			if out {
				x.fleet.network.hold(link{n, m}, on)
			}
		}
	}
	set(true)
	time.Sleep(d)
	set(false)
}

func (x *faults) cutPair(a, b node, d time.Duration) {
	defer x.begin("cut", a, b)()
	x.fleet.network.hold(link{a, b}, true)
	x.fleet.network.hold(link{b, a}, true)
	time.Sleep(d)
	x.fleet.network.hold(link{a, b}, false)
	x.fleet.network.hold(link{b, a}, false)
}

func (x *faults) slow(n node, d, delay time.Duration) {
	defer x.begin("slow links", n)()
	set := func(delay time.Duration) {
		for m := range x.fleet.hosts {
			x.fleet.network.slow(link{m, n}, delay)
			x.fleet.network.slow(link{n, m}, delay)
		}
	}
	set(delay)
	time.Sleep(d)
	set(0)
}

func (x *faults) reset(n node) {
	defer x.begin("reset", n)()
	x.fleet.network.reset(n)
}

// spoil lets a part of a worker's requests fail in several ways.
func (x *faults) spoil(w *soakWorker, part float64, d time.Duration) {
	defer x.begin("worker faults", w.node)()
	w.setFaulty(part)
	time.Sleep(d)
	w.setFaulty(0)
}
