//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// restarts lets workers crash and start again under their ids, drawn from the seed apart
// from all other faults: some behind a cut, and some of which a heartbeat of the earlier
// process arrives late.
type restarts struct {
	faults   *faults
	operator *operator
	random   *rand.Rand
}

const (
	minRestartGap = 500 * time.Millisecond
	maxRestartGap = 3 * time.Second
	minDown       = 50 * time.Millisecond
	maxDown       = 2 * time.Second
	maxLateness   = 2 * time.Second
	cutShare      = 0.4
	lateShare     = 0.6
)

func newRestarts(x *faults, o *operator) *restarts {
	return &restarts{faults: x, operator: o, random: rand.New(rand.NewPCG(x.fleet.seed, 98))}
}

// restarted are the workers that start again. An earlier program takes what such a worker says for
// late, also that it leaves; so a fleet that is mixed with one keeps half of its workers, among
// them the one that leaves at the end.
func (r *restarts) restarted() []*soakWorker {
	some := r.faults.fleet.workers
	if *earlier != "" {
		some = some[len(some)/2:]
	}
	return some
}

// run restarts one worker after the other for a time.
func (r *restarts) run(d time.Duration) {
	some := r.restarted()
	for until := time.Now().Add(d); time.Now().Before(until) && len(some) > 0; {
		time.Sleep(r.between(minRestartGap, maxRestartGap))
		w := some[r.random.IntN(len(some))]
		down, late := r.between(minDown, maxDown), r.between(0, maxLateness)
		r.restart(w, down, r.random.Float64() < cutShare, r.random.Float64() < lateShare, late)
	}
}

func (r *restarts) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

func (r *restarts) restart(w *soakWorker, down time.Duration, cut, late bool, lateness time.Duration) {
	end := r.faults.begin(kindRestart, w.node)
	path, body, _ := w.heartbeat()
	if cut {
		r.hold(w, true)
		time.Sleep(down / 2)
	}
	w.crash()
	time.Sleep(down)
	w.startAgain()
	if cut {
		time.Sleep(down / 2)
		r.hold(w, false)
	}
	end()
	if late {
		time.Sleep(lateness)
		r.operator.do(r.operator.anyReplica(), http.MethodPut, path, body)
	}
}

// hold cuts a worker off from all hosts, and keeps its heartbeats back.
func (r *restarts) hold(w *soakWorker, on bool) {
	w.setCut(on)
	for n := range r.faults.fleet.hosts {
		r.faults.fleet.network.hold(link{n, w.node}, on)
		r.faults.fleet.network.hold(link{w.node, n}, on)
	}
}
