// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package host is the whole behaviour of one yardhall process: one reducer
// over all its events. It does no I/O and reads no clock; what must be done is
// returned as effects.
//
// # Usage
//
//	s := host.New(host.Settings{ID: "entry-1", Zone: "hall-a", Serves: true}, seed, now)
//	s, effects := host.Reduce(s, host.Tick{}, now)
//
// A process carries out the effects in order and feeds what comes of them back
// as events. The same events at the same times give the same effects.
//
// It composes packages with states of their own (requests, raft, catalog, registry, hubs,
// relay, inforce, membership, routing): it gathers their inputs and turns what they return
// into effects. What it decides itself, by file:
//
//	polling.go, pollreply.go     seeded fleets: whom to poll, what a reply changes
//	clients.go, updates.go       what clients are sent, and how much at once
//	hub.go, fallback.go          how hubs serve, and whom to poll without replicas
//	crashes.go                   how requests under which workers end become known
//	listedcrashes.go             the same in listed fleets, where all hosts hear each other
//	seeded.go, times.go          readiness, and the times of a seeded fleet
//	zones.go                     how drained zones become known, and orders are answered
//	write.go, read.go            how writes and reads reach the leader
//	replica.go                   what a committed entry changes
//	admit.go, call.go, retry.go  listed fleets: callers' requests
//	backoff.go                   targets that requested a backoff of this host
//	place.go, owner.go           permits of engine groups, on both sides
//	claim.go                     the right to run once
//	orders.go, repair.go         fenced orders, and replacing lost engines
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

// State is a whole process. It is immutable; Reduce returns the next one. The
// zero State belongs to a process without settings that serves nothing.
type State struct {
	settings Settings
	seed     uint64
	draws    uint64
	started  time.Time
	// suspended is for how long the machine was suspended since.
	suspended time.Duration
	draining  bool

	// Replicated state, on replicas only.
	raft    raft.State
	catalog catalog.Catalog
	applied raft.Index
	// appliedBytes counts the bytes of entries applied since the last snapshot.
	appliedBytes int
	// leaderSince is when this replica last became leader.
	leaderSince time.Time
	orders      table.Table[uint64, Order]

	// Configuration in force here.
	config   config.Config
	ready    bool
	leader   ident.Host
	followAt time.Time
	follows  int
	// followers are the hosts that follow this replica.
	followers table.Table[ident.Host, follower]

	// Other hosts.
	peers       table.Table[ident.Host, peer]
	heartbeatAt time.Time
	// loads are the live owners' reports by service; never changed in place.
	loads      map[ident.Service][]routing.GroupLoad
	heartbeats uint64

	// Targets.
	health  table.Table[ident.Target, health.Target]
	probeAt time.Time
	layout  layout
	groups  table.Table[string, routing.Group]
	// backups are the chats of groups that this host would own next.
	backups table.Table[string, routing.Directory]

	// Callers' requests.
	calls    table.Table[ident.Request, call]
	inFlight table.Table[ident.Target, int]
	accounts table.Table[ident.Account, accountUse]
	budget   float64

	writes   table.Table[string, pendingWrite]
	writeSeq uint64
	// origins are the hosts that wait for forwarded writes.
	origins table.Table[string, ident.Host]
	orderAt time.Time
	// repairAt is when the leader next looks for what to repair.
	repairAt time.Time

	// Seeded fleets: what this host knows of the replicas, and what a replica
	// knows of those that sync with it.
	seeded   seededState
	registry registry.Registry
	requests requests.State
	crashes  crashState
	reads    table.Table[string, pendingRead]
	counters Counters
}

// New returns the process as it starts at now.
func New(s Settings, seed uint64, now time.Time) State {
	return State{
		settings: s, seed: seed, started: now, budget: maxBudget,
		requests: requests.New(s.Requests).WithStartedAt(now),
	}
}

// WithReplicaState returns the process with the replicated state read from disk.
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

// Reduce is the transition of a process.
func Reduce(s State, ev Event, now time.Time) (State, []Effect) {
	t := transition{State: s, now: now}
	switch ev := ev.(type) {
	case Tick:
		t.tick()
	case Suspended:
		t.suspended = ev.Total
	case MessageReceived:
		t.receive(ev.From, ev.Message)
	case RequestArrived:
		t.arrive(ev.Request)
	case AttemptEnded:
		t.attemptEnded(ev)
	case LoadReported:
		t.reported(ev)
	case TargetsListed:
		t.listed(ev.Targets)
	case WriteSubmitted:
		t.submit(ev.Write, ev.Deadline)
	case OrderEnded:
		t.orderEnded(ev)
	case EntriesPersisted:
		t.stepRaft(ev.Persisted)
	case Drain:
		t.drain()
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
	return t.State, t.out
}

// transition is the working copy of one transition.
type transition struct {
	State
	now time.Time
	out []Effect
}

func (t *transition) emit(e Effect) { t.out = append(t.out, e) }

func (t *transition) note(kind LogKind, object, detail string) {
	t.emit(LogRecord{Kind: kind, Object: object, Detail: detail})
}

// send transmits m, or delivers it at once where it is for this process.
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
		t.permitRequested(from, m)
	case PermitReply:
		t.permitReplied(from, m)
	case NotOwner:
		t.notOwner(m)
	case ReleasePermit:
		t.permitReleased(m)
	case AdoptPermits:
		t.permitsAdopted(m)
	case AdoptChats:
		t.adoptChats(m)
	case FetchAnswer:
		t.emit(LookUpAnswer{Request: m.Request, For: m.For, To: from})
	case AnswerOf:
		t.answerOf(m)
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
	case Poll:
		t.pollReceived(from, m)
	case PollReply:
		t.handlePollReply(from, m)
	case AwaitInForce:
		t.handleAwaitInForce(from, m)
	case Join:
		t.handleJoin(from, m)
	case ReadRequest:
		t.handleReadRequest(from, m)
	case ReadReply:
		t.handleReadReply(m)
	}
}

// receiveRaft takes a message of the replicated log, unless it is meant for a
// replica whose disk this host no longer has.
func (t *transition) receiveRaft(from ident.Host, m Raft) {
	if m.To == "" {
		t.stepRaft(raft.Receive{From: from, Message: m.Message})
		return
	}
	if m.To == t.settings.replicaID() {
		t.noteReplicaProgram(m)
		t.stepRaft(raft.Receive{From: m.From, Message: m.Message})
	}
}
