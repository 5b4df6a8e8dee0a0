// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// An entry host that loses every replica may still reach other entry hosts. It asks
// two of them, in turn, what a leader said last. They answer as hubs do, with the age
// of that word, which is taken off the time at which was asked: a word grows older
// from host to host and never younger, so that keys that were taken away stop in time
// whatever way it went. Hosts that are cut off together find out that none of them
// hears replicas as their words grow old.
const (
	// neighbourAfter without a leader's word makes a host ask neighbours. It is more
	// than three questions of a small fleet take, and leaves two answers time to come
	// before the host would tell that it is not ready.
	neighbourAfter = time.Second
	// neighboursAsked is how many are asked at a time, as one may be cut off, too.
	neighboursAsked = 2
)

// neighbourState is what a host knows of other entry hosts. On a replica it is what
// it tells. Its slice is never changed in place.
type neighbourState struct {
	list []EntryHost
	key  hash.Key
	turn int
}

// nameNeighbours picks the entry hosts that others may ask, on a replica that has had
// the time to hear of all. Large fleets have hubs for that: there the list would
// change with each host that comes, and fill replicas' links.
func (t *turn) nameNeighbours(hosts []EntryHost) {
	if len(t.sync.hub.list) > 0 || len(hosts) > t.hubsAbove() || t.now.Sub(t.started) < hubWarmUp {
		t.sync.neighbours.list, t.sync.neighbours.key = nil, 0
		return
	}
	list := rankHubs(hosts)
	names := make([]string, 0, len(list)+1)
	names = append(names, "neighbours")
	for _, h := range list {
		names = append(names, string(h.Host))
	}
	t.sync.neighbours.list, t.sync.neighbours.key = list, hash.Of(names...)
}

// tellNeighbours adds them to a leader's answer where the asker holds others. Another
// replica may know of few hosts only while they turn to hubs.
func (t *turn) tellNeighbours(a SyncAnswer, asked Sync) SyncAnswer {
	if !t.settings.IsReplica() || !a.Fresh {
		return a
	}
	n := t.sync.neighbours
	a.NeighbourList = n.key
	if n.key != asked.NeighbourList {
		a.Neighbours = n.list
	}
	return a
}

// takeNeighbours keeps those that a replica told.
func (t *turn) takeNeighbours(m SyncAnswer) {
	n := &t.sync.neighbours
	if m.NeighbourList == 0 || m.NeighbourList == n.key || len(m.Neighbours) == 0 {
		return
	}
	n.list, n.key = m.Neighbours, m.NeighbourList
}

// neighboursToAsk are the entry hosts to ask now; none while a leader is heard.
func (t *turn) neighboursToAsk() []ident.Host {
	confirmed := t.requests.Confirmed()
	if confirmed.IsZero() || t.now.Sub(confirmed) < neighbourAfter || t.followsHubs() {
		return nil
	}
	list := t.sync.neighbours.list
	if len(t.sync.hub.list) > 0 {
		list = t.sync.hub.list
	}
	others := slices.DeleteFunc(slices.Clone(list), func(h EntryHost) bool { return h.Host == t.settings.ID })
	var out []ident.Host
	for range min(neighboursAsked, len(others)) {
		t.sync.neighbours.turn++
		out = append(out, others[t.sync.neighbours.turn%len(others)].Host)
	}
	return out
}

// neighbourQuestion asks an entry host in place of replicas.
func (t *turn) neighbourQuestion(to ident.Host) Sync {
	c, _ := t.sync.contacts.Get(to)
	return Sync{
		Version: t.config.Version, Lead: true, Table: t.behind(), Epoch: c.epoch, Revision: c.revision,
		Boot: t.settings.Incarnation, Zone: t.settings.Zone, Neighbour: true,
	}
}

// neighbourAnswered takes what an entry host told. Whom this host asks for a leader's
// word otherwise stays as it is.
func (t *turn) neighbourAnswered(from ident.Host, m SyncAnswer) {
	// It is no way to the replicas: what they must hear of cannot be left with it.
	m.Cut = true
	t.hearContact(from, m)
	if workers, err := registry.Unpack(m.Workers); err == nil && len(workers) > 0 {
		t.routed(requests.Registered{From: from, Workers: workers})
	}
	if len(m.Gateway) > 0 && m.Version > t.config.Version {
		t.takeGateway(m)
	}
	t.noteNewest(m.Version)
	asked, known := t.sync.rounds.Get(m.Round)
	t.sync.rounds = t.sync.rounds.Without(m.Round)
	if known && m.Fresh && t.config.Version >= m.Version {
		t.routed(requests.Confirmed{AsOf: asked.Add(-m.Age)})
	}
}

// noteNewest takes note of a table that was the newest one, and remembers since when a
// newer one than the one held is known of.
func (t *turn) noteNewest(v config.Version) {
	t.sync.newest = max(t.sync.newest, v)
	switch behind := t.config.Version < t.sync.newest; {
	case !behind:
		t.sync.behindAt = time.Time{}
	case t.sync.behindAt.IsZero():
		t.sync.behindAt = t.now
	}
	t.requests = t.requests.WithNewerKnown(!t.sync.behindAt.IsZero())
}
