// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"maps"
	"slices"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// isNamedHub tells whether this host stands on the list of hubs.
func (t *transition) isNamedHub() bool {
	return slices.ContainsFunc(t.seeded.hub.list, func(h EntryHost) bool { return h.Host == t.settings.ID })
}

// orderFirst is the result of a comparison where a does or does not go first.
func orderFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// takeHubList takes the list of hubs that a replica or a hub told, and begins to serve
// as one where this host stands on it.
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

// liveEntryHosts are the live entry hosts that a replica knows: those that ask it and
// those that hubs count, by name.
func (t *transition) liveEntryHosts() []EntryHost {
	found := map[ident.Host]EntryHost{}
	for _, c := range t.seeded.clients.All() {
		if t.now.Sub(c.lastPoll) > clientLifetime {
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

// nameHubs names the hubs of the fleet, on a replica that has had the time to hear
// of all hosts.
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

// settleHubs puts a list of hubs in force. One that takes the place of another must
// have been the same for a while: when hosts turn to hubs, a replica hears of them no
// more by themselves and not yet by their hubs, and would name other hubs, or none.
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

// pickOfEachZone picks the hubs of each zone.
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
