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
	// fallbackAfter without a leader's word makes a host ask neighbours. It is more
	// than three questions of a small fleet take, and leaves two answers time to come
	// before the host would tell that it is not ready.
	fallbackAfter = time.Second
	// fallbackPeersPolled is how many are asked at a time, as one may be cut off, too.
	fallbackPeersPolled = 2
)

// fallbackState is what a host knows of other entry hosts. On a replica it is what
// it tells. Its slice is never changed in place.
type fallbackState struct {
	list     []EntryHost
	key      hash.Key
	nextPeer int
}

// nameFallbackPeers picks the entry hosts that others may ask, on a replica that has had
// the time to hear of all. Large fleets have hubs for that: there the list would
// change with each host that comes, and fill replicas' links.
func (t *transition) nameFallbackPeers(hosts []EntryHost) {
	if len(t.seeded.hub.list) > 0 || len(hosts) > t.hubsAbove() || t.now.Sub(t.started) < hubWarmUp {
		t.seeded.fallback.list, t.seeded.fallback.key = nil, 0
		return
	}
	list := pickOfEachZone(hosts)
	names := make([]string, 0, len(list)+1)
	names = append(names, "neighbours")
	for _, h := range list {
		names = append(names, string(h.Host))
	}
	t.seeded.fallback.list, t.seeded.fallback.key = list, hash.Of(names...)
}

// withFallbackPeers adds them to a leader's answer where the asker holds others. Another
// replica may know of few hosts only while they turn to hubs.
func (t *transition) withFallbackPeers(a PollReply, asked Poll) PollReply {
	if !t.settings.IsReplica() || !a.Fresh {
		return a
	}
	n := t.seeded.fallback
	a.NeighbourList = n.key
	if n.key != asked.NeighbourList {
		a.Neighbours = n.list
	}
	return a
}

// takeFallbackPeers keeps those that a replica told.
func (t *transition) takeFallbackPeers(m PollReply) {
	n := &t.seeded.fallback
	if m.NeighbourList == 0 || m.NeighbourList == n.key || len(m.Neighbours) == 0 {
		return
	}
	n.list, n.key = m.Neighbours, m.NeighbourList
}

// fallbackPeersToPoll are the entry hosts to ask now; none while a leader is heard.
func (t *transition) fallbackPeersToPoll() []ident.Host {
	confirmed := t.requests.Confirmed()
	if confirmed.IsZero() || t.now.Sub(confirmed) < fallbackAfter || t.pollsHubs() {
		return nil
	}
	list := t.seeded.fallback.list
	if len(t.seeded.hub.list) > 0 {
		list = t.seeded.hub.list
	}
	others := slices.DeleteFunc(slices.Clone(list), func(h EntryHost) bool { return h.Host == t.settings.ID })
	var out []ident.Host
	for range min(fallbackPeersPolled, len(others)) {
		t.seeded.fallback.nextPeer++
		out = append(out, others[t.seeded.fallback.nextPeer%len(others)].Host)
	}
	return out
}

// fallbackPoll asks an entry host in place of replicas.
func (t *transition) fallbackPoll(to ident.Host) Poll {
	c, _ := t.seeded.contacts.Get(to)
	return Poll{
		Version: t.config.Version, Lead: true, Table: t.tableOverdue(), Epoch: c.epoch, Revision: c.revision,
		Boot: t.settings.Incarnation, Zone: t.settings.Zone, Neighbour: true,
	}
}

// fallbackReplied takes what an entry host told. Whom this host asks for a leader's
// word otherwise stays as it is.
func (t *transition) fallbackReplied(from ident.Host, m PollReply) {
	// It is no way to the replicas: what they must hear of cannot be left with it.
	m.Cut = true
	t.noteReply(from, m)
	if workers, err := registry.Unpack(m.Workers); err == nil && len(workers) > 0 {
		t.reduceRequests(requests.Registered{From: from, Workers: workers})
	}
	if len(m.Gateway) > 0 && m.Version > t.config.Version {
		t.takeTable(m)
	}
	t.noteNewestTable(m.Version)
	asked, known := t.seeded.rounds.Get(m.Round)
	t.seeded.rounds = t.seeded.rounds.Without(m.Round)
	if known && m.Fresh && t.config.Version >= m.Version {
		t.reduceRequests(requests.Confirmed{AsOf: asked.Add(-m.Age)})
	}
}

// noteNewestTable takes note of a table that was the newest one, and remembers since when a
// newer one than the one held is known of.
func (t *transition) noteNewestTable(v config.Version) {
	t.seeded.newest = max(t.seeded.newest, v)
	switch behind := t.config.Version < t.seeded.newest; {
	case !behind:
		t.seeded.newerKnownAt = time.Time{}
	case t.seeded.newerKnownAt.IsZero():
		t.seeded.newerKnownAt = t.now
	}
	t.requests = t.requests.WithNewerKnown(!t.seeded.newerKnownAt.IsZero())
}
