// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package requests decides what an entry host does with each request that it receives: whether
// to admit it, which worker receives each attempt, what follows a failed attempt, and when the
// caller may retry. It does no I/O and reads no clock.
//
// A State holds one host's requests in progress, its retry budgets, and its view of workers and
// zones. Package gateway carries out the decisions and reports how attempts end; core/host
// supplies the route table and its confirmations, registrations, and other hosts' loads.
//
// Each rule has a file of its own:
//
//	lease.go          how long a confirmed route table may be used
//	admit.go          which requests are admitted, and to which pool
//	start.go          which requests wait while the host starts
//	choose.go         which workers are candidates, and how a plain worker is drawn
//	engine.go         how an engine is chosen, and the bound on its load
//	subset.go         how an engine is chosen when the pool is near saturation
//	spread.go         how many engines share a surging prefix
//	popular.go        how many engines share a popular prefix
//	part.go           how much of an engine a host may use while loads are not known
//	cachesource.go    which engine a cached prompt prefix is copied from
//	load.go           how a worker's load is estimated
//	attempt.go        what follows an attempt
//	retry.go          how many attempts a request has
//	retrybudget.go    how many retries a host may send
//	resend.go         when a declined request is resent to the same worker
//	timeouts.go       when an attempt is canceled before its deadline
//	withhold.go       when a chosen worker gets no request after all
//	resume.go         when requests wait for news of workers
//	headertimes.go    how long a route's answers take to begin
//	workerhealth.go   how the result of an attempt affects a worker's health
//	notice.go         what a worker reports about itself in its answers
//	replaced.go       which workers are reported as replaced by another process
//	restart.go        what is reset when a worker restarts under its id
//	crash*.go         which requests are refused because they crash workers
//	zones.go          when a zone is unreachable
//	contact.go        when the host reaches no worker at all
//	tunnels.go        how it then reaches them through other hosts
//	cold.go           how many requests a cold worker gets from all hosts
//	brittle*.go       how many requests a brittle worker gets from all hosts
//	drained.go        how traffic is moved out of drained zones
//	origin.go         at which version a stream goes on that broke off
//	rollouts.go       which version of a service's workers an attempt goes to
//	evidence.go       what is counted of the answers of both versions in a rollout
//
// # Usage
//
//	s := requests.New(requests.Settings{Zone: "hall-a"})
//	s = s.WithRouteTable(cfg.Gateway)
//	s, decisions := requests.Reduce(s, requests.Arrived{Request: r}, now)
//
// Every event that ends an attempt or a request yields exactly one decision for that request.
package requests

import (
	"iter"
	"time"

	"github.com/yardhall/yardhall/core/canary"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/core/table"
	"github.com/yardhall/yardhall/core/zones"
)

// State holds what one host knows for handling requests. It is immutable; Reduce returns the next
// one. The zero State refuses everything as not ready.
type State struct {
	settings    Settings
	tableNumber uint64
	routes      config.RouteIndex
	// confirmed is the latest time as of which the route table was known to be the newest.
	confirmed confirmation.Confirmation
	// newerTableKnown is set while a newer route table than the one held is known to exist.
	newerTableKnown bool
	workers         workerSet
	// addresses indexes workers by address, to find those that share one.
	addresses        addressIndex
	workersRemovedAt time.Time
	// foundReplaced holds the workers that this host found to be replaced.
	foundReplaced Replacements
	// crashObserver holds the crashes seen by this host, crashList the requests that crash
	// workers according to all hosts.
	crashObserver crashes.Observer
	crashList     crashes.List
	// refusals are refused connections that may prove the end of a worker's process. Never modified
	// in place.
	refusals []refusal
	// recentAnswers holds the requests answered by this host recently, parts the parts of prompts.
	recentAnswers crashes.RecentAnswers
	// parts is what this host knows of the parts of prompts that it sends.
	parts        partState
	calls        table.Table[ident.Request, call]
	retryBudgets table.Table[ident.Service, budget]
	// headerEstimates are the times until answers begin, by route name.
	headerEstimates table.Table[string, headerEstimate]
	// reportedLoads are the requests of other hosts at workers, as of reportedAsOf. Never
	// modified in place.
	reportedLoads loads.Counts
	reportedAsOf  time.Time
	// smoothedLoads is a moving average of reportedLoads. Never modified in place.
	smoothedLoads map[loads.Tag]float64
	// loadedTags filters the tags of smoothedLoads. Never modified in place.
	loadedTags *tagFilter
	// reachabilityByZone holds the workers of each other zone that recently failed to respond,
	// otherZones those of all other zones together.
	reachabilityByZone table.Table[ident.Zone, reachability]
	otherZones         reachability
	// brittlePools is what the workers of pools that are brittle reported; sendRates are the rates at
	// which this host sends requests to pools.
	brittlePools table.Table[ident.Service, brittleness]
	roomGrowths  table.Table[ident.Service, roomGrowth]
	sendRates    table.Table[ident.Service, sendRate]
	promptCounts
	// contact is the host's contact with the workers of all zones.
	contact contact
	// peers are the other entry hosts, through which workers may be reached; those that opened no
	// tunnel are avoided for a while. Never modified in place.
	peers            []Peer
	peerAvoidedUntil table.Table[ident.Host, time.Time]
	// zoneRespondedAt is when a worker of each other zone last responded.
	zoneRespondedAt table.Table[ident.Zone, time.Time]
	// drainedZones are the zones drained by operators; drainClosesAt is the time from which
	// nothing at all is sent to each of them.
	drainedZones  zones.Drained
	drainClosesAt table.Table[ident.Zone, time.Time]
	// hostCount is the number of entry hosts; hostCountKnown is set once a replica has reported
	// it.
	hostCount      int
	hostCountKnown bool
	plannedStop
	counters Counters
	// rollouts holds the current version of each service and its newest rollout.
	rollouts rollouts.State
	// evidence counts the requests and answers of running rollouts since it was last taken;
	// brokenOffAt is when an answer of each worker that broke off was last counted.
	evidence    canary.Evidence
	brokenOffAt table.Table[ident.Target, time.Time]
	processes   processes
	// workersAsOf is the time as of which all workers are known.
	workersAsOf time.Time
	// streams are the versions that began streams.
	streams streamOrigins
	// soleVersions are the pools that have had a single version of late; routesChangedAt is when the route
	// table last changed.
	soleVersions    table.Table[ident.Service, soleVersion]
	routesChangedAt time.Time
	// startedAt is when the host started, zero if requests do not wait for that; waiting holds those that do.
	startedAt time.Time
	waiting   table.Table[ident.Request, waitingRequest]
	// resumedAt is when the process last resumed after a stall; zero if it never stood still.
	// departuresAsOf is the time as of which it knows all workers that leave.
	resumedAt      time.Time
	departuresAsOf time.Time
}

// New returns the state of a host without a route table.
func New(s Settings) State { return State{settings: s.withDefaults(), hostCount: defaultHostCount} }

// defaultHostCount is the assumed number of entry hosts until a replica reports it.
const defaultHostCount = 16

// WithRouteTable returns the state with the route table t in force. Tables older than the current
// one are ignored.
func (s State) WithRouteTable(t config.RouteTable) State {
	if t.Number <= s.tableNumber {
		return s
	}
	s.tableNumber = t.Number
	s.routes = t.Index()
	return s.withoutRemovedRoutes()
}

// WithNewerTableKnown returns the state after learning whether a newer route table than the one
// held exists.
func (s State) WithNewerTableKnown(known bool) State {
	s.newerTableKnown = known
	return s
}

// WithHostCount returns the state of one of n entry hosts.
func (s State) WithHostCount(n int) State {
	s.hostCount, s.hostCountKnown = max(1, n), true
	return s
}

// HostCount returns the number of entry hosts by which limits of the whole fleet are divided.
func (s State) HostCount() int { return s.hostCount }

// TableNumber returns the number of the route table in force; 0 if there is none.
func (s State) TableNumber() uint64 { return s.tableNumber }

// Workers yields all known workers in the order of their ids.
func (s State) Workers() iter.Seq[registry.Worker] {
	return func(yield func(registry.Worker) bool) {
		for _, w := range s.workers.All() {
			if !yield(w.Worker) {
				return
			}
		}
	}
}

// WorkerCount returns the number of known workers.
func (s State) WorkerCount() int { return s.workers.Len() }

// Worker returns a worker as this host knows it.
func (s State) Worker(id ident.Target) (registry.Worker, bool) {
	w, ok := s.workers.Get(id)
	return w.Worker, ok
}

// RegistrationSource returns the host that last sent a worker's registration.
func (s State) RegistrationSource(id ident.Target) ident.Host {
	w, _ := s.workers.Get(id)
	return w.reportedBy
}

// Idle reports whether no request is in progress or waiting.
func (s State) Idle() bool { return s.calls.Len() == 0 && s.waiting.Len() == 0 }

// Counters returns the counts so far.
func (s State) Counters() Counters { return s.counters }

// handleAttempt applies an event of an attempt in progress.
func (t *transition) handleAttempt(ev Event) {
	switch ev := ev.(type) {
	case HeaderReceived:
		t.handleHeader(ev)
	case HeaderTimedOut:
		t.handleHeaderTimeout(ev)
	case ResponseUnmatched:
		t.handleUnmatched(ev)
	case Connected:
		t.handleConnected(ev)
	case StreamBegun:
		t.handleStreamBegun(ev)
	case AttemptEnded:
		t.handleAttemptEnded(ev)
	}
}

// Reduce applies one event and returns the next state with the decisions that follow.
func Reduce(s State, ev Event, now time.Time) (State, []Decision) {
	t := transition{State: s, now: now}
	switch ev := ev.(type) {
	case Arrived:
		t.handleArrival(ev.Request)
	case HeaderReceived, HeaderTimedOut, ResponseUnmatched, Connected, StreamBegun, AttemptEnded:
		t.handleAttempt(ev)
	case OriginFound:
		t.handleOriginFound(ev)
	case ProcessSeen:
		t.handleProcessSeen(ev)
	case PauseEnded:
		t.handlePauseEnded(ev)
	case Expired:
		t.handleExpiry(ev.Request)
	case Registered:
		t.handleRegistrations(ev)
	case LoadsReported:
		t.handleLoads(ev)
	case ZonesSilent:
		t.handleSilentZones(ev.Zones)
	case Confirmed:
		t.confirmed = t.confirmed.Latest(ev.Confirmation)
	case ProbeEnded:
		t.handleProbeEnded(ev)
	case TunnelRefused:
		t.handleTunnelRefused(ev)
	case Withdrawn:
		t.handleWithdrawal(ev.Request)
	case Stopping:
		t.stopsAt = ev.EndsAt
	case HeadReceived:
		t.handleHead(ev.Request)
	case Stopped:
		t.handleStopped(ev)
	case Closing:
		t.closing = true
	case Tick:
		t.probeContact()
	}
	t.processWaiting()
	return t.State, t.out
}

// transition is the working copy of the state during one Reduce.
type transition struct {
	State
	now time.Time
	out []Decision
}
