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
	// relayAbove is the number of ready workers that a replica knows above which it
	// names relays. Without relays each replica knows those that speak to it.
	relayAbove = 150
	// relayHosts is the number of entry hosts above which relays are named from the
	// first heartbeat on: so large a fleet has as many workers, which all come at
	// the same time when it starts.
	relayHosts = 100
	// relayWarmUp is how long a replica that starts hears entry hosts before it names
	// relays, so that not a few of them get all workers.
	relayWarmUp = time.Second
	// relayShare times its part of all workers, and relayLeast more, is what a relay
	// takes; the others go back to a replica, which knows more relays by then.
	relayShare = 2
	relayLeast = 16
	// relayInterval is the time between two words of a relay on whom it has
	// heard; several fit into the time that a worker may be silent.
	relayInterval = 1500 * time.Millisecond
	// relayContact is how recently a relay must have heard a replica: one that is
	// cut off must not acknowledge what no replica will hear of. It is longer than
	// a host of a large fleet leaves between two questions, and with relayInterval
	// and one heartbeat shorter than a worker may be silent. A relay that has heard
	// none for longer sends its workers back, and when one returns, which it does from
	// a replica, keeps it for as long again. If it sent back every heartbeat, replicas
	// that are slow to answer hosts would get all heartbeats of the fleet, and be
	// slower still.
	relayContact = 3 * time.Second
	// registryInterval is the time between two looks over all registrations.
	registryInterval = 500 * time.Millisecond
)

// relayState is what relays and replicas keep for this.
type relayState struct {
	// heard are the workers heard since the last word, on a relay.
	heard map[ident.Target]registry.Worker
	at    time.Time
	// hosts are the entry hosts that are relays, on a replica; empty where none are
	// needed. Neither is changed in place.
	hosts []EntryHost
	looks time.Time
	// alone are the workers that a relay keeps while it hears no replica, by when they
	// came from one; zero where the relay has sent them there.
	alone table.Table[ident.Target, time.Time]
}

// beatHeard takes a worker's heartbeat and says whether it is acknowledged, and
// where the next ones shall go.
func (t *turn) beatHeard(w registry.Worker) {
	if t.settings.IsReplica() {
		t.beaten(w)
		t.answerBeat(BeatAnswer{Taken: true, Relay: t.relayFor(w)})
		return
	}
	taken := t.mayRelay(w)
	if taken {
		t.relayHeard(w)
	}
	t.answerBeat(BeatAnswer{Taken: taken})
}

// answerBeat answers a worker and counts the answer.
func (t *turn) answerBeat(a BeatAnswer) {
	switch {
	case !a.Taken:
		t.counters.BeatsDeclined++
	case a.Relay != "":
		t.counters.BeatsNamed++
	}
	if a.Taken {
		t.counters.Beats++
	}
	t.emit(a)
}

// relayHeard remembers workers whose heartbeats replicas are to be told of.
func (t *turn) relayHeard(workers ...registry.Worker) {
	if len(workers) == 0 {
		return
	}
	heard := make(map[ident.Target]registry.Worker, len(t.sync.relay.heard)+len(workers))
	maps.Copy(heard, t.sync.relay.heard)
	for _, w := range workers {
		if have, ok := heard[w.ID]; !ok || registry.Newer(w, have) {
			heard[w.ID] = w
		}
	}
	t.sync.relay.heard = heard
}

// leaveHeard takes a worker's word that it ends; only replicas do.
func (t *turn) leaveHeard(id ident.Target) {
	taken := t.settings.IsReplica()
	if taken {
		t.left(id)
	}
	t.emit(BeatAnswer{Taken: taken})
}

// relayFor names the relay for a worker; empty is none.
func (t *turn) relayFor(w registry.Worker) string {
	if w.State != registry.Ready {
		return ""
	}
	near := slices.DeleteFunc(slices.Clone(t.sync.relay.hosts), func(h EntryHost) bool { return h.Zone != w.Zone })
	if len(near) == 0 {
		near = t.sync.relay.hosts
	}
	relay, _ := hash.Best(hash.Of(string(w.ID)), near, func(h EntryHost) string { return h.Relay })
	return relay.Relay
}

// mayRelay tells whether a heartbeat says nothing that is at odds with what is
// known, and replicas will hear of it. A worker not known yet has just spoken to a
// replica, whose word is under way.
func (t *turn) mayRelay(w registry.Worker) bool {
	known, ok := t.requests.Worker(w.ID)
	same := known.Pool == w.Pool && known.Address == w.Address && known.Zone == w.Zone && known.Slots == w.Slots
	settled := known.State == registry.Ready || known.State == registry.Silent
	return (!ok || same && settled) && w.State == registry.Ready && !t.draining && t.relayHasRoom(w.ID) && t.mayKeep(w.ID)
}

// mayKeep tells whether replicas will know in time that a worker lives: they are heard,
// or the worker was at one of them not long ago.
func (t *turn) mayKeep(id ident.Target) bool {
	r := &t.sync.relay
	if t.replicaHeard(relayContact) {
		r.alone = table.Table[ident.Target, time.Time]{}
		return true
	}
	came, known := r.alone.Get(id)
	if !known && !t.replicaEverHeard() {
		// This relay has just started: whoever comes was sent by a replica.
		came, known = t.now, true
	}
	if !known || !came.IsZero() && t.now.Sub(came) >= relayContact {
		r.alone = r.alone.With(id, time.Time{})
		return false
	}
	if came.IsZero() {
		came = t.now
	}
	r.alone = r.alone.With(id, came)
	return true
}

// relayHasRoom tells whether this relay takes one more worker, in the time between
// two words to replicas. One that has become a hub sends its workers away.
func (t *turn) relayHasRoom(id ident.Target) bool {
	if t.sync.hub.serves {
		return false
	}
	if _, heard := t.sync.relay.heard[id]; heard {
		return true
	}
	return len(t.sync.relay.heard) < relayLeast+relayShare*t.requests.KnownWorkers()/max(1, t.sync.hosts)
}

// replicaHeard tells whether any replica has answered within a time.
func (t *turn) replicaHeard(within time.Duration) bool {
	for _, c := range t.sync.contacts.All() {
		if t.now.Sub(c.useful) <= within {
			return true
		}
	}
	return false
}

// replicaEverHeard tells whether any replica has answered this process.
func (t *turn) replicaEverHeard() bool {
	for _, c := range t.sync.contacts.All() {
		if !c.useful.IsZero() {
			return true
		}
	}
	return false
}

// relayed returns the workers that each of the hosts asked is to be told of now: each
// replica of those that it told of itself, and another one where that one is silent.
// A hub passes on at once what relays have gathered.
func (t *turn) relayed(asked []ident.Host) map[ident.Host][]registry.Worker {
	wait := !t.sync.hub.serves && t.now.Sub(t.sync.relay.at) < relayInterval
	if len(t.sync.relay.heard) == 0 || wait {
		return nil
	}
	t.sync.relay.at = t.now
	out := map[ident.Host][]registry.Worker{}
	for id, w := range t.sync.relay.heard {
		to := t.requests.ReportedBy(id)
		if c, ok := t.sync.contacts.Get(to); !ok || c.lost || !slices.Contains(asked, to) {
			to = t.beatSource()
		}
		out[to] = append(out[to], w)
	}
	for _, workers := range out {
		slices.SortFunc(workers, registry.ByID)
	}
	t.sync.relay.heard = nil
	return out
}

// beatSource is the host that is told of workers which none of those asked told of.
func (t *turn) beatSource() ident.Host {
	if home := t.home(); home != "" {
		return home
	}
	return t.sourceOf("beats", contactTimeout)
}

// tickRegistry looks over all registrations now and then: who is silent, and
// whether relays are needed.
func (t *turn) tickRegistry() {
	if t.now.Sub(t.sync.relay.looks) < registryInterval {
		return
	}
	t.sync.relay.looks = t.now
	silent := t.settings.SilentAfter
	if silent == 0 {
		silent = defaultSilentAfter
	}
	t.registry, _ = t.registry.Expire(silent, t.now)
	t.forgetLeases()
	hosts := t.entryHosts()
	t.nameHubs(hosts)
	t.nameNeighbours(hosts)
	t.sync.relay.hosts = nil
	few := t.registry.Ready() <= relayAbove && len(hosts) <= relayHosts
	if few || t.now.Sub(t.started) < relayWarmUp {
		return
	}
	for _, h := range hosts {
		if h.Relay != "" {
			t.sync.relay.hosts = append(t.sync.relay.hosts, h)
		}
	}
}
