// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"maps"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// Replicas name the hubs once there are more than hubsAbove entry hosts: in each zone those
// that rank highest among its live entry hosts, by a hash that is the same everywhere. So a
// new leader names the same ones, and nothing about hubs needs to be kept or agreed on.
//
// Inputs: the live entry hosts that a replica knows, their zones, and how long the replica
// has run.
const (
	// defaultHubsAbove is the number of entry hosts above which hubs are named. They stay
	// until there are fewer than hubsStayPercent of that. Chosen, not measured.
	defaultHubsAbove = 40
	hubsStayPercent  = 75
	// hostsPerHub is how many hosts a hub is meant to serve, minHubsPerZone the least
	// number of hubs in a zone, so that one may be lost. Chosen, not measured.
	hostsPerHub    = 16
	minHubsPerZone = 2
	// hubWarmUp is how long a replica that starts is polled before it names hubs: longer
	// than hosts of any fleet leave between two polls.
	hubWarmUp = maxPollInterval + minPollInterval
	// hubListSettle is how long another list of hubs must have been the same before it
	// takes the place of the one in force: longer than hosts need to turn to hubs and
	// hubs to report whom they count. Measured at 300 machines: without it lists changed
	// again and again, 0.89 of the requests were served and the busiest replica used 87%
	// of its processor; with it 0.98 and 46%.
	hubListSettle = 2500 * time.Millisecond
)

// isNamedHub tells whether this host stands on the list of hubs.
func (t *transition) isNamedHub() bool {
	return slices.ContainsFunc(t.seeded.hub.list, func(h EntryHost) bool { return h.Host == t.settings.ID })
}

// orderFirst is the result of a comparison where a does or does not go first.
func orderFirst(aFirst bool) int {
	if aFirst {
		return -1
	}
	return 1
}

// withHubList adds the list of hubs to a reply where the client holds another one.
func (t *transition) withHubList(r PollReply, m Poll) PollReply {
	r.HubList = t.seeded.hub.key
	if r.HubList != m.HubList {
		r.Hubs = t.seeded.hub.list
	}
	return r
}

// takeHubList takes the list of hubs in a reply; this host begins to serve as one where it
// stands on the list.
func (t *transition) takeHubList(m PollReply) {
	h := &t.seeded.hub
	if m.HubList == 0 || m.HubList == h.key || !m.Fresh && h.key != 0 {
		return
	}
	if len(h.list) == 0 {
		h.usefulAt = t.now
	}
	h.list, h.key = m.Hubs, m.HubList
	if t.isNamedHub() && !h.serves {
		t.becomeHub()
	}
}

// liveEntryHosts are the entry hosts that a replica knows: those that poll it and those
// that hubs count, by name.
func (t *transition) liveEntryHosts() []EntryHost {
	found := map[ident.Host]EntryHost{}
	for _, c := range t.seeded.clients.All() {
		if !c.live(t.now) {
			continue
		}
		for _, h := range c.group {
			found[h.Host] = h
		}
		if c.serves {
			found[c.host.Host] = c.host
		}
	}
	return slices.SortedFunc(maps.Values(found), func(a, b EntryHost) int { return orderFirst(a.Host < b.Host) })
}

// hubsAbove is the number of entry hosts above which hubs are named.
func (t *transition) hubsAbove() int {
	if t.settings.HubsAbove == 0 {
		return defaultHubsAbove
	}
	return t.settings.HubsAbove
}

// nameHubs names the hubs of the fleet, on a replica that has had the time to know all
// hosts.
func (t *transition) nameHubs(hosts []EntryHost) {
	if t.now.Sub(t.started) < hubWarmUp {
		return
	}
	least := t.hubsAbove()
	if len(t.seeded.hub.list) > 0 {
		least = least * hubsStayPercent / percent
	}
	var hubs []EntryHost
	if len(hosts) > least {
		hubs = pickOfEachZone(hosts)
	}
	names := []string{"hubs"}
	for _, h := range hubs {
		names = append(names, string(h.Host))
	}
	t.settleHubs(hubs, hash.Of(names...))
}

// settleHubs puts a list of hubs in force. While hosts turn to hubs, they no longer poll
// the replica and their hubs do not yet report them, so that it would name other hubs, or
// none; so another list must have been the same for hubListSettle.
func (t *transition) settleHubs(hubs []EntryHost, key hash.Key) {
	h := &t.seeded.hub
	if key != h.nextKey {
		h.nextKey, h.nextSince = key, t.now
	}
	if key == h.key || len(h.list) > 0 && t.now.Sub(h.nextSince) < hubListSettle {
		return
	}
	h.list, h.key = hubs, key
}

// pickOfEachZone picks one in hostsPerHub hosts of each zone, and minHubsPerZone at least.
func pickOfEachZone(hosts []EntryHost) []EntryHost {
	byZone := map[ident.Zone][]EntryHost{}
	for _, h := range hosts {
		byZone[h.Zone] = append(byZone[h.Zone], h)
	}
	key := hash.Of("hubs")
	var out []EntryHost
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		inZone := byZone[zone]
		slices.SortFunc(inZone, func(a, b EntryHost) int {
			return orderFirst(hash.Mix(key, hash.Of(string(a.Host))) > hash.Mix(key, hash.Of(string(b.Host))))
		})
		n := max(minHubsPerZone, (len(inZone)+hostsPerHub-1)/hostsPerHub)
		for _, h := range inZone[:min(n, len(inZone))] {
			out = append(out, EntryHost{Host: h.Host, Zone: h.Zone})
		}
	}
	return out
}
