// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package relay decides which workers' heartbeats an entry host accepts on behalf of the
// replicas, and to which hosts replicas redirect workers. In a fleet with so many workers that
// their heartbeats would saturate the replicas, replicas select entry hosts as relays and
// redirect each worker to one of them for its next heartbeats.
//
// A relay acknowledges a heartbeat only if it changes nothing the relay knows of the worker,
// and reports the workers to replicas at intervals. Every other heartbeat must go to a replica,
// so that a worker that leaves is known everywhere as early as without relays.
//
// State keeps, on a relay, the heartbeats to be reported and the workers accepted while no
// replica replies. Package core/host provides the times of replies and the known workers.
//
// # Usage
//
//	relays := relay.Select(hosts, readyWorkers, running)      // on a replica
//	address := relay.AddressFor(worker, relays)
//	s, accepted := s.Accept(worker.ID, contact, now)          // on a relay
//	s = s.WithHeartbeats(worker)
//	s, workers := s.TakeReport(now)
package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

const (
	// workerThreshold is the number of ready workers above which a replica selects relays: 333 workers
	// kept a replica with a tenth of a core at 45%.
	workerThreshold = 150
	// hostThreshold is the number of entry hosts above which relays are selected from the first
	// heartbeat on: a fleet of that size has as many workers, which all register at the same time
	// when it starts.
	hostThreshold = 100
	// warmUp is how long a started replica is polled before it selects relays, so that workers
	// are not all redirected to the first few entry hosts that poll.
	warmUp = time.Second
	// A relay accepts capacityFactor times its share of all workers, plus minCapacity. Other
	// workers are redirected to a replica, which knows more relays by then.
	capacityFactor = 2
	minCapacity    = 16
	// ReportInterval is the time between two reports of a relay, a fraction of the time after
	// which a silent worker is considered lost.
	ReportInterval = 1500 * time.Millisecond
	// ReplicaTimeout is how recently a replica must have replied to a relay: one that is
	// partitioned must not acknowledge heartbeats that no replica will learn of. It is longer
	// than the poll interval in a large fleet, and together with ReportInterval and one heartbeat
	// interval shorter than the time after which a silent worker is considered lost.
	ReplicaTimeout = 3 * time.Second
)

// Select returns the entry hosts that are relays; none in a small fleet, or if the replica has
// been running for less than warmUp.
func Select(hosts []hubs.Host, readyWorkers int, running time.Duration) []hubs.Host {
	small := readyWorkers <= workerThreshold && len(hosts) <= hostThreshold
	if small || running < warmUp {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h hubs.Host) bool { return h.Relay == "" })
}

// AddressFor returns the address of the relay for a worker, preferably in the worker's zone;
// empty if there is none.
func AddressFor(w registry.Worker, relays []hubs.Host) string {
	if w.State != registry.Ready {
		return ""
	}
	inZone := slices.DeleteFunc(slices.Clone(relays), func(h hubs.Host) bool { return h.Zone != w.Zone })
	if len(inZone) == 0 {
		inZone = relays
	}
	relay, _ := hash.Best(hash.Of(string(w.ID)), inZone, func(h hubs.Host) string { return h.Relay })
	return relay.Relay
}

// CanAcknowledge reports whether a relay may acknowledge the heartbeat w: it agrees with what is
// known of the worker. A worker not known yet has just registered with a replica, and its
// registration is still in transit.
func CanAcknowledge(w, registered registry.Worker, known bool) bool {
	sameProcess := registered.Born == w.Born || registered.Born == 0 || w.Born == 0
	sameRegistration := sameProcess && registered.Pool == w.Pool && registered.Address == w.Address && registered.Zone == w.Zone && registered.Slots == w.Slots
	active := registered.State == registry.Ready || registered.State == registry.Silent
	return (!known || sameRegistration && active) && w.State == registry.Ready
}

// State is the state of a relay. It is immutable; the zero value has no heartbeats.
type State struct {
	// pending are the workers whose heartbeats have arrived since the last report, which was sent
	// at reportedAt. The map is never modified in place.
	pending    map[ident.Target]registry.Worker
	reportedAt time.Time
	// acceptedSince maps the workers handled while no replica replies to the time since when the
	// relay has accepted them; zero if it has redirected them to a replica.
	acceptedSince table.Table[ident.Target, time.Time]
}

// ReplicaContact is a relay's contact with its replicas.
type ReplicaContact struct {
	// Recent is set if a replica has replied within ReplicaTimeout, Ever if one has replied to
	// this process at all.
	Recent bool
	Ever   bool
}

// Accept reports whether replicas can be assumed to know in time that a worker is alive: one of
// them has replied recently, or the worker was at one of them recently. Without replies, a relay
// redirects each worker to a replica once, and accepts it for ReplicaTimeout after it returns
// from there. If it redirected every heartbeat, replicas that are slow to reply would get all
// heartbeats of the fleet and become slower still.
func (s State) Accept(id ident.Target, c ReplicaContact, now time.Time) (State, bool) {
	if c.Recent {
		s.acceptedSince = table.Table[ident.Target, time.Time]{}
		return s, true
	}
	since, known := s.acceptedSince.Get(id)
	if !known && !c.Ever {
		// This relay has just started, so the worker was redirected here by a replica.
		since, known = now, true
	}
	if !known || !since.IsZero() && now.Sub(since) >= ReplicaTimeout {
		s.acceptedSince = s.acceptedSince.With(id, time.Time{})
		return s, false
	}
	if since.IsZero() {
		since = now
	}
	s.acceptedSince = s.acceptedSince.With(id, since)
	return s, true
}

// HasCapacity reports whether a relay accepts a worker's heartbeat until its next report, given
// the numbers of workers and entry hosts in the fleet.
func (s State) HasCapacity(id ident.Target, workers, hosts int) bool {
	if _, ok := s.pending[id]; ok {
		return true
	}
	return len(s.pending) < minCapacity+capacityFactor*workers/max(1, hosts)
}

// WithHeartbeats adds workers whose heartbeats are to be reported to replicas.
func (s State) WithHeartbeats(workers ...registry.Worker) State {
	if len(workers) == 0 {
		return s
	}
	pending := make(map[ident.Target]registry.Worker, len(s.pending)+len(workers))
	maps.Copy(pending, s.pending)
	for _, w := range workers {
		if have, ok := pending[w.ID]; !ok || registry.Newer(w, have) {
			pending[w.ID] = w
		}
	}
	s.pending = pending
	return s
}

// ReportDue reports whether pending heartbeats are to be reported now. A hub forwards at once
// what relays have reported to it.
func (s State) ReportDue(isHub bool, now time.Time) bool {
	return len(s.pending) > 0 && (isHub || now.Sub(s.reportedAt) >= ReportInterval)
}

// TakeReport removes and returns the pending heartbeats, ordered by worker id.
func (s State) TakeReport(now time.Time) (State, []registry.Worker) {
	workers := slices.SortedFunc(maps.Values(s.pending), registry.ByID)
	s.pending, s.reportedAt = nil, now
	return s, workers
}
