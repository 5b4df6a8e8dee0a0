// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// dispatched is an attempt in progress at a worker of a crashFleet.
type dispatched struct {
	host    ident.Host
	request ident.Request
	attempt int
	path    string
	due     time.Time
}

// crashWorker is a worker that ends under some requests and comes back after a while as
// another process.
type crashWorker struct {
	worker  registry.Worker
	starts  int
	running []dispatched
	backAt  time.Time
	beatAt  time.Time
}

func (w *crashWorker) up() bool { return w.backAt.IsZero() }

// crashFleet is a seeded fleet before workers that end under requests with a bad path.
type crashFleet struct {
	*seededFleet
	random  *rand.Rand
	workers []*crashWorker
	// sameID lets workers come back under their ids, with another start.
	sameID bool
	paths  map[ident.Request]string
	// waits is how long bad requests wait at workers.
	waits time.Duration
	// ends are when workers ended, sent when bad requests were sent to one that ran, by
	// path; an end counts for each bad request that the worker ran.
	ends, sent map[string][]time.Time
	// refusedAt are when requests were refused although a worker was there, by path.
	refusedAt map[string][]time.Time
	// again are those that callers send again soon, as an end took them along.
	again []string
	count int
	// proofsLate has connections to workers that have ended come up all the same.
	proofsLate bool
	// answerBad has workers answer bad requests.
	answerBad bool
	// arrived counts the requests that came, by path.
	arrived map[string]int
}

const (
	// contact is how long after the third end hosts may still not know of it.
	contact = 3 * time.Second
	// crashAfter is how long a worker runs a request that ends it, runTime any other one.
	crashAfter = 100 * time.Millisecond
	runTime    = 400 * time.Millisecond
	// workerBack is how long a worker that ended is away, workerBeat the time between two
	// heartbeats.
	workerBack = 3 * time.Second
	workerBeat = 1200 * time.Millisecond
)

func newCrashFleet(t *testing.T, entries, workers int, seed uint64) *crashFleet {
	f := &crashFleet{
		seededFleet: newSeededFleet(t, 3, entries), random: rand.New(rand.NewPCG(seed, 1)),
		paths: map[ident.Request]string{}, ends: map[string][]time.Time{}, sent: map[string][]time.Time{},
		refusedAt: map[string][]time.Time{}, arrived: map[string]int{},
	}
	f.onDecision = f.decide
	f.run(8 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), 3*time.Second))
	for i := range workers {
		f.workers = append(f.workers, &crashWorker{worker: registry.Worker{
			ID: ident.Target(fmt.Sprintf("w%d", i)), Pool: "pool", Zone: ident.Zone(fmt.Sprint("z", i%3)),
			Address: fmt.Sprintf("10.9.9.%d:80", i+1), Slots: 16, Born: firstIncarnation,
		}})
	}
	f.pass(2 * time.Second)
	return f
}

// pass lets time pass for hosts and workers.
func (f *crashFleet) pass(d time.Duration) {
	for range int(d / seededStep) {
		for _, w := range f.workers {
			f.stepWorker(w)
		}
		f.run(seededStep)
	}
}

func (f *crashFleet) stepWorker(w *crashWorker) {
	if !w.up() {
		if f.now.Before(w.backAt) {
			return
		}
		f.startAgain(w)
	}
	if !f.now.Before(w.beatAt) {
		w.beatAt = f.now.Add(workerBeat)
		w.worker.Seq++
		f.heartbeat(w.worker)
	}
	var left []dispatched
	running := w.running
	for _, d := range running {
		switch {
		case f.now.Before(d.due):
			left = append(left, d)
		case isBad(d.path) && !f.answerBad:
			f.end(w, d.path)
			return
		default:
			f.ended(d, outcome.Answered{Status: 200})
		}
	}
	w.running = left
}

// heartbeat brings a heartbeat to a replica that runs.
func (f *crashFleet) heartbeat(w registry.Worker) {
	for i := range len(f.seeds) {
		to := f.seeds[(f.random.IntN(len(f.seeds))+i)%len(f.seeds)]
		if !f.down[to] {
			f.reduce(to, host.HeartbeatReceived{Worker: w})
			return
		}
	}
}

func (f *crashFleet) startAgain(w *crashWorker) {
	w.backAt, w.beatAt, w.starts, w.worker.Seq = time.Time{}, f.now, w.starts+1, 0
	w.worker.Born = firstIncarnation + registry.Incarnation(f.now.Unix())
	if !f.sameID {
		w.worker.ID = ident.Target(fmt.Sprintf("%s-%d", w.worker.ID[:2], w.starts))
	}
}

// end ends a worker's process, and all that it runs.
func (f *crashFleet) end(w *crashWorker, path string) {
	lost := w.running
	w.running, w.backAt = nil, f.now.Add(workerBack)
	under := map[string]bool{path: true}
	for _, d := range lost {
		under[d.path] = under[d.path] || isBad(d.path)
	}
	for ended, counts := range under {
		if counts {
			f.ends[ended] = append(f.ends[ended], f.now)
		}
	}
	for _, d := range lost {
		f.ended(d, outcome.Interrupted{Reason: "unexpected EOF"})
		if !isBad(d.path) {
			f.again = append(f.again, d.path)
		}
	}
}

func (f *crashFleet) ended(d dispatched, result outcome.Attempt) {
	f.reduce(d.host, host.RequestEvent{Event: requests.AttemptEnded{
		Request: d.request, Attempt: d.attempt, Result: result, CallerWaiting: true,
	}})
}

func isBad(path string) bool { return len(path) > 8 && path[:8] == "/only-1/" }

// decide carries out what a host decides.
func (f *crashFleet) decide(at ident.Host, d requests.Decision) {
	switch d := d.(type) {
	case requests.Dispatch:
		f.dispatch(at, d)
	case requests.ProbeConnection:
		w := f.find(d.Worker.Address)
		f.reduce(at, host.RequestEvent{Event: requests.ProbeEnded{
			Worker: d.Worker.ID, OK: w.up() || f.proofsLate, Refused: !w.up() && !f.proofsLate,
		}})
	case requests.Finish:
		path := f.paths[d.Request]
		if d.Verdict.Outcome == outcome.NotRun && d.Verdict.Code != requests.CodeNoWorker {
			f.refusedAt[path] = append(f.refusedAt[path], f.now)
		}
	}
}

func (f *crashFleet) find(address string) *crashWorker {
	for _, w := range f.workers {
		if w.worker.Address == address {
			return w
		}
	}
	require.Fail(f.t, "no worker at "+address)
	return nil
}

func (f *crashFleet) dispatch(at ident.Host, d requests.Dispatch) {
	path, w := f.paths[d.Request], f.find(d.Worker.Address)
	one := dispatched{host: at, request: d.Request, attempt: d.Attempt, path: path, due: f.now.Add(runTime)}
	if !w.up() {
		f.endedWhileAway(one)
		return
	}
	if isBad(path) {
		one.due = f.now.Add(f.waits + crashAfter)
		f.sent[path] = append(f.sent[path], f.now)
	}
	w.running = append(w.running, one)
}

// endedWhileAway ends an attempt at a worker that is away.
func (f *crashFleet) endedWhileAway(d dispatched) {
	if f.proofsLate {
		f.ended(d, outcome.Interrupted{Reason: "connection closed"})
		return
	}
	f.ended(d, outcome.NeverSent{Reason: "connection refused", ConnectRefused: true})
}

// arrive sends a request to an entry host.
func (f *crashFleet) arrive(at ident.Host, path string) {
	f.count++
	id := ident.Request(fmt.Sprintf("c%d", f.count))
	f.paths[id] = path
	f.arrived[path]++
	f.reduce(at, host.RequestEvent{Event: requests.Arrived{Request: requests.Request{
		ID: id, Host: "a.example", Path: path, KeyHash: "k", Digest: []byte(path),
	}}})
}

// anyEntry is an entry host that runs.
func (f *crashFleet) anyEntry() ident.Host {
	var live []ident.Host
	for _, id := range f.order {
		if f.disks[id] == nil && !f.down[id] {
			live = append(live, id)
		}
	}
	return live[f.random.IntN(len(live))]
}

// load lets requests come for a while: one with a bad path each gap, others all the time,
// and what ends took along once more.
func (f *crashFleet) load(d, gap time.Duration, bad string) {
	begun, badAt := f.now, f.now
	for f.now.Sub(begun) < d {
		if bad != "" && !f.now.Before(badAt) {
			badAt = f.now.Add(gap)
			f.arrive(f.anyEntry(), bad)
		}
		again := f.again
		f.again = nil
		for _, path := range again {
			f.arrive(f.anyEntry(), path)
		}
		for range 2 {
			f.arrive(f.anyEntry(), fmt.Sprintf("/x/%d", f.count))
		}
		f.pass(seededStep)
	}
}

// entriesOf are the entry hosts, replicasOf the replicas.
func (f *crashFleet) entriesOf() []ident.Host {
	return slices.DeleteFunc(slices.Clone(f.order), func(id ident.Host) bool { return f.disks[id] != nil })
}

func (f *crashFleet) replicasOf() []ident.Host {
	return slices.DeleteFunc(slices.Clone(f.order), func(id ident.Host) bool { return f.disks[id] == nil })
}

// restart stops hosts at the same moment and starts them again after a while.
func (f *crashFleet) restart(away time.Duration, hosts ...ident.Host) {
	for _, id := range hosts {
		f.stop(id)
	}
	for _, w := range f.workers {
		w.running = slices.DeleteFunc(w.running, func(d dispatched) bool { return f.down[d.host] })
	}
	f.pass(away)
	for _, id := range hosts {
		f.start(id)
	}
}

// rollOver starts each host again, one after the other.
func (f *crashFleet) rollOver() {
	for _, id := range slices.Clone(f.order) {
		f.restart(time.Second, id)
		f.pass(3 * time.Second)
	}
}
