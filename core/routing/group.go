// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package routing decides which target serves a request. The targets of a service in one zone
// form groups; each group has one owner host, which knows the exact load of its targets and
// remembers where each chat was sent.
//
// # Usage
//
// A Group is an immutable value held by its owner:
//
//	g := routing.NewGroup(id, now)
//	g = g.WithTargets(specs, now)
//	g, answer := g.RequestPermit(request, bound, now)
//	g, grants := g.Release(permit, bound, now)
//
// RequestPermit answers Granted, Queued, Elsewhere or Refused. Release returns the queued
// requests that got a permit as one was released.
package routing

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// GroupID identifies a group of targets.
type GroupID struct {
	Service ident.Service
	Zone    ident.Zone
	Shard   int
}

// String returns "service/zone/shard".
func (g GroupID) String() string {
	return string(g.Service) + "/" + string(g.Zone) + "/" + strconv.Itoa(g.Shard)
}

// Compare orders group ids by their string form.
func (g GroupID) Compare(o GroupID) int { return strings.Compare(g.String(), o.String()) }

// Target is the state of one target of a group, as its owner knows it. The names of exported
// fields are part of state dumps.
type Target struct {
	ID     ident.Target
	Slots  int
	Models []ident.Model
	// Usable is false while the target is down, ejected or leaving.
	Usable bool
	// Since is when the target last became usable, the start of its slow start; zero for no slow
	// start.
	Since time.Time
	// Mine is the number of permits granted for the target, Work their estimated tokens.
	Mine int
	Work int64
	// Foreign is the load that the target reports beyond the permits.
	Foreign int
	// peak and lastPeak are the highest values of Mine in this and the previous window. Load
	// reports are compared with them, so that a delayed report does not make the group's own load
	// look foreign.
	peak, lastPeak int
	windowStart    time.Time
	// key is the hash of the id, for rendezvous hashing.
	key hash.Key
}

// Load returns the requests in flight on the target, with and without a permit of this group.
func (t Target) Load() int { return t.Mine + t.Foreign }

func (t Target) serves(m ident.Model) bool { return m == "" || slices.Contains(t.Models, m) }

// maxReportDelay is how late a load report may arrive: two reporting intervals.
const maxReportDelay = 4 * time.Second

// withOwnLoad returns t with n more permits, for work more estimated tokens.
func (t Target) withOwnLoad(permits int, work int64, now time.Time) Target {
	if now.Sub(t.windowStart) > maxReportDelay {
		t.lastPeak, t.peak, t.windowStart = t.peak, t.Mine, now
	}
	t.Mine += permits
	t.Work += work
	t.peak = max(t.peak, t.Mine)
	return t
}

// Group is the owner's state of one group. It is immutable; the zero value is a group without
// targets.
type Group struct {
	ID GroupID
	// OwnedSince is when this owner took over the group.
	OwnedSince        time.Time
	targets           []Target
	permits           table.Table[ident.PermitID, Permit]
	inFlightByAccount table.Table[ident.Account, int]
	directory         Directory
	// placements are the chats sent to another location since the last TakePlacements, for the
	// group's backup.
	placements               []Chat
	queue                    queue
	totalLoad, usableTargets int
	// shed are requests evicted from a full queue, to be refused.
	shed []PermitRequest
}

// NewGroup returns an empty group, owned since now.
func NewGroup(id GroupID, now time.Time) Group { return Group{ID: id, OwnedSince: now} }

// Targets returns the group's targets ordered by id; the caller must not modify them.
func (g Group) Targets() []Target { return g.targets }

// TotalLoad returns the load of all usable targets.
func (g Group) TotalLoad() int { return g.totalLoad }

// UsableTargets returns the number of usable targets.
func (g Group) UsableTargets() int { return g.usableTargets }

// QueueLength returns the number of queued requests.
func (g Group) QueueLength() int { return g.queue.len() }

// PermitCount returns the number of permits granted and not released.
func (g Group) PermitCount() int { return g.permits.Len() }

// ChatCount returns the number of directory entries.
func (g Group) ChatCount() int { return g.directory.Len() }

// TargetSpec is what a target's configuration and health determine.
type TargetSpec struct {
	ID     ident.Target
	Slots  int
	Models []ident.Model
	Usable bool
}

// WithTargets returns the group with its set of targets replaced. Targets that remain keep their
// load; permits on removed targets are kept until released.
func (g Group) WithTargets(specs []TargetSpec, now time.Time) Group {
	targets := make([]Target, 0, len(specs))
	// No slow start if no target was usable before: no other target could take the load.
	hadUsable := g.UsableTargets() > 0
	for _, s := range specs {
		t := Target{ID: s.ID, windowStart: now, key: hash.Of(string(s.ID))}
		if i := g.targetIndex(s.ID); i >= 0 {
			t = g.targets[i]
		} else {
			t = g.withExistingPermits(t)
		}
		if s.Usable && !t.Usable && hadUsable {
			t.Since = now
		}
		t.Slots, t.Models, t.Usable = s.Slots, s.Models, s.Usable
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	g.targets = targets
	return g.recount()
}

// withExistingPermits adds the permits that were granted for a target before it joined the group.
func (g Group) withExistingPermits(t Target) Target {
	for _, p := range g.permits.All() {
		if p.Target == t.ID {
			t.Mine++
			t.Work += p.Work
		}
	}
	t.peak = t.Mine
	return t
}

// recount recomputes totalLoad and usableTargets. Unusable targets count in neither.
func (g Group) recount() Group {
	g.totalLoad, g.usableTargets = 0, 0
	for _, t := range g.targets {
		if t.Usable {
			g.usableTargets++
			g.totalLoad += t.Load()
		}
	}
	return g
}

func (g Group) targetIndex(id ident.Target) int {
	i, ok := slices.BinarySearchFunc(g.targets, id, func(t Target, id ident.Target) int {
		return strings.Compare(string(t.ID), string(id))
	})
	if !ok {
		return -1
	}
	return i
}

func (g Group) withTarget(i int, t Target) Group {
	g.targets = slices.Clone(g.targets)
	if t.Usable {
		g.totalLoad += t.Load() - g.targets[i].Load()
	}
	g.targets[i] = t
	return g
}

// WithReport applies a target's own count of requests in flight. The part above the recent peak
// of this group's permits is foreign load.
func (g Group) WithReport(id ident.Target, inFlight int, now time.Time) Group {
	i := g.targetIndex(id)
	if i < 0 {
		return g
	}
	t := g.targets[i].withOwnLoad(0, 0, now)
	t.Foreign = max(0, inFlight-max(t.peak, t.lastPeak))
	return g.withTarget(i, t)
}

// withChatLocation records the location of a chat.
func (g Group) withChatLocation(k hash.Key, p ChatLocation) Group {
	if old, ok := g.directory.Get(k); k != 0 && (!ok || old != p) {
		g.placements = append(g.placements[:len(g.placements):len(g.placements)], Chat{Key: k, Place: p})
	}
	g.directory = g.directory.With(k, p)
	return g
}

// TakePlacements returns the chats whose location has changed since the last call.
func (g Group) TakePlacements() (Group, []Chat) {
	placements := g.placements
	g.placements = nil
	return g, placements
}
