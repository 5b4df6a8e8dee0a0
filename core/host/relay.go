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

// Where a fleet has so many workers that their heartbeats would fill the
// replicas' processors, replicas name entry hosts, other ones for each worker,
// that take further heartbeats. Such a relay acknowledges only that a worker is
// ready, and only where it does not know otherwise. It tells replicas now and then
// whom it has heard: each one of the workers that it told of itself, so that no
// worker is told of by several. Whatever else a worker says it must say to a
// replica, so that a worker that leaves is known everywhere as soon as without
// relays.
const (
	// relayAboveWorkers is the number of ready workers that a replica knows above which it
	// names relays. Without relays each replica knows those that speak to it.
	relayAboveWorkers = 150
	// relayAboveHosts is the number of entry hosts above which relays are named from the
	// first heartbeat on: so large a fleet has as many workers, which all come at
	// the same time when it starts.
	relayAboveHosts = 100
	// relayWarmUp is how long a replica that starts hears entry hosts before it names
	// relays, so that not a few of them get all workers.
	relayWarmUp = time.Second
	// relayRoomFactor times its part of all workers, and relayLeast more, is what a relay
	// takes; the others go back to a replica, which knows more relays by then.
	relayRoomFactor = 2
	relayRoomLeast  = 16
	// relayInterval is the time between two words of a relay on whom it has
	// heard; several fit into the time that a worker may be silent.
	relayInterval = 1500 * time.Millisecond
	// relayReplicaTimeout is how recently a relay must have heard a replica: one that is
	// cut off must not acknowledge what no replica will hear of. It is longer than
	// a host of a large fleet leaves between two questions, and with relayInterval
	// and one heartbeat shorter than a worker may be silent. A relay that has heard
	// none for longer sends its workers back, and when one returns, which it does from
	// a replica, keeps it for as long again. If it sent back every heartbeat, replicas
	// that are slow to answer hosts would get all heartbeats of the fleet, and be
	// slower still.
	relayReplicaTimeout = 3 * time.Second
	// registryInterval is the time between two looks over all registrations.
	registryInterval = 500 * time.Millisecond
)

// relayState is what relays and replicas keep for this.
type relayState struct {
	// gathered are the workers heard since the last word, on a relay.
	gathered map[ident.Target]registry.Worker
	sentAt   time.Time
	// hosts are the entry hosts that are relays, on a replica; empty where none are
	// needed. Neither is changed in place.
	hosts    []EntryHost
	lookedAt time.Time
	// keptAlone are the workers that a relay keeps while it hears no replica, by when they
	// came from one; zero where the relay has sent them there.
	keptAlone table.Table[ident.Target, time.Time]
}

// heartbeatReceived takes a worker's heartbeat and says whether it is acknowledged, and
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

// gatherHeartbeats remembers workers whose heartbeats replicas are to be told of.
func (t *transition) gatherHeartbeats(workers ...registry.Worker) {
	if len(workers) == 0 {
		return
	}
	heard := make(map[ident.Target]registry.Worker, len(t.seeded.relay.gathered)+len(workers))
	maps.Copy(heard, t.seeded.relay.gathered)
	for _, w := range workers {
		if have, ok := heard[w.ID]; !ok || registry.Newer(w, have) {
			heard[w.ID] = w
		}
	}
	t.seeded.relay.gathered = heard
}

// deregistrationReceived takes a worker's word that it ends; only replicas do.
func (t *transition) deregistrationReceived(id ident.Target) {
	taken := t.settings.IsReplica()
	if taken {
		t.deregister(id)
	}
	t.emit(HeartbeatAnswer{Taken: taken})
}

// relayFor names the relay for a worker; empty is none.
func (t *transition) relayFor(w registry.Worker) string {
	if w.State != registry.Ready {
		return ""
	}
	near := slices.DeleteFunc(slices.Clone(t.seeded.relay.hosts), func(h EntryHost) bool { return h.Zone != w.Zone })
	if len(near) == 0 {
		near = t.seeded.relay.hosts
	}
	relay, _ := hash.Best(hash.Of(string(w.ID)), near, func(h EntryHost) string { return h.Relay })
	return relay.Relay
}

// mayRelay tells whether a heartbeat says nothing that is at odds with what is
// known, and replicas will hear of it. A worker not known yet has just spoken to a
// replica, whose word is under way.
func (t *transition) mayRelay(w registry.Worker) bool {
	known, ok := t.requests.Worker(w.ID)
	same := known.Pool == w.Pool && known.Address == w.Address && known.Zone == w.Zone && known.Slots == w.Slots
	settled := known.State == registry.Ready || known.State == registry.Silent
	return (!ok || same && settled) && w.State == registry.Ready && !t.draining && t.relayHasRoom(w.ID) && t.mayKeepWorker(w.ID)
}

// mayKeepWorker tells whether replicas will know in time that a worker lives: they are heard,
// or the worker was at one of them not long ago.
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

// relayHasRoom tells whether this relay takes one more worker, in the time between
// two words to replicas. One that has become a hub sends its workers away.
func (t *transition) relayHasRoom(id ident.Target) bool {
	if t.seeded.hub.serves {
		return false
	}
	if _, heard := t.seeded.relay.gathered[id]; heard {
		return true
	}
	return len(t.seeded.relay.gathered) < relayRoomLeast+relayRoomFactor*t.requests.KnownWorkers()/max(1, t.seeded.hosts)
}

// replicaRepliedWithin tells whether any replica has answered within a time.
func (t *transition) replicaRepliedWithin(within time.Duration) bool {
	for _, c := range t.seeded.contacts.All() {
		if t.now.Sub(c.lastUsefulReply) <= within {
			return true
		}
	}
	return false
}

// replicaEverReplied tells whether any replica has answered this process.
func (t *transition) replicaEverReplied() bool {
	for _, c := range t.seeded.contacts.All() {
		if !c.lastUsefulReply.IsZero() {
			return true
		}
	}
	return false
}

// heartbeatsFor returns the workers that each of the hosts asked is to be told of now: each
// replica of those that it told of itself, and another one where that one is silent.
// A hub passes on at once what relays have gathered.
func (t *transition) heartbeatsFor(asked []ident.Host) map[ident.Host][]registry.Worker {
	wait := !t.seeded.hub.serves && t.now.Sub(t.seeded.relay.sentAt) < relayInterval
	if len(t.seeded.relay.gathered) == 0 || wait {
		return nil
	}
	t.seeded.relay.sentAt = t.now
	out := map[ident.Host][]registry.Worker{}
	for id, w := range t.seeded.relay.gathered {
		to := t.requests.ReportedBy(id)
		if c, ok := t.seeded.contacts.Get(to); !ok || c.lost || !slices.Contains(asked, to) {
			to = t.heartbeatReceiver()
		}
		out[to] = append(out[to], w)
	}
	for _, workers := range out {
		slices.SortFunc(workers, registry.ByID)
	}
	t.seeded.relay.gathered = nil
	return out
}

// heartbeatReceiver is the host that is told of workers which none of those asked told of.
func (t *transition) heartbeatReceiver() ident.Host {
	if home := t.primaryHub(); home != "" {
		return home
	}
	return t.sourceOf("beats", replicaTimeout)
}

// tickRegistry looks over all registrations now and then: who is silent, and
// whether relays are needed.
func (t *transition) tickRegistry() {
	if t.now.Sub(t.seeded.relay.lookedAt) < registryInterval {
		return
	}
	t.seeded.relay.lookedAt = t.now
	silent := t.settings.SilentAfter
	if silent == 0 {
		silent = defaultSilentAfter
	}
	t.registry, _ = t.registry.Expire(silent, t.now)
	t.forgetLeases()
	hosts := t.liveEntryHosts()
	t.nameHubs(hosts)
	t.nameFallbackPeers(hosts)
	t.seeded.relay.hosts = nil
	few := t.registry.Ready() <= relayAboveWorkers && len(hosts) <= relayAboveHosts
	if few || t.now.Sub(t.started) < relayWarmUp {
		return
	}
	for _, h := range hosts {
		if h.Relay != "" {
			t.seeded.relay.hosts = append(t.seeded.relay.hosts, h)
		}
	}
}
