// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
)

// An entry host that has had no confirmation for fallbackAfter polls other entry hosts, its
// fallback peers, two at a time in turn: it may be partitioned from all replicas and still
// reach hosts that are not. They reply like hubs, with the age of their confirmation. A
// confirmation keeps its age whichever path it took, so revoked keys stop working in time, and
// hosts that are partitioned together see their confirmations expire. In simulations of partitions, with
// four seeds, 369 to 588 requests were refused without fallback peers, none with them.
const (
	// fallbackAfter is the age of a confirmation from which fallback peers are polled: more
	// than three polls of a small fleet take, and early enough for two replies before the host
	// would become unready.
	fallbackAfter = time.Second
	// fallbackPeersPolled is how many peers are polled at a time, since one may be partitioned
	// too.
	fallbackPeersPolled = 2
)

// fallbackState holds the fallback peers of a host; on a replica, the list that it sends to
// others.
type fallbackState struct {
	list hubs.List
	// nextPeer counts polls, to take the peers in turn.
	nextPeer int
}

// selectFallbackPeers selects the entry hosts that others may poll, once this replica has run
// long enough to know all hosts. Large fleets use hubs instead: their list would change with
// each new host and fill the replicas' links.
func (t *transition) selectFallbackPeers(hosts []hubs.Host) {
	t.seeded.fallback.list = hubs.List{}
	if t.seeded.hub.list.Len() == 0 && len(hosts) <= t.hubThreshold() && t.now.Sub(t.started) >= hubWarmUp {
		t.seeded.fallback.list = hubs.FallbackPeers(hosts)
	}
}

// withFallbackPeers adds the list to a leader's reply if the client holds a different one.
// Other replicas may know only a few hosts while a fleet switches to hubs.
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

// applyFallbackPeers stores the list in a leader's reply.
func (t *transition) applyFallbackPeers(m PollReply) {
	held := t.seeded.fallback.list.Key
	if m.NeighbourList == 0 || m.NeighbourList == held || len(m.Neighbours) == 0 {
		return
	}
	t.seeded.fallback.list = hubs.List{Hosts: m.Neighbours, Key: m.NeighbourList}
	t.updateTunnelPeers()
}

// fallbackPeers returns the entry hosts, without this one, that may be polled in place of replicas and
// that may open tunnels to workers.
func (t *transition) fallbackPeers() []hubs.Host {
	list := t.seeded.fallback.list
	if t.seeded.hub.list.Len() > 0 {
		list = t.seeded.hub.list.List
	}
	return slices.DeleteFunc(slices.Clone(list.Hosts), func(h hubs.Host) bool { return h.Host == t.settings.ID })
}

// updateTunnelPeers names the entry hosts through which workers may be reached.
func (t *transition) updateTunnelPeers() {
	hosts := t.fallbackPeers()
	peers := make([]requests.Peer, 0, len(hosts))
	for _, h := range hosts {
		peers = append(peers, requests.Peer{Host: h.Host, Zone: h.Zone})
	}
	t.requests = t.requests.WithPeers(peers)
}

// fallbackPeersToPoll returns the entry hosts to poll now: none while confirmations arrive, unless origins
// of streams are to be exchanged and no replica replies.
func (t *transition) fallbackPeersToPoll() []ident.Host {
	confirmed := t.requests.Confirmation()
	isDue := confirmed.Age(t.now) >= fallbackAfter || t.needsPeersForOrigins()
	if confirmed.IsZero() || !isDue || t.pollsHubs() {
		return nil
	}
	others := t.fallbackPeers()
	var out []ident.Host
	for range min(fallbackPeersPolled, len(others)) {
		t.seeded.fallback.nextPeer++
		out = append(out, others[t.seeded.fallback.nextPeer%len(others)].Host)
	}
	return out
}

// fallbackPoll returns a poll of a fallback peer.
func (t *transition) fallbackPoll(to ident.Host) Poll {
	c, _ := t.seeded.contacts.Get(to)
	return Poll{
		KnowsZones: true, Zones: t.seeded.zones.Revision,
		KnowsRollouts: t.RolloutsEnabled(), Rollouts: t.seeded.rollouts.held.Revision,
		Version: t.config.Version, Lead: true, Table: t.tableOverdue(), Epoch: c.epoch, Revision: c.revision,
		Boot: t.settings.Incarnation, Zone: t.settings.Zone, Neighbour: true,
		KnowsDepartures: true, Departures: c.departures,
		CrashList: t.requests.CrashList().Key, CrashEntries: t.crashEntriesForContact(to),
	}
}

// handleFallbackReply applies the reply of a fallback peer. It leaves the leader contact
// unchanged.
func (t *transition) handleFallbackReply(from ident.Host, m PollReply) {
	// A fallback peer does not forward heartbeats to the replicas, so its replies must not
	// count as contact with them.
	m.Cut = true
	t.recordReply(from, m)
	t.applyDepartures(from, m)
	t.applyRegistrations(from, m)
	t.handleCrashEntries(from, m.CrashEntries, t.pollSentAt(m.Round))
	t.handleFoundOrigins(from, m.Origins)
	t.applyTable(m)
	t.applyZones(from, m.Zones)
	t.applyRollouts(from, m.Rollouts)
	t.recordNewestVersion(m.Version)
	sent, known := t.popPendingPoll(m.Round)
	if known {
		t.handleLives(m.Lives, sent)
	}
	if known && m.Fresh {
		t.applyConfirmation(m, sent)
	}
}
