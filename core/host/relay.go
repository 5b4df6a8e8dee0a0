// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"maps"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// Where a fleet has so many workers that their heartbeats would fill the replicas'
// processors, replicas name entry hosts, other ones for each worker, as relays that take
// further heartbeats. A relay acknowledges only that a worker is ready, and only where it
// does not know otherwise. It reports the workers to replicas now and then: to each replica
// those that this one reported itself, so that no worker is reported to several. Whatever
// else a worker says it must say to a replica, so that a worker that leaves is known
// everywhere as soon as without relays.
//
// Inputs: how many workers and entry hosts there are, the worker's zone, what is known of
// the worker, and when a replica replied last.
const (
	// relayAboveWorkers is the number of ready workers that a replica knows above which
	// it names relays. Chosen; a heartbeat costs a replica est. 0.16 ms of processor, and
	// 333 workers kept a tenth of a core at 45%.
	relayAboveWorkers = 150
	// relayAboveHosts is the number of entry hosts above which relays are named from the
	// first heartbeat on: so large a fleet has as many workers, which all come at the
	// same time when it starts. Chosen, not measured.
	relayAboveHosts = 100
	// relayWarmUp is how long a replica that starts is polled before it names relays, so
	// that not a few of them get all workers. Chosen, not measured.
	relayWarmUp = time.Second
	// relayRoomFactor times its part of all workers, and relayRoomLeast more, is what a
	// relay takes; the others go back to a replica, which knows more relays by then.
	// Chosen, not measured.
	relayRoomFactor = 2
	relayRoomLeast  = 16
	// relayInterval is the time between two reports of a relay; several fit into the time
	// that a worker may be silent.
	relayInterval = 1500 * time.Millisecond
	// relayReplicaTimeout is how recently a replica must have replied to a relay: one that
	// is cut off must not acknowledge what no replica will know of. It is longer than a
	// host of a large fleet leaves between two polls, and with relayInterval and one
	// heartbeat shorter than a worker may be silent.
	relayReplicaTimeout = 3 * time.Second
	// registryInterval is the time between two looks over all registrations. Chosen, not
	// measured.
	registryInterval = 500 * time.Millisecond
	// defaultWorkerSilence is how long a worker may be silent: five heartbeats of 1.2 s.
	defaultWorkerSilence = 6 * time.Second
)

// relayState is what relays and replicas keep for this. Map and slice are never changed in
// place.
type relayState struct {
	// gathered are the workers whose heartbeats came since the last report, which was
	// sent at sentAt; on a relay.
	gathered map[ident.Target]registry.Worker
	sentAt   time.Time
	// relays are the entry hosts that are relays, on a replica; empty where none are
	// needed.
	relays []EntryHost
	// lookedAt is when the registrations were last looked over.
	lookedAt time.Time
	// keptAlone are the workers that a relay without a replica's reply keeps, by when they
	// came from a replica; zero where the relay has sent them there.
	keptAlone table.Table[ident.Target, time.Time]
}

// heartbeatReceived takes a worker's heartbeat and answers whether it is acknowledged, and
// where the next ones shall go.
func (t *transition) heartbeatReceived(w registry.Worker) {
	if t.settings.IsReplica() {
		t.registerHeartbeat(w)
		t.answerHeartbeat(HeartbeatAnswer{Taken: true, Relay: t.relayFor(w)})
		return
	}
	taken := t.mayRelay(w)
	if taken {
		t.gatherHeartbeats(w)
	}
	t.answerHeartbeat(HeartbeatAnswer{Taken: taken})
}

// deregistrationReceived takes a worker's report that it ends; only replicas do.
func (t *transition) deregistrationReceived(id ident.Target) {
	taken := t.settings.IsReplica()
	if taken {
		t.deregister(id)
	}
	t.emit(HeartbeatAnswer{Taken: taken})
}

// answerHeartbeat answers a worker and counts the answer.
func (t *transition) answerHeartbeat(a HeartbeatAnswer) {
	switch {
	case !a.Taken:
		t.counters.HeartbeatsDeclined++
	case a.Relay != "":
		t.counters.HeartbeatsRedirected++
	}
	if a.Taken {
		t.counters.Heartbeats++
	}
	t.emit(a)
}

// relayFor names the relay for a worker, one of its zone if there is one; empty is none.
func (t *transition) relayFor(w registry.Worker) string {
	if w.State != registry.Ready {
		return ""
	}
	relays := t.seeded.relay.relays
	inZone := slices.DeleteFunc(slices.Clone(relays), func(h EntryHost) bool { return h.Zone != w.Zone })
	if len(inZone) == 0 {
		inZone = relays
	}
	relay, _ := hash.Best(hash.Of(string(w.ID)), inZone, func(h EntryHost) string { return h.Relay })
	return relay.Relay
}

// mayRelay tells whether a heartbeat says nothing that is at odds with what is known, and
// replicas will know of it. A worker not known yet has just registered with a replica, and
// its registration is in transit.
func (t *transition) mayRelay(w registry.Worker) bool {
	known, ok := t.requests.Worker(w.ID)
	same := known.Pool == w.Pool && known.Address == w.Address && known.Zone == w.Zone && known.Slots == w.Slots
	settled := known.State == registry.Ready || known.State == registry.Silent
	return (!ok || same && settled) && w.State == registry.Ready && !t.draining && t.relayHasRoom(w.ID) && t.mayKeepWorker(w.ID)
}

// mayKeepWorker tells whether replicas will know in time that a worker lives: one of them
// has replied, or the worker was at one of them not long ago. A relay without replies sends
// each worker back once, and when it returns, which it does from a replica, keeps it for
// relayReplicaTimeout. If it sent back every heartbeat, replicas that are slow to reply
// would get all heartbeats of the fleet, and be slower still.
func (t *transition) mayKeepWorker(id ident.Target) bool {
	r := &t.seeded.relay
	if t.replicaRepliedWithin(relayReplicaTimeout) {
		r.keptAlone = table.Table[ident.Target, time.Time]{}
		return true
	}
	came, known := r.keptAlone.Get(id)
	if !known && !t.replicaEverReplied() {
		// This relay has just started: whoever comes was sent by a replica.
		came, known = t.now, true
	}
	if !known || !came.IsZero() && t.now.Sub(came) >= relayReplicaTimeout {
		r.keptAlone = r.keptAlone.With(id, time.Time{})
		return false
	}
	if came.IsZero() {
		came = t.now
	}
	r.keptAlone = r.keptAlone.With(id, came)
	return true
}

// relayHasRoom tells whether this relay takes one more worker between two reports. One
// that has become a hub sends its workers away.
func (t *transition) relayHasRoom(id ident.Target) bool {
	if t.seeded.hub.serves {
		return false
	}
	gathered := t.seeded.relay.gathered
	if _, ok := gathered[id]; ok {
		return true
	}
	return len(gathered) < relayRoomLeast+relayRoomFactor*t.requests.KnownWorkers()/max(1, t.seeded.hosts)
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

// gatherHeartbeats keeps workers whose heartbeats are to be reported to replicas.
func (t *transition) gatherHeartbeats(workers ...registry.Worker) {
	if len(workers) == 0 {
		return
	}
	gathered := make(map[ident.Target]registry.Worker, len(t.seeded.relay.gathered)+len(workers))
	maps.Copy(gathered, t.seeded.relay.gathered)
	for _, w := range workers {
		if have, ok := gathered[w.ID]; !ok || registry.Newer(w, have) {
			gathered[w.ID] = w
		}
	}
	t.seeded.relay.gathered = gathered
}

// heartbeatsFor returns the workers that are to be reported to each of the hosts polled
// now: to each replica those that it reported itself, and to another one where that one is
// silent. A hub passes on at once what relays have gathered.
func (t *transition) heartbeatsFor(polled []ident.Host) map[ident.Host][]registry.Worker {
	r := &t.seeded.relay
	wait := !t.seeded.hub.serves && t.now.Sub(r.sentAt) < relayInterval
	if len(r.gathered) == 0 || wait {
		return nil
	}
	r.sentAt = t.now
	out := map[ident.Host][]registry.Worker{}
	for id, w := range r.gathered {
		to := t.requests.ReportedBy(id)
		if c, ok := t.seeded.contacts.Get(to); !ok || c.lost || !slices.Contains(polled, to) {
			to = t.heartbeatReceiver()
		}
		out[to] = append(out[to], w)
	}
	for _, workers := range out {
		slices.SortFunc(workers, registry.ByID)
	}
	r.gathered = nil
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
func (t *transition) nameRelays(hosts []EntryHost) {
	t.seeded.relay.relays = nil
	few := t.registry.Ready() <= relayAboveWorkers && len(hosts) <= relayAboveHosts
	if few || t.now.Sub(t.started) < relayWarmUp {
		return
	}
	for _, h := range hosts {
		if h.Relay != "" {
			t.seeded.relay.relays = append(t.seeded.relay.relays, h)
		}
	}
}
