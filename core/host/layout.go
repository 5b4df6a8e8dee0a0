// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

// layout divides the targets of one configuration version into groups.
type layout struct {
	version config.Version
	// owners holds the owner of each group as last computed.
	owners          map[routing.GroupID]ident.Host
	groupsByService map[ident.Service][]targetGroup
	groupOf         map[ident.Target]routing.GroupID
}

// targetGroup is one group of a service's targets.
type targetGroup struct {
	id      routing.GroupID
	key     hash.Key
	targets []config.Target
	// modelHolders counts the targets that hold a model.
	modelHolders map[ident.Model]int
}

// newLayout divides the targets of each service and zone into groups. Targets change their
// shard only when the number of shards does, and then only those that rendezvous hashing
// assigns to another shard.
func newLayout(cfg config.Config) layout {
	l := layout{
		version: cfg.Version, groupsByService: map[ident.Service][]targetGroup{},
		groupOf: map[ident.Target]routing.GroupID{},
	}
	counts := map[routing.GroupID]int{}
	for _, t := range cfg.Targets.All() {
		counts[routing.GroupID{Service: t.Service, Zone: t.Zone}]++
	}
	targetsByGroup := map[routing.GroupID][]config.Target{}
	for _, t := range cfg.Targets.All() {
		id := routing.GroupID{Service: t.Service, Zone: t.Zone}
		id.Shard = shardOf(t.ID, (counts[id]+targetsPerGroup-1)/targetsPerGroup)
		targetsByGroup[id] = append(targetsByGroup[id], t)
		l.groupOf[t.ID] = id
	}
	for id, targets := range targetsByGroup {
		group := targetGroup{id: id, key: hash.Of(id.String()), targets: targets, modelHolders: map[ident.Model]int{}}
		for _, t := range targets {
			for _, m := range t.Models {
				group.modelHolders[m]++
			}
		}
		l.groupsByService[id.Service] = append(l.groupsByService[id.Service], group)
	}
	for _, groups := range l.groupsByService {
		slices.SortFunc(groups, func(a, b targetGroup) int { return a.id.Compare(b.id) })
	}
	return l
}

// shardOf assigns a target to a shard by rendezvous hashing.
func shardOf(t ident.Target, shards int) int {
	best, bestScore := 0, uint64(0)
	key := hash.Of(string(t))
	for s := range shards {
		if score := hash.Mix(key, hash.Key(s+1)); score >= bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// updateOwners recomputes the owners of all groups. It takes over the groups that this host now
// owns, hands over those it has lost, and reports held permits to new owners.
func (t *transition) updateOwners() {
	old := t.layout.owners
	owners := map[routing.GroupID]ident.Host{}
	for _, groups := range t.layout.groupsByService {
		for _, p := range groups {
			if owner, ok := t.ownerOf(p.id); ok {
				owners[p.id] = owner
			}
		}
	}
	t.layout.owners = owners
	for _, p := range t.sortedGroups() {
		if owners[p.id] == old[p.id] {
			continue
		}
		t.ownerChanged(p, owners[p.id])
	}
	t.refreshGroups()
}

func (t *transition) sortedGroups() []targetGroup {
	var out []targetGroup
	for _, groups := range t.layout.groupsByService {
		out = append(out, groups...)
	}
	slices.SortFunc(out, func(a, b targetGroup) int { return a.id.Compare(b.id) })
	return out
}

// ownerChanged takes over a group, starting from the backup of its chat directory if there is one,
// or hands over the chats of a group that this host owned. The new owner does not know the permits
// and queued requests of the old one, so this host reports its permits and repeats its pending
// requests.
func (t *transition) ownerChanged(p targetGroup, owner ident.Host) {
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
		t.log(LogGroupOwner, p.id.String(), "handed over to "+string(owner))
	}
	t.reportPermits(p.id, owner)
	t.repeatPermitRequests(p.id)
}
