// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

// layout is the division of targets into groups at one configuration version.
type layout struct {
	version config.Version
	// owners is the division's owners as last seen.
	owners   map[routing.GroupID]ident.Host
	services map[ident.Service][]groupPart
	groupOf  map[ident.Target]routing.GroupID
}

// groupPart is one group of a service.
type groupPart struct {
	id      routing.GroupID
	key     hash.Key
	targets []config.Target
	// holders counts the targets that hold a model.
	holders map[ident.Model]int
}

// newLayout divides the targets of each service and zone into groups. The
// shard of a target moves only when the number of shards changes, and then
// only for the part that rendezvous gives to the new shard.
func newLayout(cfg config.Config) layout {
	l := layout{
		version: cfg.Version, services: map[ident.Service][]groupPart{},
		groupOf: map[ident.Target]routing.GroupID{},
	}
	counts := map[routing.GroupID]int{}
	for _, t := range cfg.Targets.All() {
		counts[routing.GroupID{Service: t.Service, Zone: t.Zone}]++
	}
	parts := map[routing.GroupID][]config.Target{}
	for _, t := range cfg.Targets.All() {
		id := routing.GroupID{Service: t.Service, Zone: t.Zone}
		id.Shard = shardOf(t.ID, (counts[id]+targetsPerGroup-1)/targetsPerGroup)
		parts[id] = append(parts[id], t)
		l.groupOf[t.ID] = id
	}
	for id, targets := range parts {
		part := groupPart{id: id, key: hash.Of(id.String()), targets: targets, holders: map[ident.Model]int{}}
		for _, t := range targets {
			for _, m := range t.Models {
				part.holders[m]++
			}
		}
		l.services[id.Service] = append(l.services[id.Service], part)
	}
	for _, ps := range l.services {
		slices.SortFunc(ps, func(a, b groupPart) int { return a.id.Compare(b.id) })
	}
	return l
}

func shardOf(t ident.Target, shards int) int {
	best, top := 0, uint64(0)
	key := hash.Of(string(t))
	for s := range shards {
		if score := hash.Mix(key, hash.Key(s+1)); score >= top {
			best, top = s, score
		}
	}
	return best
}

// ownersChanged works out the groups' owners anew, takes up those that are now
// ours, drops those that are not, and tells new owners of places held.
func (t *transition) ownersChanged() {
	old := t.layout.owners
	owners := map[routing.GroupID]ident.Host{}
	for _, parts := range t.layout.services {
		for _, p := range parts {
			if owner, ok := t.ownerOf(p.id); ok {
				owners[p.id] = owner
			}
		}
	}
	t.layout.owners = owners
	for _, p := range t.sortedParts() {
		if owners[p.id] == old[p.id] {
			continue
		}
		t.ownerMoved(p, owners[p.id])
	}
	t.refreshGroups()
}

func (t *transition) sortedParts() []groupPart {
	var out []groupPart
	for _, parts := range t.layout.services {
		out = append(out, parts...)
	}
	slices.SortFunc(out, func(a, b groupPart) int { return a.id.Compare(b.id) })
	return out
}

func (t *transition) ownerMoved(p groupPart, owner ident.Host) {
	if owner == t.settings.ID {
		g := routing.NewGroup(p.id, t.now).WithChatLimit(t.settings.MaxChatsPerGroup)
		if backup, ok := t.chatBackups.Get(p.id.String()); ok {
			g = g.WithDirectory(backup)
			t.chatBackups = t.chatBackups.Without(p.id.String())
		}
		t.groups = t.groups.With(p.id.String(), g)
		t.log(LogGroupOwner, p.id.String(), "taken")
	} else if g, ok := t.groups.Get(p.id.String()); ok {
		t.handOverChats(g, owner)
		t.groups = t.groups.Without(p.id.String())
		t.log(LogGroupOwner, p.id.String(), "given to "+string(owner))
	}
	t.reportPermits(p.id, owner)
	t.repeatPermitRequests(p.id)
}
