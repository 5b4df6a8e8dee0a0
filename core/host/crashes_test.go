// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/zones"
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
// Proof: here one request that ends workers comes again at any host, and was sent on for as
// long as it came; with requests refused by their content alone, the day ran without a fault.

// maxSentOn is how often a request may still be sent to workers once three ended under it.
const maxSentOn = 3

const badRequest = "/only-1/bad"

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

// requireSentNoMore makes sure that a request which ended three workers or more is sent on
// no more often than allowed.
func (f *crashFleet) requireSentNoMore(bad string) {
	f.t.Helper()
	f.t.Logf("%s: %d ends, %d sent on", bad, len(f.ends[bad]), f.sentSince(bad))
	require.GreaterOrEqual(f.t, len(f.ends[bad]), 3, "the load that it is about")
	require.LessOrEqual(f.t, f.sentSince(bad), maxSentOn, "%d ends in all", len(f.ends[bad]))
}

// TestRequestThatEndsItsWorkersIsSentNoMore has the same request come again at any of six
// hosts, and end each worker that runs it, whether workers come back under their ids or
// under others. All other requests are served, also those that ends took along.
func TestRequestThatEndsItsWorkersIsSentNoMore(t *testing.T) {
	for _, gap := range []time.Duration{400 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond} {
		for seed := range uint64(4) {
			f := newCrashFleet(t, 6, 24, seed)
			f.sameID = seed%2 == 0
			f.load(15*time.Second, gap, badRequest)
			f.requireSentNoMore(badRequest)
			f.requireOthersServed(badRequest)
		}
	}
}

// TestRequestThatWaitsLongAtItsWorkers has workers take a second and a half until they begin
// to run the request, which comes each 0.3 s: it is sent on while others wait.
func TestRequestThatWaitsLongAtItsWorkers(t *testing.T) {
	f := newCrashFleet(t, 6, 40, 2)
	f.waits = 1500 * time.Millisecond
	f.load(15*time.Second, 300*time.Millisecond, badRequest)
	f.requireSentNoMore(badRequest)
	f.requireOthersServed(badRequest)
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

// TestHostThatWasCutOffLearnsOfARefusal cuts an entry host off while the request ends
// workers, and one replica in another run: once back they refuse it as the others do.
func TestHostThatWasCutOffLearnsOfARefusal(t *testing.T) {
	for _, cut := range []ident.Host{entryName(2), replicaName(0)} {
		f := newCrashFleet(t, 6, 24, 5)
		f.partition(cut, true)
		f.load(8*time.Second, 400*time.Millisecond, badRequest)
		f.partition(cut, false)
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

// asEarlierVersion is a message as a program from before sends and reads it.
func asEarlierVersion(m host.Message) host.Message {
	switch m := m.(type) {
	case host.Poll:
		m.Crashes, m.CrashList, m.CrashEntries = nil, 0, nil
		m.KnowsZones, m.Zones, m.ZonesInForce = false, 0, 0
		return m
	case host.Raft:
		m.KnowsZones = false
		return m
	case host.PollReply:
		m.CrashList, m.CrashEntries = 0, nil
		m.Zones = zones.Drained{}
		return m
	}
	return m
}

// TestTwoVersionsRefuseWhatTheyCan runs an earlier program on a replica and on half of the
// entry hosts: those that know of the request refuse it, and all others are served by both.
func TestTwoVersionsRefuseWhatTheyCan(t *testing.T) {
	f := newCrashFleet(t, 6, 24, 7)
	f.earlierHosts = map[ident.Host]bool{replicaName(2): true, entryName(0): true, entryName(1): true, entryName(2): true}
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
// other, so that each shares ends with the others: an end counts for each request that the
// worker ran.
func TestSeveralRequestsEndWorkersAtOnce(t *testing.T) {
	for _, seed := range []uint64{9, 0, 1, 2, 3, 4, 5} {
		f := newCrashFleet(t, 6, 40, seed)
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
}

// TestReportsThatAreHeldUpCountOnce lets a worker end once for reasons of its own, and holds
// up all that the hosts report of it for some seconds, so that reports of several polls arrive
// together, with different ages: each attempt counts one end.
func TestReportsThatAreHeldUpCountOnce(t *testing.T) {
	f := newCrashFleet(t, 3, 6, 11)
	for i := range 60 {
		f.arrive(entryName(i%3), fmt.Sprint("/x/", i))
	}
	release := f.now.Add(6 * time.Second)
	f.delay = func(p seededPacket) time.Duration {
		if _, isPoll := p.message.(host.Poll); isPoll {
			return release.Sub(f.now)
		}
		return 0
	}
	for _, w := range f.workers {
		if len(w.running) > 0 {
			f.end(w, "/x/other")
			break
		}
	}
	f.pass(10 * time.Second)
	for _, id := range f.order {
		require.Zero(t, f.states[id].Requests().CrashList().Len(), id)
	}
}
