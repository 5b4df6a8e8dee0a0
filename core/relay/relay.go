// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package relay decides which workers' heartbeats an entry host takes for the replicas, and
// to which hosts replicas send workers for that. Where a fleet has so many workers that
// their heartbeats would fill the replicas' processors, replicas name entry hosts, other
// ones for each worker, as relays that take further heartbeats.
//
// A relay acknowledges only that a worker is ready, and only where it does not know
// otherwise, and reports the workers to replicas now and then. Whatever else a worker says
// it must say to a replica, so that a worker that leaves is known everywhere as soon as
// without relays.
//
// It owns, on a relay, the heartbeats that wait to be reported and the workers that it keeps
// while no replica replies. It relies on core/host for replies of replicas and for what is
// known of workers.
//
// # Usage
//
//	relays := relay.Name(hosts, readyWorkers, running)      // on a replica
//	address := relay.For(worker, relays)
//	s, kept := s.Keeps(worker.ID, contact, now)             // on a relay
//	s = s.WithHeartbeats(worker)
//	s, gathered := s.Take(now)
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
	// aboveWorkers is the number of ready workers that a replica knows above which it
	// names relays. Chosen; a heartbeat costs a replica est. 0.16 ms of processor, and
	// 333 workers kept a tenth of a core at 45%.
	aboveWorkers = 150
	// aboveHosts is the number of entry hosts above which relays are named from the first
	// heartbeat on: so large a fleet has as many workers, which all come at the same time
	// when it starts. Chosen, not measured.
	aboveHosts = 100
	// warmUp is how long a replica that starts is polled before it names relays, so that
	// not a few of them get all workers. Chosen, not measured.
	warmUp = time.Second
	// roomFactor times its part of all workers, and roomLeast more, is what a relay takes;
	// the others go back to a replica, which knows more relays by then. Chosen, not
	// measured.
	roomFactor = 2
	roomLeast  = 16
	// ReportInterval is the time between two reports of a relay; several fit into the time that
	// a worker may be silent.
	ReportInterval = 1500 * time.Millisecond
	// ReplicaTimeout is how recently a replica must have replied to a relay: one that is
	// cut off must not acknowledge what no replica will know of. It is longer than a host
	// of a large fleet leaves between two polls, and with Interval and one heartbeat
	// shorter than a worker may be silent.
	ReplicaTimeout = 3 * time.Second
)

// Select returns the entry hosts that are relays, on a replica that has run for a time; none
// where a fleet is small.
func Select(hosts []hubs.Host, readyWorkers int, running time.Duration) []hubs.Host {
	small := readyWorkers <= aboveWorkers && len(hosts) <= aboveHosts
	if small || running < warmUp {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h hubs.Host) bool { return h.Relay == "" })
}

// AddressFor returns the address of the relay for a worker, one of its zone if there is one; empty
// for none.
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

// CanAcknowledge tells whether a heartbeat is at odds with nothing that is known of the
// worker, so that a relay may acknowledge it. A worker not known yet has just registered
// with a replica, and its registration is in transit.
func CanAcknowledge(w, have registry.Worker, known bool) bool {
	sameProcess := have.Born == w.Born || have.Born == 0 || w.Born == 0
	same := sameProcess && have.Pool == w.Pool && have.Address == w.Address && have.Zone == w.Zone && have.Slots == w.Slots
	settled := have.State == registry.Ready || have.State == registry.Silent
	return (!known || same && settled) && w.State == registry.Ready
}

// State is what a relay keeps. It is immutable; the zero value has no heartbeats.
type State struct {
	// gathered are the workers whose heartbeats came since the last report, which was
	// sent at sentAt. The map is never changed in place.
	gathered map[ident.Target]registry.Worker
	sentAt   time.Time
	// keptAlone are the workers that a relay without a replica's reply keeps, by when they
	// came from a replica; zero where the relay has sent them there.
	keptAlone table.Table[ident.Target, time.Time]
}

// ReplicaContact is what a relay knows of its replicas.
type ReplicaContact struct {
	// Recent is set where one has replied within ReplicaTimeout, Ever where one has
	// replied to this process at all.
	Recent bool
	Ever   bool
}

// Accept tells whether replicas will know in time that a worker lives: one of them has
// replied, or the worker was at one of them not long ago. A relay without replies sends
// each worker back once, and when it returns, which it does from a replica, keeps it for
// ReplicaTimeout. If it sent back every heartbeat, replicas that are slow to reply would
// get all heartbeats of the fleet, and be slower still.
func (s State) Accept(id ident.Target, c ReplicaContact, now time.Time) (State, bool) {
	if c.Recent {
		s.keptAlone = table.Table[ident.Target, time.Time]{}
		return s, true
	}
	came, known := s.keptAlone.Get(id)
	if !known && !c.Ever {
		// This relay has just started: whoever comes was sent by a replica.
		came, known = now, true
	}
	if !known || !came.IsZero() && now.Sub(came) >= ReplicaTimeout {
		s.keptAlone = s.keptAlone.With(id, time.Time{})
		return s, false
	}
	if came.IsZero() {
		came = now
	}
	s.keptAlone = s.keptAlone.With(id, came)
	return s, true
}

// HasCapacity tells whether a relay takes one more worker between two reports, by how many
// workers and entry hosts there are.
func (s State) HasCapacity(id ident.Target, workers, hosts int) bool {
	if _, ok := s.gathered[id]; ok {
		return true
	}
	return len(s.gathered) < roomLeast+roomFactor*workers/max(1, hosts)
}

// WithHeartbeats keeps workers whose heartbeats are to be reported to replicas.
func (s State) WithHeartbeats(workers ...registry.Worker) State {
	if len(workers) == 0 {
		return s
	}
	gathered := make(map[ident.Target]registry.Worker, len(s.gathered)+len(workers))
	maps.Copy(gathered, s.gathered)
	for _, w := range workers {
		if have, ok := gathered[w.ID]; !ok || registry.Newer(w, have) {
			gathered[w.ID] = w
		}
	}
	s.gathered = gathered
	return s
}

// ReportDue tells whether there are heartbeats to report now; a hub passes on at once what relays
// have gathered.
func (s State) ReportDue(isHub bool, now time.Time) bool {
	return len(s.gathered) > 0 && (isHub || now.Sub(s.sentAt) >= ReportInterval)
}

// TakeReport takes out the heartbeats to report, in the order of the workers' ids.
func (s State) TakeReport(now time.Time) (State, []registry.Worker) {
	workers := slices.SortedFunc(maps.Values(s.gathered), registry.ByID)
	s.gathered, s.sentAt = nil, now
	return s, workers
}
