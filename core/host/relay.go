// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/relay"
)

// Package relay decides which heartbeats a relay takes; here workers are answered, and what
// relays have gathered is reported in polls.

// heartbeatReceived takes a worker's heartbeat and answers whether it is acknowledged, and
// where the next ones shall go.
func (t *transition) heartbeatReceived(w registry.Worker) {
	if reason := t.invalidReason(w); reason != "" {
		t.heartbeatInvalid(w.ID, reason)
		t.answerHeartbeat(HeartbeatAnswer{InvalidReason: reason})
		return
	}
	if t.settings.IsReplica() {
		if !t.registry.HasRoom(w.ID) {
			t.answerHeartbeat(HeartbeatAnswer{})
			return
		}
		t.registerHeartbeat(w)
		t.answerHeartbeat(HeartbeatAnswer{Accepted: true, Relay: relay.AddressFor(w, t.seeded.relays)})
		return
	}
	taken := t.mayRelay(w)
	if taken {
		t.seeded.relay = t.seeded.relay.WithHeartbeats(w)
	}
	t.answerHeartbeat(HeartbeatAnswer{Accepted: taken})
}

// deregistrationReceived takes a worker's report that it ends; only replicas do.
func (t *transition) deregistrationReceived(ev DeregistrationReceived) {
	gone := registry.Worker{ID: ev.Worker, State: registry.Gone, Born: ev.Born}
	if err := gone.Check(); err != nil {
		t.heartbeatInvalid(ev.Worker, err.Error())
		t.emit(HeartbeatAnswer{InvalidReason: err.Error()})
		return
	}
	// One that is not known is nowhere sent anything; it is remembered where there is room,
	// so that a late heartbeat does not bring it in.
	taken := t.settings.IsReplica()
	if taken && t.registry.HasRoom(ev.Worker) {
		t.deregister(ev.Worker, ev.Born)
	}
	t.emit(HeartbeatAnswer{Accepted: taken})
}

// answerHeartbeat answers a worker and counts the answer.
func (t *transition) answerHeartbeat(a HeartbeatAnswer) {
	switch {
	case a.InvalidReason != "":
	case !a.Accepted:
		t.counters.HeartbeatsDeclined++
	case a.Relay != "":
		t.counters.HeartbeatsRedirected++
	}
	if a.Accepted {
		t.counters.Heartbeats++
	}
	t.emit(a)
}

// mayRelay tells whether this host takes a heartbeat for the replicas. One that has become
// a hub sends its workers away.
func (t *transition) mayRelay(w registry.Worker) bool {
	known, ok := t.requests.Worker(w.ID)
	if !relay.CanAcknowledge(w, known, ok) || t.draining || t.seeded.hub.serves {
		return false
	}
	if !t.seeded.relay.HasCapacity(w.ID, t.requests.WorkerCount(), t.seeded.hosts) {
		return false
	}
	contact := relay.ReplicaContact{Recent: t.replicaRepliedWithin(relay.ReplicaTimeout), Ever: t.replicaEverReplied()}
	next, kept := t.seeded.relay.Accept(w.ID, contact, t.now)
	t.seeded.relay = next
	return kept
}

// replicaRepliedWithin tells whether any replica, or a hub in touch with one, has replied
// within a time.
func (t *transition) replicaRepliedWithin(within time.Duration) bool {
	for _, c := range t.seeded.contacts.All() {
		if t.now.Sub(c.lastUsefulReply) <= within {
			return true
		}
	}
	return false
}

// replicaEverReplied tells the same of the whole life of this process.
func (t *transition) replicaEverReplied() bool {
	for _, c := range t.seeded.contacts.All() {
		if !c.lastUsefulReply.IsZero() {
			return true
		}
	}
	return false
}

// heartbeatsFor returns the workers that are to be reported to each of the hosts polled
// now: to each replica those that it reported itself, so that no worker is reported to
// several, and to another one where that one is silent.
func (t *transition) heartbeatsFor(polled []ident.Host) map[ident.Host][]registry.Worker {
	if !t.seeded.relay.ReportDue(t.seeded.hub.serves, t.now) {
		return nil
	}
	next, workers := t.seeded.relay.TakeReport(t.now)
	t.seeded.relay = next
	out := map[ident.Host][]registry.Worker{}
	for _, w := range workers {
		to := t.requests.RegistrationSource(w.ID)
		if c, ok := t.seeded.contacts.Get(to); !ok || c.lost || !slices.Contains(polled, to) {
			to = t.heartbeatReceiver()
		}
		out[to] = append(out[to], w)
	}
	return out
}

// heartbeatReceiver is the host to which workers are reported that none of those polled
// reported itself.
func (t *transition) heartbeatReceiver() ident.Host {
	if primary := t.primaryHub(); primary != "" {
		return primary
	}
	return t.sourceOf("beats", replicaTimeout)
}

// nameRelays names the relays of the fleet, on a replica.
func (t *transition) nameRelays(hosts []hubs.Host) {
	t.seeded.relays = relay.Select(hosts, t.registry.Ready(), t.now.Sub(t.started))
}
