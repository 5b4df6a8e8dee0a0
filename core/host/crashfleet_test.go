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

// runningAttempt is an attempt in progress at a worker of a crashFleet.
type runningAttempt struct {
	host    ident.Host
	request ident.Request
	attempt int
	path    string
	due     time.Time
}

// crashWorker simulates a worker that crashes under some requests and restarts as a new process.
type crashWorker struct {
	worker          registry.Worker
	starts          int
	running         []runningAttempt
	restartAt       time.Time
	nextHeartbeatAt time.Time
}

func (w *crashWorker) isUp() bool { return w.restartAt.IsZero() }

// crashFleet simulates a seeded fleet whose workers crash under requests with a bad path.
type crashFleet struct {
	*seededFleet
	random  *rand.Rand
	workers []*crashWorker
	// sameID makes workers restart under the same id with a new incarnation.
	sameID bool
	paths  map[ident.Request]string
	// waits is how long bad requests are queued at workers.
	waits time.Duration
	// crashes records when workers crashed, and sentAt when bad requests reached a running worker,
	// by path. A crash counts for each bad request that the worker ran.
	crashes, sentAt map[string][]time.Time
	// refusedAt records when requests were refused although a worker was available, by path.
	refusedAt map[string][]time.Time
	// callerRetries are requests interrupted by a crash, which callers send again soon.
	callerRetries []string
	count         int
	// connectsWhileDown makes connections to crashed workers succeed, as behind a proxy.
	connectsWhileDown bool
	// answersBad makes workers answer bad requests instead of crashing.
	answersBad bool
	// arrivals counts the requests received, by path.
	arrivals map[string]int
	// ends records when workers crashed, once for each.
	ends []time.Time
	// prompts are those of requests, by path; served counts the requests answered, by path.
	prompts map[string]requests.Prompt
	served  map[string]int
}

const (
	// crashSpreadTime is how long after the third crash hosts may not know of it.
	crashSpreadTime = 3 * time.Second
	// crashDelay is how long a worker runs a request that crashes it, runTime any other request.
	crashDelay = 100 * time.Millisecond
	runTime    = 400 * time.Millisecond
	// workerDowntime is the time a crashed worker takes to restart, workerHeartbeatInterval the
	// time between two heartbeats.
	workerDowntime          = 3 * time.Second
	workerHeartbeatInterval = 1200 * time.Millisecond
)

func newCrashFleet(t *testing.T, entries, workers int, seed uint64) *crashFleet {
	f := &crashFleet{
		seededFleet: newSeededFleet(t, 3, entries), random: rand.New(rand.NewPCG(seed, 1)),
		paths: map[ident.Request]string{}, crashes: map[string][]time.Time{}, sentAt: map[string][]time.Time{},
		refusedAt: map[string][]time.Time{}, arrivals: map[string]int{}, prompts: map[string]requests.Prompt{}, served: map[string]int{},
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
	f.advance(2 * time.Second)
	return f
}

// advance lets d pass for hosts and workers.
func (f *crashFleet) advance(d time.Duration) {
	for range int(d / seededStep) {
		for _, w := range f.workers {
			f.stepWorker(w)
		}
		f.run(seededStep)
	}
}

func (f *crashFleet) stepWorker(w *crashWorker) {
	if !w.isUp() {
		if f.now.Before(w.restartAt) {
			return
		}
		f.restartWorker(w)
	}
	if !f.now.Before(w.nextHeartbeatAt) {
		w.nextHeartbeatAt = f.now.Add(workerHeartbeatInterval)
		w.worker.Seq++
		f.heartbeat(w.worker)
	}
	var left []runningAttempt
	running := w.running
	for _, d := range running {
		switch {
		case f.now.Before(d.due):
			left = append(left, d)
		case isBad(d.path) && !f.answersBad:
			f.crashWorker(w, d.path)
			return
		default:
			f.endAttempt(d, outcome.Answered{Status: 200})
		}
	}
	w.running = left
}

// heartbeat delivers a heartbeat to a running replica.
func (f *crashFleet) heartbeat(w registry.Worker) {
	for i := range len(f.seeds) {
		to := f.seeds[(f.random.IntN(len(f.seeds))+i)%len(f.seeds)]
		if !f.down[to] {
			f.reduce(to, host.HeartbeatReceived{Worker: w})
			return
		}
	}
}

func (f *crashFleet) restartWorker(w *crashWorker) {
	w.restartAt, w.nextHeartbeatAt, w.starts, w.worker.Seq = time.Time{}, f.now, w.starts+1, 0
	w.worker.Born = firstIncarnation + registry.Incarnation(f.now.Unix())
	if !f.sameID {
		w.worker.ID = ident.Target(fmt.Sprintf("%s-%d", w.worker.ID[:2], w.starts))
	}
}

// crashWorker stops a worker's process and interrupts its requests.
func (f *crashFleet) crashWorker(w *crashWorker, path string) {
	lost := w.running
	f.ends = append(f.ends, f.now)
	w.running, w.restartAt = nil, f.now.Add(workerDowntime)
	under := map[string]bool{path: true}
	for _, d := range lost {
		under[d.path] = under[d.path] || isBad(d.path)
	}
	for ended, counts := range under {
		if counts {
			f.crashes[ended] = append(f.crashes[ended], f.now)
		}
	}
	for _, d := range lost {
		f.endAttempt(d, outcome.Interrupted{Reason: "unexpected EOF"})
		if !isBad(d.path) {
			f.callerRetries = append(f.callerRetries, d.path)
		}
	}
}

func (f *crashFleet) endAttempt(d runningAttempt, result outcome.Attempt) {
	f.reduce(d.host, host.RequestEvent{Event: requests.AttemptEnded{
		Request: d.request, Attempt: d.attempt, Result: result, CallerWaiting: true,
	}})
}

func isBad(path string) bool { return len(path) > 8 && path[:8] == "/only-1/" }

// decide carries out a decision of a host.
func (f *crashFleet) decide(at ident.Host, d requests.Decision) {
	switch d := d.(type) {
	case requests.Dispatch:
		f.dispatch(at, d)
	case requests.ProbeConnection:
		w := f.workerAt(d.Worker.Address)
		f.reduce(at, host.RequestEvent{Event: requests.ProbeEnded{
			Worker: d.Worker.ID, OK: w.isUp() || f.connectsWhileDown, Refused: !w.isUp() && !f.connectsWhileDown,
		}})
	case requests.Finish:
		path := f.paths[d.Request]
		if d.Verdict.Code == requests.CodeOK {
			f.served[path]++
		}
		if d.Verdict.Outcome == outcome.NotRun && d.Verdict.Code != requests.CodeNoWorker {
			f.refusedAt[path] = append(f.refusedAt[path], f.now)
		}
	}
}

func (f *crashFleet) workerAt(address string) *crashWorker {
	for _, w := range f.workers {
		if w.worker.Address == address {
			return w
		}
	}
	require.Fail(f.t, "no worker at "+address)
	return nil
}

func (f *crashFleet) dispatch(at ident.Host, d requests.Dispatch) {
	path, w := f.paths[d.Request], f.workerAt(d.Worker.Address)
	one := runningAttempt{host: at, request: d.Request, attempt: d.Attempt, path: path, due: f.now.Add(runTime)}
	if !w.isUp() {
		f.failAttempt(one)
		return
	}
	if isBad(path) {
		one.due = f.now.Add(f.waits + crashDelay)
		f.sentAt[path] = append(f.sentAt[path], f.now)
	}
	w.running = append(w.running, one)
}

// failAttempt ends an attempt at a worker that is down.
func (f *crashFleet) failAttempt(d runningAttempt) {
	if f.connectsWhileDown {
		f.endAttempt(d, outcome.Interrupted{Reason: "connection closed"})
		return
	}
	f.endAttempt(d, outcome.NeverSent{Reason: "connection refused", ConnectRefused: true})
}

// arrive sends a request to an entry host.
func (f *crashFleet) arrive(at ident.Host, path string) {
	f.count++
	id := ident.Request(fmt.Sprintf("c%d", f.count))
	f.paths[id] = path
	f.arrivals[path]++
	f.reduce(at, host.RequestEvent{Event: requests.Arrived{Request: requests.Request{
		ID: id, Host: "a.example", Path: path, KeyHash: "k", Digest: []byte(path), Prompt: f.prompts[path],
	}}})
}

// randomEntry returns a running entry host.
func (f *crashFleet) randomEntry() ident.Host {
	var live []ident.Host
	for _, id := range f.order {
		if f.disks[id] == nil && !f.down[id] {
			live = append(live, id)
		}
	}
	return live[f.random.IntN(len(live))]
}

// runLoad sends requests for a while: a bad one every gap, others continuously, and those
// interrupted by crashes again.
func (f *crashFleet) runLoad(d, gap time.Duration, bad string) {
	begun, badAt := f.now, f.now
	for f.now.Sub(begun) < d {
		if bad != "" && !f.now.Before(badAt) {
			badAt = f.now.Add(gap)
			f.arrive(f.randomEntry(), bad)
		}
		again := f.callerRetries
		f.callerRetries = nil
		for _, path := range again {
			f.arrive(f.randomEntry(), path)
		}
		for range 2 {
			f.arrive(f.randomEntry(), fmt.Sprintf("/x/%d", f.count))
		}
		f.advance(seededStep)
	}
}

// entryHosts returns the entry hosts, replicas the replicas.
func (f *crashFleet) entryHosts() []ident.Host {
	return slices.DeleteFunc(slices.Clone(f.order), func(id ident.Host) bool { return f.disks[id] != nil })
}

func (f *crashFleet) replicas() []ident.Host {
	return slices.DeleteFunc(slices.Clone(f.order), func(id ident.Host) bool { return f.disks[id] == nil })
}

// restart stops hosts at the same time and starts them again after a while.
func (f *crashFleet) restart(away time.Duration, hosts ...ident.Host) {
	for _, id := range hosts {
		f.stop(id)
	}
	for _, w := range f.workers {
		w.running = slices.DeleteFunc(w.running, func(d runningAttempt) bool { return f.down[d.host] })
	}
	f.advance(away)
	for _, id := range hosts {
		f.start(id)
	}
}

// rollingRestart restarts the hosts one after the other.
func (f *crashFleet) rollingRestart() {
	for _, id := range slices.Clone(f.order) {
		f.restart(time.Second, id)
		f.advance(3 * time.Second)
	}
}
