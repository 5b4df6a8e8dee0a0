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

// Package relay decides which heartbeats a relay accepts. This file answers workers and reports
// the accepted heartbeats in polls.

// handleHeartbeat processes a worker's heartbeat and answers whether it was accepted. A
// replica's answer also names the relay to send further heartbeats to, if any.
func (t *transition) handleHeartbeat(w registry.Worker) {
	if reason := t.invalidReason(w); reason != "" {
		t.rejectHeartbeat(w.ID, reason)
		t.answerHeartbeat(HeartbeatAnswer{InvalidReason: reason})
		return
	}
	if t.settings.IsReplica() {
		if !t.announcesRegistrations() || !t.makeRoom(w.ID) {
			t.answerHeartbeat(HeartbeatAnswer{})
			return
		}
		t.registerHeartbeat(w, false)
		t.answerHeartbeat(HeartbeatAnswer{Accepted: true, Relay: relay.AddressFor(w, t.seeded.relays)})
		return
	}
	accepted := t.acceptForRelay(w)
	if accepted {
		t.seeded.relay = t.seeded.relay.WithHeartbeats(w)
	}
	t.answerHeartbeat(HeartbeatAnswer{Accepted: accepted})
}

// handleDeregistration processes a worker's report that it is stopping. Only replicas whose
// registrations hosts learn of accept it.
func (t *transition) handleDeregistration(ev DeregistrationReceived) {
	gone := registry.Worker{ID: ev.Worker, State: registry.Gone, Born: ev.Born}
	if err := gone.Check(); err != nil {
		t.rejectHeartbeat(ev.Worker, err.Error())
		t.emit(HeartbeatAnswer{InvalidReason: err.Error()})
		return
	}
	// An unknown worker is not announced to hosts, but it is recorded if there is room, so that
	// a late heartbeat does not register it.
	accepted := t.announcesRegistrations()
	if accepted && t.makeRoom(ev.Worker) {
		t.deregister(ev.Worker, ev.Born)
	}
	t.emit(HeartbeatAnswer{Accepted: accepted})
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

// acceptForRelay reports whether this host accepts a heartbeat on behalf of the replicas, and
// records the decision. A host that has become a hub declines, which sends its workers back to
// the replicas.
func (t *transition) acceptForRelay(w registry.Worker) bool {
	known, isKnown := t.requests.Worker(w.ID)
	if !relay.CanAcknowledge(w, known, isKnown) || t.draining || t.seeded.hub.replies {
		return false
	}
	if !t.seeded.relay.HasCapacity(w.ID, t.requests.WorkerCount(), t.seeded.hosts) {
		return false
	}
	contact := relay.ReplicaContact{Recent: t.replicaRepliedWithin(relay.ReplicaTimeout), Ever: t.replicaEverReplied()}
	next, accepted := t.seeded.relay.Accept(w.ID, contact, t.now)
	t.seeded.relay = next
	return accepted
}

// replicaRepliedWithin reports whether a replica, or a hub in contact with one, has replied
// within a time.
func (t *transition) replicaRepliedWithin(within time.Duration) bool {
	for _, c := range t.seeded.contacts.All() {
		if t.now.Sub(c.lastUsefulReply) <= within {
			return true
		}
	}
	return false
}

// replicaEverReplied reports whether a replica, or a hub in contact with one, has replied since
// this process started.
func (t *transition) replicaEverReplied() bool {
	for _, c := range t.seeded.contacts.All() {
		if !c.lastUsefulReply.IsZero() {
			return true
		}
	}
	return false
}

// dequeueHeartbeats removes the accepted heartbeats that are due for a report and returns them
// by receiver. Each worker is reported to the replica that registered it, so that no two
// replicas report the same worker, or to the default receiver if that replica is silent.
func (t *transition) dequeueHeartbeats(polled []ident.Host) map[ident.Host][]registry.Worker {
	if !t.seeded.relay.ReportDue(t.seeded.hub.replies, t.now) {
		return nil
	}
	next, workers := t.seeded.relay.TakeReport(t.now)
	t.seeded.relay = next
	out := map[ident.Host][]registry.Worker{}
	for _, w := range workers {
		to := t.requests.RegistrationSource(w.ID)
		if c, ok := t.seeded.contacts.Get(to); !ok || c.lost || !slices.Contains(polled, to) {
			to = t.defaultHeartbeatReceiver()
		}
		out[to] = append(out[to], w)
	}
	return out
}

// defaultHeartbeatReceiver returns the host that receives the heartbeats of workers whose own
// replica is not polled.
func (t *transition) defaultHeartbeatReceiver() ident.Host {
	if primary := t.primaryHub(); primary != "" {
		return primary
	}
	return t.pickSource("beats", t.liveContacts(replicaTimeout))
}

// selectRelays updates the relays of the fleet, on a replica.
func (t *transition) selectRelays(hosts []hubs.Host) {
	t.seeded.relays = relay.Select(hosts, t.registry.Ready(), t.now.Sub(t.started))
}
