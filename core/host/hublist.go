// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"maps"
	"slices"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
)

// hubWarmUp is how long a replica is polled after its start before it selects hubs and fallback
// peers. It exceeds the time between two polls in a fleet of any size, so every live host has
// polled by then.
const hubWarmUp = maxPollInterval + minPollInterval

// liveEntryHosts returns the entry hosts known to a replica, sorted by name: those that poll it
// and those that hubs count.
func (t *transition) liveEntryHosts() []hubs.Host {
	found := map[ident.Host]hubs.Host{}
	for _, c := range t.seeded.clients.All() {
		if !c.isLive(t.now) {
			continue
		}
		for _, h := range c.group {
			found[h.Host] = h
		}
		if c.serves {
			found[c.host.Host] = c.host
		}
	}
	return slices.SortedFunc(maps.Values(found), func(a, b hubs.Host) int { return hubs.SortOrder(a.Host < b.Host) })
}

// hubThreshold returns the number of entry hosts above which hubs are selected.
func (t *transition) hubThreshold() int {
	if t.settings.HubsAbove == 0 {
		return hubs.DefaultThreshold
	}
	return t.settings.HubsAbove
}

// selectHubs updates the hubs of the fleet once this replica has run long enough to know all
// hosts.
func (t *transition) selectHubs(hosts []hubs.Host) {
	if t.now.Sub(t.started) >= hubWarmUp {
		t.seeded.hub.list = t.seeded.hub.list.Updated(hosts, t.hubThreshold(), t.now)
	}
}

// withHubList adds the list of hubs to a reply if the client holds a different one.
func (t *transition) withHubList(r PollReply, m Poll) PollReply {
	r.HubList = t.seeded.hub.list.Key
	if r.HubList != m.HubList {
		r.Hubs = t.seeded.hub.list.Hosts
	}
	return r
}

// applyHubList stores the list of hubs in a reply. This host starts serving as a hub if it is
// listed. A list from a sender without a fresh confirmation is used only while this host has
// none. A reply that names a list without its hosts is about the list that the poll named, which
// this host has replaced since.
func (t *transition) applyHubList(m PollReply) {
	h := &t.seeded.hub
	if m.HubList == 0 || m.HubList == h.list.Key || !m.Fresh && h.list.Key != 0 {
		return
	}
	list, ok := hubs.ListWithKey(m.Hubs, m.HubList)
	if !ok {
		return
	}
	if h.list.Len() == 0 {
		h.pollSet = h.pollSet.WithUsefulReply(t.now)
	}
	h.list.List = list
	t.updateTunnelPeers()
	if h.list.Has(t.settings.ID) && !h.replies {
		t.startReplyingToPolls()
	}
}
