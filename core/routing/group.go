// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package routing decides which engine serves a request. The targets of a
// service in one zone form groups; each group has one owner host, which knows
// the exact load of its engines and remembers where each chat went.
//
// # Usage
//
// A Group is an immutable value held by its owner:
//
//	g := routing.NewGroup(id, now)
//	g = g.WithEngines(engines)
//	g, answer := g.Request(request, bound, now)
//	g, granted := g.Release(place, bound, now)
//
// Request answers Granted, Queued, Elsewhere or Refused. Release returns the requests
// from the queue that the freed place has served.
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

// GroupID names a group of targets.
type GroupID struct {
	Service ident.Service
	Zone    ident.Zone
	Shard   int
}

// String returns service/zone/shard.
func (g GroupID) String() string {
	return string(g.Service) + "/" + string(g.Zone) + "/" + strconv.Itoa(g.Shard)
}

// Compare orders group ids.
func (g GroupID) Compare(o GroupID) int { return strings.Compare(g.String(), o.String()) }

// Target is what an owner knows of one target of its group.
type Target struct {
	ID     ident.Target
	Slots  int
	Models []ident.Model
	// Usable is false while the target is down, ejected or leaving.
	Usable bool
	// Since is when it last became usable, from which slow start counts.
	Since time.Time
	// Mine counts the permits out, Work their estimated tokens.
	Mine int
	Work int64
	// Foreign is the load that reports show beyond our permits.
	Foreign int
	// peak and lastPeak are the highest Mine in this and the last window; a
	// late report is held against them, so that our own load is not taken for
	// foreign.
	peak, lastPeak int
	window         time.Time
	// key is the hash of the id, for rendezvous.
	key hash.Key
}

// Load is the requests in flight on the engine, ours and others'.
func (e Target) Load() int { return e.Mine + e.Foreign }

func (e Target) serves(m ident.Model) bool { return m == "" || slices.Contains(e.Models, m) }

// reportWindow is how late a load report may be. Chosen, not measured: two reports.
const reportWindow = 4 * time.Second

// withMine returns e with n more permits.
func (e Target) withMine(n int, work int64, now time.Time) Target {
	if now.Sub(e.window) > reportWindow {
		e.lastPeak, e.peak, e.window = e.peak, e.Mine, now
	}
	e.Mine += n
	e.Work += work
	e.peak = max(e.peak, e.Mine)
	return e
}

// Group is the owner's state of one group. It is immutable; the zero value
// is a group without engines.
type Group struct {
	ID GroupID
	// OwnedSince is when this owner took the group up.
	OwnedSince time.Time
	engines    []Target
	permits    table.Table[ident.PermitID, Permit]
	accounts   table.Table[ident.Account, int]
	directory  Directory
	// moved are chats placed anew since TakeMoved, for the group's backup.
	moved         []Chat
	queue         queue
	total, usable int
	// shed are requests that gave way in a full queue and are to be refused.
	shed []PermitRequest
}

// NewGroup returns an empty group, taken up at now.
func NewGroup(id GroupID, now time.Time) Group { return Group{ID: id, OwnedSince: now} }

// Targets returns the group's engines in id order; the caller must not change
// them.
func (g Group) Targets() []Target { return g.engines }

// TotalLoad is the load of all usable engines.
func (g Group) TotalLoad() int { return g.total }

// UsableTargets counts the usable engines.
func (g Group) UsableTargets() int { return g.usable }

// QueueLength counts the requests in the queue.
func (g Group) QueueLength() int { return g.queue.len() }

// PermitCount counts the permits out.
func (g Group) PermitCount() int { return g.permits.Len() }

// ChatCount counts the chats remembered.
func (g Group) ChatCount() int { return g.directory.Len() }

// TargetSpec is what the configuration and the health of a target say of it.
type TargetSpec struct {
	ID     ident.Target
	Slots  int
	Models []ident.Model
	Usable bool
}

// WithTargets returns the group with its set of engines replaced. Known ones
// keep their load; permits on engines that are gone stay until released.
func (g Group) WithTargets(specs []TargetSpec, now time.Time) Group {
	engines := make([]Target, 0, len(specs))
	// Where no engine was usable before, there is none to spare the new ones.
	warm := g.UsableTargets() > 0
	for _, s := range specs {
		e := Target{ID: s.ID, window: now, key: hash.Of(string(s.ID))}
		if i := g.index(s.ID); i >= 0 {
			e = g.engines[i]
		} else {
			e = g.withPermitsOf(e)
		}
		if s.Usable && !e.Usable && warm {
			e.Since = now
		}
		e.Slots, e.Models, e.Usable = s.Slots, s.Models, s.Usable
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	g.engines = engines
	return g.retotal()
}

// withPermitsOf counts the permits already out on a target that joins.
func (g Group) withPermitsOf(e Target) Target {
	for _, p := range g.permits.All() {
		if p.Target == e.ID {
			e.Mine++
			e.Work += p.Work
		}
	}
	e.peak = e.Mine
	return e
}

func (g Group) retotal() Group {
	g.total, g.usable = 0, 0
	for _, e := range g.engines {
		if e.Usable {
			g.usable++
			g.total += e.Load()
		}
	}
	return g
}

func (g Group) index(id ident.Target) int {
	i, ok := slices.BinarySearchFunc(g.engines, id, func(e Target, id ident.Target) int {
		return strings.Compare(string(e.ID), string(id))
	})
	if !ok {
		return -1
	}
	return i
}

func (g Group) withEngine(i int, e Target) Group {
	g.engines = slices.Clone(g.engines)
	if e.Usable {
		g.total += e.Load() - g.engines[i].Load()
	}
	g.engines[i] = e
	return g
}

// WithReport takes an engine's own count of requests in flight. What exceeds
// the most that we had there lately is load of others.
func (g Group) WithReport(id ident.Target, inFlight int, now time.Time) Group {
	i := g.index(id)
	if i < 0 {
		return g
	}
	e := g.engines[i].withMine(0, 0, now)
	e.Foreign = max(0, inFlight-max(e.peak, e.lastPeak))
	return g.withEngine(i, e)
}

// withLocation remembers where a chat goes.
func (g Group) withLocation(k hash.Key, p ChatLocation) Group {
	if old, ok := g.directory.Get(k); k != 0 && (!ok || old != p) {
		g.moved = append(g.moved[:len(g.moved):len(g.moved)], Chat{Key: k, Place: p})
	}
	g.directory = g.directory.With(k, p)
	return g
}

// TakePlacements returns the chats placed anew since the last call.
func (g Group) TakePlacements() (Group, []Chat) {
	moved := g.moved
	g.moved = nil
	return g, moved
}
