// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package host implements the decision logic of a yardhall process as a single reducer over its
// events. It does no I/O and reads no clock; actions are returned as effects.
//
// # Usage
//
//	s := host.New(host.Settings{ID: "entry-1", Zone: "hall-a", Serves: true}, seed, now)
//	s, effects := host.Reduce(s, host.Tick{}, now)
//
// The process carries out the effects in order and reports their results as events. The same events
// at the same times give the same effects.
//
// The package composes others that have state of their own (requests, raft, catalog, registry,
// hubs, relay, inforce, membership, routing): it collects their inputs and turns their results into
// effects.
//
// Seeded fleets find their replicas through seed addresses and serve a route table; in listed
// fleets the configuration lists all hosts and targets. The files of this package:
//
//	poll*.go                     polls of seeded fleets, and how replies are applied
//	clients.go, updates.go       replies to polling hosts, and updates between polls
//	hub.go, fallback.go          hubs, and polling other entry hosts when no replica replies
//	*departures.go, sendwindow.go workers that leave, and what a client has of ordered updates
//	stall.go                     when requests wait for news of workers
//	crashes.go                   distribution of the requests that crash workers
//	origins.go                   distribution of the versions that began streams
//	prompts.go                   distribution of the most frequent prefixes of prompts
//	listedcrashes.go             the same in listed fleets
//	seeded.go, times.go          readiness and timeouts of seeded fleets
//	zones.go                     distribution and acknowledgement of zone drain orders
//	rollouts*.go, evidence.go    distribution, acknowledgement and control of rollouts
//	write.go, read.go            forwarding of writes and reads to the leader
//	replica.go                   application of committed log entries
//	admit.go, call.go, retry.go  callers' requests in listed fleets
//	backoff.go                   backoffs requested by targets in listed fleets
//	place.go, owner.go           engine group permits: requesting and granting
//	claim.go                     claims for requests that must run at most once
//	orders.go, repair.go         fenced orders, and replacement of lost engines
//	peers.go, follow.go          heartbeats between hosts, and following a replica
package host

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/routing"
	"github.com/yardhall/yardhall/core/table"
)

// State is the state of a process. It is immutable; Reduce returns the next one. The zero State
// belongs to a process without settings that serves nothing.
type State struct {
	settings    Settings
	seed        uint64
	jitterDraws uint64
	started     time.Time
	// suspended is the total time the machine was suspended since started.
	suspended time.Duration
	draining  bool

	// Replicated state, on replicas only.
	raft    raft.State
	catalog catalog.Catalog
	applied raft.Index
	// appliedBytes is the size of the entries applied since the last snapshot.
	appliedBytes int
	// leaderSince is when this replica last became leader.
	leaderSince time.Time
	orders      table.Table[uint64, Order]

	// Configuration that this host applies.
	config         config.Config
	ready          bool
	leader         ident.Host
	nextFollowAt   time.Time
	followAttempts int
	// followers are the hosts that follow this replica's configuration.
	followers table.Table[ident.Host, follower]

	// Other hosts.
	peers           table.Table[ident.Host, peer]
	nextHeartbeatAt time.Time
	groupLoads      map[ident.Service][]routing.GroupLoad
	heartbeats      uint64

	// Targets.
	health      table.Table[ident.Target, health.Target]
	nextProbeAt time.Time
	layout      layout
	groups      table.Table[string, routing.Group]
	// chatBackups are the chats of groups that this host is next in line to own.
	chatBackups table.Table[string, routing.Directory]

	// Callers' requests of listed fleets.
	calls       table.Table[ident.Request, call]
	inFlight    table.Table[ident.Target, int]
	accounts    table.Table[ident.Account, accountUsage]
	retryBudget float64

	writes   table.Table[string, pendingWrite]
	writeSeq uint64
	// writeOrigins are the hosts that wait for the results of writes they forwarded.
	writeOrigins table.Table[string, ident.Host]
	nextOrderAt  time.Time
	// nextRepairAt is when the leader next checks for lost engines.
	nextRepairAt time.Time

	// Seeded fleets: contacts with replicas and polling hosts, registered workers, and requests of
	// the route table.
	seeded   seededState
	registry registry.Registry
	requests requests.State
	crashes  crashState
	reads    table.Table[string, pendingRead]
	counters Counters
}

// New returns the state of a process that starts at now.
func New(s Settings, seed uint64, now time.Time) State {
	return State{
		settings: s, seed: seed, started: now, retryBudget: maxRetryBudget,
		requests: requests.New(s.Requests).WithStartedAt(now),
	}
}

// WithReplicaState returns the state with the replicated state read from disk.
func (s State) WithReplicaState(b raft.Boot, now time.Time) (State, error) {
	if len(b.Snapshot.Data) > 0 {
		c, err := catalog.Decode(b.Snapshot.Data)
		if err != nil {
			return s, err
		}
		s.catalog = c
	}
	if len(b.Members) == 0 {
		for _, r := range s.settings.Replicas {
			b.Members = append(b.Members, raft.Member{ID: r.ID, Voter: true})
		}
	}
	s.applied = b.Snapshot.Index
	s.raft = raft.New(s.settings.replicaID(), s.settings.Raft, s.seed, b, now)
	return s, nil
}

// Reduce applies an event and returns the next state and the effects to carry out.
func Reduce(s State, ev Event, now time.Time) (State, []Effect) {
	t := transition{State: s, now: now}
	t.noteStall()
	switch ev := ev.(type) {
	case Tick:
		t.tick()
	case Suspended:
		t.suspended = ev.Total
	case MessageReceived:
		t.receive(ev.From, ev.Message)
	case RequestArrived:
		t.handleRequestArrived(ev.Request)
	case AttemptEnded:
		t.handleAttemptEnded(ev)
	case LoadReported:
		t.handleLoadReported(ev)
	case TargetsListed:
		t.handleTargetsListed(ev.Targets)
	case WriteSubmitted:
		t.submit(ev.Write, ev.Deadline)
	case OrderEnded:
		t.handleOrderEnded(ev)
	case EntriesPersisted:
		t.stepRaft(ev.Persisted)
	case DeparturesPersisted:
		t.handleDeparturesPersisted(ev.Position)
	case Drain:
		t.startDrain()
	case ReplicaChange:
		t.stepRaft(raft.ChangeMember{Member: ev.Member, Remove: ev.Remove})
	case RequestEvent:
		t.reduceRequests(ev.Event)
	case HeartbeatReceived:
		t.handleHeartbeat(ev.Worker)
	case DeregistrationReceived:
		t.handleDeregistration(ev)
	case HeartbeatUnreadable:
		t.rejectHeartbeat(ev.Worker, ev.Reason)
		t.emit(HeartbeatAnswer{InvalidReason: ev.Reason})
	case ReadSubmitted:
		t.handleRead(ev)
	case SeedsChanged:
		t.settings.Seeds = ev.Seeds
	}
	return t.State, t.effects
}

// transition is the mutable working copy of the state while Reduce runs.
type transition struct {
	State
	now     time.Time
	effects []Effect
}

func (t *transition) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *transition) log(kind LogKind, object, detail string) {
	t.emit(LogRecord{Kind: kind, Object: object, Detail: detail})
}

// send transmits m; a message to this host itself is handled immediately.
func (t *transition) send(to ident.Host, m Message) {
	to = to.Address()
	if to == t.settings.ID {
		t.receive(to, m)
		return
	}
	t.emit(Send{To: to, Message: m})
}

func (t *transition) tick() {
	t.stepRaft(raft.Tick{})
	if t.settings.Seeded() {
		t.tickSeeded()
		return
	}
	t.tickPeers()
	t.tickFollow()
	t.tickWrites()
	t.tickGroups()
	t.tickCalls()
	t.tickOrders()
	t.tickRepair()
	t.tickCrashes()
	t.maybeCompact()
}

func (t *transition) receive(from ident.Host, m Message) {
	switch m := m.(type) {
	case Raft:
		t.receiveRaft(from, m)
	case PeerHeartbeat:
		t.handlePeerHeartbeat(from, m.Beat)
	case RequestPermit:
		t.handleRequestPermit(from, m)
	case PermitReply:
		t.handlePermitReply(from, m)
	case NotOwner:
		t.handleNotOwner(m)
	case ReleasePermit:
		t.handleReleasePermit(m)
	case AdoptPermits:
		t.handleAdoptPermits(m)
	case AdoptChats:
		t.handleAdoptChats(m)
	case FetchAnswer:
		t.emit(LookUpAnswer{Request: m.Request, For: m.For, To: from})
	case AnswerOf:
		t.handleAnswerOf(m)
	case Follow:
		t.handleFollow(from, m)
	case Changes:
		t.handleChanges(from, m)
	case WholeConfig:
		t.handleWholeConfig(from, m)
	case ForwardWrite:
		t.handleForwardWrite(from, m)
	case WriteAnswered:
		t.handleWriteAnswered(m.ID, m.Result)
	default:
		t.receiveSeeded(from, m)
	}
}

// receiveRaft handles a message of the replicated log. It ignores messages to another replica
// identity, such as one whose disk this host has lost.
func (t *transition) receiveRaft(from ident.Host, m Raft) {
	if m.To == "" {
		t.stepRaft(raft.Receive{From: from, Message: m.Message})
		return
	}
	if m.To == t.settings.replicaID() {
		t.recordReplicaVersion(m)
		t.seeded.membership = t.seeded.membership.WithZone(m.From, m.Zone)
		t.applyRelayedDepartures(m)
		t.stepRaft(raft.Receive{From: m.From, Message: m.Message})
	}
}
