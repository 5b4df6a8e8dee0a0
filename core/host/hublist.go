// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"maps"
	"slices"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
)

// hubWarmUp is how long a replica that starts is polled before it names hubs and fallback
// peers: longer than hosts of any fleet leave between two polls.
const hubWarmUp = maxPollInterval + minPollInterval

// liveEntryHosts are the entry hosts that a replica knows: those that poll it and those
// that hubs count, by name.
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

// hubsAbove is the number of entry hosts above which hubs are named.
func (t *transition) hubsAbove() int {
	if t.settings.HubsAbove == 0 {
		return hubs.DefaultThreshold
	}
	return t.settings.HubsAbove
}

// nameHubs names the hubs of the fleet, on a replica that has had the time to know all
// hosts.
func (t *transition) nameHubs(hosts []hubs.Host) {
	if t.now.Sub(t.started) >= hubWarmUp {
		t.seeded.hub.list = t.seeded.hub.list.Updated(hosts, t.hubsAbove(), t.now)
	}
}

// withHubList adds the list of hubs to a reply where the client holds another one.
func (t *transition) withHubList(r PollReply, m Poll) PollReply {
	r.HubList = t.seeded.hub.list.Key
	if r.HubList != m.HubList {
		r.Hubs = t.seeded.hub.list.Hosts
	}
	return r
}

// takeHubList takes the list of hubs in a reply; this host begins to serve as one where it
// stands on the list.
func (t *transition) takeHubList(m PollReply) {
	h := &t.seeded.hub
	if m.HubList == 0 || m.HubList == h.list.Key || !m.Fresh && h.list.Key != 0 {
		return
	}
	if h.list.Len() == 0 {
		h.choice = h.choice.WithUsefulReply(t.now)
	}
	h.list.List = hubs.List{Hosts: m.Hubs, Key: m.HubList}
	if h.list.Has(t.settings.ID) && !h.serves {
		t.becomeHub()
	}
}
