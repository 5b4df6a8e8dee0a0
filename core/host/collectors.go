// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/popularity"
)

// Hosts must report prompts only to processes whose version reads numbered reports, and know most of these only by name. A replica replies to each poll
// with itself and the hubs that poll it and count prompts; a hub replies with all that the replicas named to it. Lists are
// sent where they have changed.

// collectorList is the list of collectors that a host sends to others or received from one. The zero value is empty.
type collectorList struct {
	hosts []ident.Host
	key   hash.Key
}

func newCollectorList(hosts []ident.Host) collectorList {
	if len(hosts) == 0 {
		return collectorList{}
	}
	names := make([]string, 0, len(hosts)+1)
	names = append(names, "collectors")
	for _, h := range hosts {
		names = append(names, string(h))
	}
	return collectorList{hosts, hash.Of(names...)}
}

// ownCollectors returns the collectors that this host names to those that poll it.
func (t *transition) ownCollectors() collectorList {
	if !t.settings.IsReplica() {
		all := t.seeded.prompts.collectors.All()
		slices.Sort(all)
		return newCollectorList(all)
	}
	hosts := []ident.Host{t.settings.ID}
	for _, h := range t.seeded.hub.list.Hosts {
		if c, ok := t.seeded.clients.Get(h.Host); ok && c.countsPrompts && c.isLive(t.now) {
			hosts = append(hosts, h.Host)
		}
	}
	slices.Sort(hosts)
	return newCollectorList(hosts)
}

// withCollectors adds the collectors to a reply if the client holds other ones.
func (t *transition) withCollectors(r PollReply, m Poll) PollReply {
	if !m.CountsPrompts {
		return r
	}
	list := t.ownCollectors()
	r.CollectorsKey = list.key
	if list.key != m.CollectorsKey {
		r.Collectors = list.hosts
	}
	return r
}

// recordCollectors returns a contact with the collectors that it named.
func (c contact) withCollectors(m PollReply) contact {
	switch {
	case m.CollectorsKey == 0:
		c.collectors = collectorList{}
	case len(m.Collectors) > 0:
		c.collectors = collectorList{m.Collectors, m.CollectorsKey}
	}
	return c
}

// updateCollectors updates the collectors from what the contacts that reply named. While none replies, the last ones are kept.
func (t *transition) updateCollectors() {
	var named []ident.Host
	for _, h := range t.liveContacts(replicaTimeout) {
		c, _ := t.seeded.contacts.Get(h)
		named = append(named, c.collectors.hosts...)
	}
	if len(named) == 0 {
		return
	}
	slices.Sort(named)
	replicas := t.knownReplicas()
	var next popularity.Collectors
	for _, h := range slices.Compact(named) {
		if slices.Contains(replicas, h) {
			next.Replicas = append(next.Replicas, h)
		} else {
			next.Hubs = append(next.Hubs, h)
		}
	}
	t.seeded.prompts.collectors = next
}
