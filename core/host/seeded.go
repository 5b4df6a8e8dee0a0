// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/inforce"
	"github.com/yardhall/yardhall/core/membership"
	"github.com/yardhall/yardhall/core/relay"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/table"
	"github.com/yardhall/yardhall/core/zones"
)

// seededState is the state of a process of a seeded fleet besides the replicated log and the
// requests. Entry hosts poll (polling.go, pollreply.go, hub.go, fallback.go); replicas and hubs
// reply to their clients (clients.go, updates.go, loadsums.go, tables.go).
type seededState struct {
	// Polling. pollAt is when the next polls are due, lastPollNumber the number of the last
	// poll sent, and pendingPolls holds when each unanswered poll was sent.
	pollAt time.Time
	// lastEventAt is when this process last handled an event.
	lastEventAt time.Time
	// startRounds counts the rounds of polls before the first reply.
	startRounds    uint
	lastPollNumber uint64
	pendingPolls   table.Table[uint64, time.Time]
	// replicas are the members last reported by a leader with a lease, contacts the polled
	// replicas, hubs and fallback peers.
	replicas []ident.Host
	contacts table.Table[ident.Host, contact]
	// leaderContact is the host that is asked for confirmations, leaderReplyAt is when the last
	// one arrived, and leaderPicks counts changes of the contact.
	leaderContact ident.Host
	leaderReplyAt time.Time
	leaderPicks   int
	// nextReplica counts the replicas polled in turn while all hubs fail.
	nextReplica int
	// hosts is the number of entry hosts, as reported by a leader.
	hosts int
	// mostHosts is the highest number of entry hosts reported lately, mostHostsAt is when it was last reported.
	mostHosts   int
	mostHostsAt time.Time
	// newestVersion is the newest table version known, newerKnownAt is since when it has been
	// newer than the one held; zero while it is not.
	newestVersion config.Version
	newerKnownAt  time.Time
	// loadsDueAt is when loads are requested next, loadsPoll is the number of the poll that last did.
	loadsDueAt time.Time
	loadsPoll  uint64
	hub        hubState
	fallback   fallbackState

	// Replying. clients are the hosts that poll this one.
	clients table.Table[ident.Host, client]
	sums    loadSums
	// departed are the loads of clients that report them to another host now.
	departed table.Table[ident.Host, departedLoads]
	// bulk limits the bytes of tables and full batches of registrations. lastUpdated is the host
	// that was last sent an update.
	bulk        bulkLimit
	lastUpdated ident.Host
	batches     workerBatches
	// recentTables are the newest route tables. packedTables holds, by the version it starts
	// from, the packed delta to the newest one.
	recentTables table.Table[config.Version, config.RouteTable]
	packedTables table.Table[config.Version, []byte]

	// inForce tracks which tables are in force.
	inForce inforce.State
	// zones are the drained zones that this entry host serves by. zonesInForce tracks which
	// revisions of them are in force.
	zones        zones.Drained
	zonesInForce inforce.State
	// earlierReplicaSeenAt is when a replica of an earlier version, without support for drained
	// zones, last sent a message of the replicated log.
	earlierReplicaSeenAt time.Time
	// rollouts are the versions that serve each service.
	rollouts rolloutState
	// relay is the state of this host as a relay. relays are those that a replica selected; the
	// slice is never modified in place.
	relay  relay.State
	relays []hubs.Host
	// departures are the workers that have begun to leave.
	departures departureState
	// replacements are the workers that clients of this hub found replaced.
	replacements requests.Replacements
	// registryScannedAt is when the registrations were last scanned.
	registryScannedAt time.Time
	// origins are the versions that began streams.
	origins originState
	// prompts are the prefixes of prompts.
	prompts promptState
	// processLookups are the workers whose processes this host looks up.
	processLookups processLookups
	// startup is the progress from the start to service.
	startup startupState
	// membership tracks, on a replica, the replicas that asked to join.
	membership membership.State
}

// tickSeeded runs the periodic work of a process of a seeded fleet.
func (t *transition) tickSeeded() {
	t.tickWrites()
	t.tickReads()
	t.tickPolls()
	if t.settings.IsReplica() {
		t.tickRegistry()
		t.tickCrashes()
		t.pushUpdates()
		t.releaseWrites()
		t.tickRolloutControl()
		t.tickMembers()
		t.maybeCompact()
	}
	t.tickDepartures()
	t.tickOriginReport()
	t.tickPrompts()
	t.tickHub()
	t.tickEvidence()
	if !t.requests.Idle() || !t.requests.HasContact() {
		t.reduceRequests(requests.Tick{})
	}
	t.updateReady()
	t.updateStartup()
}

// updateReady decides whether this host reports itself ready to the load balancer.
func (t *transition) updateReady() {
	isReady := t.requests.Ready(t.now, t.notReadyMargin())
	if isReady != t.ready {
		t.log(LogReady, string(t.settings.ID), fmt.Sprintf("ready=%t version=%d gateway=%d", isReady, t.config.Version, t.requests.TableNumber()))
	}
	t.ready = isReady
}

// balancerDelay is how long a load balancer may keep sending connections to a host that has
// become unready: it polls once a second, acts on the second reply, and a poll itself takes
// some time.
const balancerDelay = 2400 * time.Millisecond

// notReadyMargin returns how long before its key lease ends a host becomes unready, so that the
// balancer has moved new connections before requests are refused. It allows
// leaderTimeoutIntervals polls without a confirmation before that.
func (t *transition) notReadyMargin() time.Duration {
	return min(balancerDelay, max(0, t.requests.KeyLease()-leaderTimeoutIntervals*t.pollInterval()))
}

// reduceRequests feeds an event to the requests of the route table and logs or emits the
// resulting decisions.
func (t *transition) reduceRequests(ev requests.Event) {
	next, decisions := requests.Reduce(t.requests, ev, t.now)
	t.requests = next
	for _, d := range decisions {
		switch d := d.(type) {
		case requests.LookUpOrigin:
			t.lookUpOrigin(d.Stream)
		case requests.LookUpProcess:
			t.lookUpProcess(d.Worker, d.Urgent)
		case requests.WorkerChanged:
			t.logRegistration(d.Worker, fmt.Sprintf("usable=%t state=%s seq=%d born=%s at=%s failures=%d why=%q",
				d.Healthy, d.Worker.State, d.Worker.Seq, d.Worker.Born, d.Worker.Address, d.Failures, d.Reason))
		case requests.WorkerCrashed:
			t.log(LogWorkerRegistration, string(d.Worker), fmt.Sprintf("crashed during %d requests of this host", d.Requests))
		case requests.ContactChanged:
			t.log(LogWorkerContact, string(t.settings.ID), fmt.Sprintf("found=%t reached=%s failed=%s timed_out=%t", d.Found, d.Reached, d.LastFailed, d.TimedOut))
		case requests.ZoneChanged:
			t.log(LogZoneContact, string(d.Zone), fmt.Sprintf("reached=%t others=%t missed=%s", d.Reachable, d.AllOthers, d.LastFailed))
		default:
			t.noteAnswer(d)
			t.emit(RequestDecision{Decision: d})
		}
	}
}

// receiveSeeded handles a message of a seeded fleet other than those of the replicated log.
func (t *transition) receiveSeeded(from ident.Host, m Message) {
	switch m := m.(type) {
	case Poll:
		t.handlePoll(from, m)
	case PollReply:
		t.handlePollReply(from, m)
	case AwaitInForce:
		t.handleAwaitInForce(from, m)
	case StreamsBegun:
		t.handleStreamsBegun(from, m)
	case PromptsSent:
		t.handlePromptsSent(from, m)
	case FrequentPrefixes:
		t.handleFrequentPrefixes(from, m)
	case Join:
		t.handleJoin(from, m)
	case ReadRequest:
		t.handleReadRequest(from, m)
	case ReadReply:
		t.handleReadReply(m)
	default:
		t.receiveRolloutMessage(from, m)
	}
}
