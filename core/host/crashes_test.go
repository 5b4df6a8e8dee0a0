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

// Seen: workers ended one after the other, each under the same request of one caller, which
// came again under new ids at any host. It was sent to workers 8 and 13 times more after
// three had ended under it; what they ran beside it was lost each time.
//
// Course: the caller gets a failure and sends the same again. The host that takes it has
// seen at most one such end, and judges only the worker by it; the next host has seen none.
//
// Cause: nothing knew a request again by what it contains. All that hosts learn of a failure
// is of workers, and of attempts under one id.
//
// Proof: with a hash of their content in hosts' logs, the streams that broke off before
// their first event at each end are one request. Here one request that ends workers comes
// again at any host, and is sent on for as long as it comes.

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
	// ends are when workers ended, sent when bad requests were sent to one that ran, by
	// path.
	ends, sent map[string][]time.Time
	// refusedAt are when requests were refused although a worker was there, by path.
	refusedAt map[string][]time.Time
	// again are those that callers send again soon, as an end took them along.
	again []string
	count int
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
		refusedAt: map[string][]time.Time{},
	}
	f.decision = f.decide
	f.run(8 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), 3*time.Second))
	for i := range workers {
		f.workers = append(f.workers, &crashWorker{worker: registry.Worker{
			ID: ident.Target(fmt.Sprintf("w%d", i)), Pool: "pool", Zone: ident.Zone(fmt.Sprint("z", i%3)),
			Address: fmt.Sprintf("10.9.9.%d:80", i+1), Slots: 16, Born: bornFirst,
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
		case isBad(d.path):
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
	w.worker.Born = bornFirst + registry.Incarnation(f.now.Unix())
	if !f.sameID {
		w.worker.ID = ident.Target(fmt.Sprintf("%s-%d", w.worker.ID[:2], w.starts))
	}
}

// end ends a worker's process, and all that it runs.
func (f *crashFleet) end(w *crashWorker, path string) {
	f.ends[path] = append(f.ends[path], f.now)
	lost := w.running
	w.running, w.backAt = nil, f.now.Add(workerBack)
	for _, d := range lost {
		f.ended(d, outcome.Broken{Reason: "unexpected EOF"})
		if !isBad(d.path) {
			f.again = append(f.again, d.path)
		}
	}
}

func (f *crashFleet) ended(d dispatched, result outcome.Attempt) {
	f.reduce(d.host, host.RequestEvent{Event: requests.AttemptEnded{
		Request: d.request, Attempt: d.attempt, Result: result, Wanted: true,
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
		f.reduce(at, host.RequestEvent{Event: requests.ProbeEnded{Worker: d.Worker.ID, OK: w.up(), Refused: !w.up()}})
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
		f.ended(one, outcome.NeverSent{Reason: "connection refused", Refused: true})
		return
	}
	if isBad(path) {
		one.due = f.now.Add(crashAfter)
		f.sent[path] = append(f.sent[path], f.now)
	}
	w.running = append(w.running, one)
}

// arrive sends a request to an entry host.
func (f *crashFleet) arrive(at ident.Host, path string) {
	f.count++
	id := ident.Request(fmt.Sprintf("c%d", f.count))
	f.paths[id] = path
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

// sentSince is how often a bad request was sent to a worker that ran, since its third end
// and the time that hosts have to learn of it.
func (f *crashFleet) sentSince(bad string) int {
	if len(f.ends[bad]) < 3 {
		return 0
	}
	from, n := f.ends[bad][2].Add(contact), 0
	for _, at := range f.sent[bad] {
		if at.After(from) {
			n++
		}
	}
	return n
}

// requireOthersServed makes sure that no request but the bad ones was refused.
func (f *crashFleet) requireOthersServed(bad ...string) {
	for path, at := range f.refusedAt {
		require.Contains(f.t, bad, path, "refused at %v", at)
	}
}

// maxSentOn is how often a request may still be sent to workers once three ended under it.
const maxSentOn = 3

const badRequest = "/only-1/bad"

// TestRequestThatEndsItsWorkersIsSentNoMore has the same request come again at any of six
// hosts, and end each worker that runs it, whether workers come back under their ids or
// under others. All other requests are served, also those that ends took along.
func TestRequestThatEndsItsWorkersIsSentNoMore(t *testing.T) {
	for seed := range uint64(8) {
		f := newCrashFleet(t, 6, 24, seed)
		f.sameID = seed%2 == 0
		f.load(15*time.Second, time.Duration(1+seed/2)*100*time.Millisecond, badRequest)
		f.requireSentNoMore(badRequest)
		f.requireOthersServed(badRequest)
	}
}

// requireSentNoMore makes sure that a request which ended three workers or more is sent on
// no more often than allowed.
func (f *crashFleet) requireSentNoMore(bad string) {
	f.t.Helper()
	f.t.Logf("%s: %d ends, %d sent on", bad, len(f.ends[bad]), f.sentSince(bad))
	require.GreaterOrEqual(f.t, len(f.ends[bad]), 3, "the load that it is about")
	require.LessOrEqual(f.t, f.sentSince(bad), maxSentOn, "%d ends in all", len(f.ends[bad]))
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

// TestLargeFleetLearnsOfAnEndThroughHubs has the request come at any of 60 hosts that poll
// hubs.
func TestLargeFleetLearnsOfAnEndThroughHubs(t *testing.T) {
	f := newCrashFleet(t, 60, 24, 1)
	f.load(15*time.Second, 300*time.Millisecond, badRequest)
	f.requireSentNoMore(badRequest)
	f.requireOthersServed(badRequest)
	for _, id := range f.entriesOf() {
		require.NotZero(t, f.states[id].Requests().CrashList().Len(), id)
	}
}

// TestRefusalOutlivesItsHosts lets the request come again after those who know of it have
// started again: entry hosts, replicas, both, all with all power lost, and a replica that has
// lost its disk beside it.
func TestRefusalOutlivesItsHosts(t *testing.T) {
	for name, fault := range map[string]func(*crashFleet){
		"entry hosts":       func(f *crashFleet) { f.restart(time.Second, f.entriesOf()...) },
		"replicas":          func(f *crashFleet) { f.restart(time.Second, f.replicasOf()...) },
		"all, power lost":   func(f *crashFleet) { f.restart(2*time.Second, f.order...) },
		"a new leader":      func(f *crashFleet) { f.restart(3*time.Second, f.leader()) },
		"one after another": func(f *crashFleet) { f.rollOver() },
		"replicas without their files, then entry hosts": func(f *crashFleet) {
			for _, d := range f.disks {
				d.crashes = nil
			}
			f.restart(time.Second, f.replicasOf()...)
			f.pass(5 * time.Second)
			f.restart(time.Second, f.entriesOf()...)
		},
		"all, and a disk lost": func(f *crashFleet) {
			f.disks[replicaName(1)].crashes = nil
			f.restart(2*time.Second, f.order...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 6, 24, 3)
			f.load(8*time.Second, 400*time.Millisecond, badRequest)
			f.pass(time.Second)
			fault(f)
			f.pass(5 * time.Second)
			clear(f.refusedAt)
			before := len(f.sent[badRequest])
			f.load(8*time.Second, 400*time.Millisecond, badRequest)
			require.Equal(t, before, len(f.sent[badRequest]), "nothing has to be learned again")
			f.requireSentNoMore(badRequest)
			f.requireOthersServed(badRequest)
		})
	}
}

// rollOver starts each host again, one after the other.
func (f *crashFleet) rollOver() {
	for _, id := range slices.Clone(f.order) {
		f.restart(time.Second, id)
		f.pass(3 * time.Second)
	}
}

// TestHostThatWasCutOffLearnsOfARefusal cuts an entry host off while the request ends
// workers, and one replica in another run: once back they refuse it as the others do.
func TestHostThatWasCutOffLearnsOfARefusal(t *testing.T) {
	for _, cut := range []ident.Host{entryName(2), replicaName(0)} {
		f := newCrashFleet(t, 6, 24, 5)
		f.cutOff(cut, true)
		f.load(8*time.Second, 400*time.Millisecond, badRequest)
		f.cutOff(cut, false)
		f.pass(contact)
		require.NotZero(t, f.states[cut].Requests().CrashList().Len())
		sent := len(f.sent[badRequest])
		f.load(5*time.Second, 400*time.Millisecond, badRequest)
		require.Equal(t, sent, len(f.sent[badRequest]), cut)
	}
}

// TestFrozenHostLearnsOfARefusal has an entry host do nothing for eight seconds, in which
// nothing reaches it, while the request ends workers at others.
func TestFrozenHostLearnsOfARefusal(t *testing.T) {
	f := newCrashFleet(t, 6, 24, 6)
	frozen := f.states[entryName(0)]
	f.stop(entryName(0))
	f.load(8*time.Second, 400*time.Millisecond, badRequest)
	f.states[entryName(0)], f.down[entryName(0)] = frozen, false
	f.pass(contact)
	f.arrive(entryName(0), badRequest)
	f.requireSentNoMore(badRequest)
	require.NotEmpty(t, f.refusedAt[badRequest])
}

// withoutCrashes is a message as a program from before sends and reads it.
func withoutCrashes(m host.Message) host.Message {
	switch m := m.(type) {
	case host.Poll:
		m.Crashes, m.CrashList, m.CrashEntries = nil, 0, nil
		return m
	case host.PollReply:
		m.CrashList, m.CrashEntries = 0, nil
		return m
	}
	return m
}

// TestTwoVersionsRefuseWhatTheyCan runs an earlier program on a replica and on half of the
// entry hosts: those that know of the request refuse it, and all others are served by both.
func TestTwoVersionsRefuseWhatTheyCan(t *testing.T) {
	f := newCrashFleet(t, 6, 24, 7)
	f.older = map[ident.Host]bool{replicaName(2): true, entryName(0): true, entryName(1): true, entryName(2): true}
	f.load(8*time.Second, 400*time.Millisecond, badRequest)
	f.pass(time.Second)
	for i := range 6 {
		before := len(f.refusedAt[badRequest])
		f.arrive(entryName(i), badRequest)
		require.Equal(t, i >= 3, len(f.refusedAt[badRequest]) > before, i)
	}
	f.requireOthersServed(badRequest)
}

// TestRequestThatWorkersAnswerIsNotRefused has workers end for reasons of their own under a
// popular request, which all others answer: it is served throughout.
func TestRequestThatWorkersAnswerIsNotRefused(t *testing.T) {
	const popular = "/x/popular"
	f := newCrashFleet(t, 6, 24, 8)
	for range 20 {
		for range 4 {
			f.arrive(f.anyEntry(), popular)
			f.pass(4 * seededStep)
		}
		for _, w := range f.workers {
			holds := slices.ContainsFunc(w.running, func(d dispatched) bool { return d.path == popular })
			if w.up() && holds {
				f.end(w, "/x/other")
				break
			}
		}
		f.pass(2 * time.Second)
	}
	require.Greater(t, len(f.ends["/x/other"]), 10, "the load that it is about")
	f.requireOthersServed()
}

// TestSeveralRequestsEndWorkersAtOnce has three such requests of one caller come beside each
// other, so that each shares ends with the others.
func TestSeveralRequestsEndWorkersAtOnce(t *testing.T) {
	f := newCrashFleet(t, 6, 40, 9)
	bad := []string{"/only-1/bad-1", "/only-1/bad-2", "/only-1/bad-3"}
	for range 40 {
		for _, path := range bad {
			f.arrive(f.anyEntry(), path)
		}
		f.load(400*time.Millisecond, time.Second, "")
	}
	for _, path := range bad {
		f.requireSentNoMore(path)
	}
	f.requireOthersServed(bad...)
}
