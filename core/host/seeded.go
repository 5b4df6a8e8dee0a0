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

// seededState is what a process of a seeded fleet keeps beside the replicated log and the
// requests. Entry hosts poll (polling.go, pollreply.go, hub.go, fallback.go); replicas and
// hubs reply to their clients (clients.go, updates.go, loadsums.go, tables.go).
type seededState struct {
	// Polling: pollAt is when polls are next due, round the number of the last one,
	// rounds are when unanswered polls were sent.
	pollAt time.Time
	round  uint64
	rounds table.Table[uint64, time.Time]
	// replicas are the members that a leader with a lease last reported; contacts are
	// the replicas and hubs polled.
	replicas []ident.Host
	contacts table.Table[ident.Host, contact]
	// leaderContact is whom this host polls for confirmations, leaderReplyAt when it got
	// the last one; leaderPicks counts how often another was picked.
	leaderContact ident.Host
	leaderReplyAt time.Time
	leaderPicks   int
	// hosts is how many entry hosts there are, as a leader reports.
	hosts int
	// newest is the newest table that this host knows of, newerKnownAt since when it is
	// newer than the one held.
	newest       config.Version
	newerKnownAt time.Time
	// loadsAt is when loads are next polled for.
	loadsAt  time.Time
	hub      hubState
	fallback fallbackState

	// Replying: clients are the hosts that poll this one.
	clients table.Table[ident.Host, client]
	sums    loadSums
	// bulkBytes counts the bytes of tables and of many registrations sent since the
	// last tick, updatedLast is the host that was sent an update last.
	bulkBytes   int
	updatedLast ident.Host
	batches     workerBatches
	// tables are the newest route tables, packed what leads from each of them to the
	// newest one.
	tables table.Table[config.Version, config.RouteTable]
	packed table.Table[config.Version, []byte]

	// inForce is what is known of which tables are in force.
	inForce inforce.State
	// zones are the drained zones that an entry host serves by, zonesInForce is what is known
	// of which ones are in force.
	zones        zones.Drained
	zonesInForce inforce.State
	// earlierReplicaAt is when a replica whose program knows nothing of zones last sent a
	// message of the replicated log.
	earlierReplicaAt time.Time
	// relay is what a relay keeps, relays are those that a replica names; never changed in
	// place.
	relay  relay.State
	relays []hubs.Host
	// replacements are the workers that clients of this hub found replaced.
	replacements requests.Replacements
	// lookedAt is when the registrations were last looked over.
	lookedAt time.Time
	// membership is what a replica keeps of the replicas that ask to be taken in.
	membership membership.State
}

// tickSeeded lets time pass in a process of a seeded fleet.
func (t *transition) tickSeeded() {
	t.tickWrites()
	t.tickReads()
	t.tickPolls()
	if t.settings.IsReplica() {
		t.tickRegistry()
		t.tickCrashes()
		t.pushUpdates()
		t.releaseAnswers()
		t.tickMembers()
		t.maybeCompact()
	}
	t.tickHub()
	if t.requests.WaitingCount() > 0 {
		t.reduceRequests(requests.Tick{})
	}
	t.tickReady()
}

// tickReady decides whether this host tells the balancer that it is ready.
func (t *transition) tickReady() {
	ready := t.requests.Ready(t.now, t.readyNotice())
	if ready != t.ready {
		t.log(LogReady, string(t.settings.ID), fmt.Sprintf("ready=%t version=%d gateway=%d", ready, t.config.Version, t.requests.TableNumber()))
	}
	t.ready = ready
}

// balancerNotice is how long a balancer goes on sending connections to a host that is no
// longer ready: it polls each second, believes the second reply, and needs some time for
// the poll itself.
const balancerNotice = 2400 * time.Millisecond

// readyNotice is how long before its key lease ends a host says that it is not ready, so
// that no new connection meets a refusal. It leaves leaderTimeoutIntervals polls without a
// confirmation before.
func (t *transition) readyNotice() time.Duration {
	return min(balancerNotice, max(0, t.requests.KeyLease()-leaderTimeoutIntervals*t.pollInterval()))
}

// reduceRequests feeds the requests of the route table and carries out what is decided.
func (t *transition) reduceRequests(ev requests.Event) {
	next, decisions := requests.Reduce(t.requests, ev, t.now)
	t.requests = next
	for _, d := range decisions {
		switch d := d.(type) {
		case requests.WorkerChanged:
			t.log(LogWorkerRegistration, string(d.Worker.ID), fmt.Sprintf("usable=%t state=%s seq=%d born=%s at=%s failures=%d why=%q",
				d.Healthy, d.Worker.State, d.Worker.Seq, d.Worker.Born, d.Worker.Address, d.Failures, d.Reason))
		case requests.WorkerCrashed:
			t.log(LogWorkerRegistration, string(d.Worker), fmt.Sprintf("ended under %d requests of this host", d.Requests))
		case requests.ZoneChanged:
			t.log(LogZoneContact, string(d.Zone), fmt.Sprintf("reached=%t others=%t missed=%s", d.Reachable, d.AllOthers, d.LastFailed))
		default:
			t.emit(RequestDecision{Decision: d})
		}
	}
}
