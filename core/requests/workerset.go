// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"iter"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// workerSet holds the known workers, packed as members of their pools, as decisions scan whole
// pools. The workers in use are held apart too, as reports of loads need no others. It is immutable;
// the zero value is empty.
type workerSet struct {
	pools table.Table[ident.Service, memberList]
	// zones counts the workers of each zone.
	zones table.Table[ident.Zone, int]
	// inUse holds the workers that have requests of this host. They must not be changed.
	inUse table.Table[ident.Target, *worker]
	// base is the time from which members count; zero until there is one.
	base time.Time
	size int
}

// find returns a worker's packed member, or nil.
func (s workerSet) find(id ident.Target) *member {
	for _, members := range s.pools.All() {
		if m := members.get(id); m != nil {
			return m
		}
	}
	return nil
}

// Get returns a worker.
func (s workerSet) Get(id ident.Target) (worker, bool) {
	m := s.find(id)
	if m == nil {
		return worker{}, false
	}
	return m.worker(s.base), true
}

// Len returns the number of workers.
func (s workerSet) Len() int { return s.size }

// All yields the workers pool by pool, in the order of their ids.
func (s workerSet) All() iter.Seq2[ident.Target, worker] {
	return func(yield func(ident.Target, worker) bool) {
		for _, members := range s.pools.All() {
			for m := range members.All() {
				if w := m.worker(s.base); !yield(w.ID, w) {
					return
				}
			}
		}
	}
}

// Unpacked returns the workers of which more than the registration is known. They must not be changed.
func (s workerSet) Unpacked() []*worker {
	var out []*worker
	for _, members := range s.pools.All() {
		for m := range members.All() {
			if m.full != nil {
				out = append(out, m.full)
			}
		}
	}
	return out
}

// Pool returns the members of a pool.
func (s workerSet) Pool(pool ident.Service) memberList {
	members, _ := s.pools.Get(pool)
	return members
}

// Workers yields the workers of a pool.
func (s workerSet) Workers(pool ident.Service) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for m := range s.Pool(pool).All() {
			if w := m.worker(s.base); !yield(&w) {
				return
			}
		}
	}
}

// Zones yields the zones of the workers.
func (s workerSet) Zones() iter.Seq[ident.Zone] {
	return func(yield func(ident.Zone) bool) {
		for zone := range s.zones.All() {
			if !yield(zone) {
				return
			}
		}
	}
}

// InUse yields the workers that have requests of this host.
func (s workerSet) InUse() iter.Seq2[ident.Target, *worker] { return s.inUse.All() }

// With returns the set with a worker added or replaced.
func (s workerSet) With(id ident.Target, w worker) workerSet {
	if s.base.IsZero() {
		s.base = w.registeredAt
	}
	names := ""
	if m := s.find(id); m != nil {
		names = m.names
		previous := m.placement.Value()
		if previous.pool != w.Pool {
			s = s.withoutMember(previous.pool, id)
		}
		s = s.withZoneCount(previous.zone, -1)
		s.size--
	}
	s = s.withZoneCount(w.Zone, 1)
	s.size++
	m := packWorker(&w, s.base, names)
	s.pools = s.pools.With(m.placement.Value().pool, s.Pool(w.Pool).with(m))
	switch {
	case w.inFlight > 0:
		s.inUse = s.inUse.With(id, &w)
	case s.inUse.Has(id):
		s.inUse = s.inUse.Without(id)
	}
	return s
}

// Without returns the set without a worker.
func (s workerSet) Without(id ident.Target) workerSet {
	m := s.find(id)
	if m == nil {
		return s
	}
	previous := m.placement.Value()
	s.inUse = s.inUse.Without(id)
	s.size--
	return s.withoutMember(previous.pool, id).withZoneCount(previous.zone, -1)
}

func (s workerSet) withoutMember(pool ident.Service, id ident.Target) workerSet {
	if members := s.Pool(pool).without(id); members.Len() > 0 {
		s.pools = s.pools.With(pool, members)
	} else {
		s.pools = s.pools.Without(pool)
	}
	return s
}

// withZoneCount adds to the number of workers of a zone.
func (s workerSet) withZoneCount(zone ident.Zone, more int) workerSet {
	n, _ := s.zones.Get(zone)
	if n += more; n == 0 {
		s.zones = s.zones.Without(zone)
		return s
	}
	s.zones = s.zones.With(zone, n)
	return s
}

// memberList holds the members of a pool, ordered by id. It is immutable; the zero value is empty.
type memberList struct{ members pagedList[member] }

// Len returns the number of members.
func (l memberList) Len() int { return l.members.Len() }

// All yields the members in the order of their ids. They must not be changed.
func (l memberList) All() iter.Seq[*member] { return l.members.All() }

func byID(id ident.Target) func(*member) int {
	return func(m *member) int { return cmp.Compare(m.idOf(), id) }
}

func (l memberList) get(id ident.Target) *member { return l.members.Get(byID(id)) }

func (l memberList) with(m member) memberList {
	return memberList{members: l.members.With(m, byID(m.idOf()))}
}

func (l memberList) without(id ident.Target) memberList {
	return memberList{members: l.members.Without(byID(id))}
}
