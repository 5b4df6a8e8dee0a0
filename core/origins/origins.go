// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package origins records which version of a service began each stream, so that a stream that
// broke off goes on at that version, whichever host its caller resumes it at.
//
// # Usage
//
//	s = s.With(origins.Origin{Service: "drafter", Version: "v1"}, now, origins.KeyOf("request-1"))
//	origin, ok := s.Of(origins.KeyOf("request-1"))
//
// Entry hosts report the streams that they begin in polls, as a Report; replicas and hubs keep
// reports in a Store and answer which origins they know. Both are bounded. A stream whose origin is
// dropped or lost is unknown, which callers of Of must take into account.
package origins

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// Origin is the service and the version that began a stream. The version is empty if the worker
// reported none.
type Origin struct {
	Service ident.Service
	Version ident.Version
	// Unproved is set while it is not known which process began the stream, and thus which version.
	Unproved bool
}

// compare orders proved origins before others, as a report that is too long is cut.
func (o Origin) compare(other Origin) int {
	switch {
	case o.Unproved && !other.Unproved:
		return 1
	case other.Unproved && !o.Unproved:
		return -1
	}
	return cmp.Or(cmp.Compare(o.Service, other.Service), cmp.Compare(o.Version, other.Version))
}

// KeyOf returns the key of the request that brought a stream's first event.
func KeyOf(request ident.Request) hash.Key { return hash.Of(string(request)) }

const (
	// Retention is how long an origin is kept: longer than callers wait for a stream.
	Retention = time.Minute
	// maxKeys bounds a Store. At eight bytes each they take 2 MB.
	maxKeys = 1 << 18
	// maxBatches bounds the reports that a Store keeps apart.
	maxBatches = 1 << 12
)

// Store holds the origins of streams. It is immutable; the zero value is empty.
type Store struct {
	// batches are numbered in the order of their times; next is the number of the next one.
	batches table.Table[uint64, batch]
	next    uint64
	size    int
}

// batch holds the streams of one origin that were reported together.
type batch struct {
	origin Origin
	at     time.Time
	// keys are sorted.
	keys []hash.Key
}

// Len returns the number of streams.
func (s Store) Len() int { return s.size }

// With adds streams that an origin began, and drops the oldest ones that are expired or too many.
func (s Store) With(o Origin, now time.Time, keys ...hash.Key) Store {
	if len(keys) == 0 {
		return s
	}
	sorted := slices.Clone(keys)
	slices.Sort(sorted)
	s.batches = s.batches.With(s.next, batch{origin: o, at: now, keys: sorted})
	s.next++
	s.size += len(sorted)
	return s.pruned(now)
}

// pruned drops the oldest batches that are expired or too many.
func (s Store) pruned(now time.Time) Store {
	for {
		number, oldest, ok := s.batches.First()
		isExcess := s.size > maxKeys || s.batches.Len() > maxBatches
		if !ok || !isExcess && now.Sub(oldest.at) <= Retention {
			return s
		}
		s.batches = s.batches.Without(number)
		s.size -= len(oldest.keys)
	}
}

// WithReport adds the streams of a report.
func (s Store) WithReport(r Report, now time.Time) Store {
	for _, g := range r {
		s = s.With(g.Origin, now, g.Keys...)
	}
	return s
}

// Of returns the origin of a stream; false if it is not known. If several were reported, it is the first that is
// proved.
func (s Store) Of(key hash.Key) (Origin, bool) {
	var unproved Origin
	for _, b := range s.batches.All() {
		if _, found := slices.BinarySearch(b.keys, key); !found {
			continue
		}
		if !b.origin.Unproved {
			return b.origin, true
		}
		unproved = b.origin
	}
	return unproved, unproved.Unproved
}

// Report is a list of streams by their origins.
type Report []Group

// Group holds the streams of one origin.
type Group struct {
	Origin Origin
	Keys   []hash.Key
}

// Len returns the number of streams.
func (r Report) Len() int {
	n := 0
	for _, g := range r {
		n += len(g.Keys)
	}
	return n
}

// With returns the report with a stream added.
func (r Report) With(o Origin, key hash.Key) Report {
	out := slices.Clone(r)
	for i, g := range out {
		if g.Origin == o {
			out[i].Keys = append(slices.Clip(g.Keys), key)
			return out
		}
	}
	return append(out, Group{Origin: o, Keys: []hash.Key{key}})
}

// Has reports whether the report holds a stream.
func (r Report) Has(key hash.Key) bool {
	return slices.ContainsFunc(r, func(g Group) bool { return slices.Contains(g.Keys, key) })
}

// Without returns the report without a stream.
func (r Report) Without(key hash.Key) Report {
	var out Report
	for _, g := range r {
		kept := slices.DeleteFunc(slices.Clone(g.Keys), func(k hash.Key) bool { return k == key })
		if len(kept) > 0 {
			out = append(out, Group{Origin: g.Origin, Keys: kept})
		}
	}
	return out
}

// Merge returns the streams of both reports, each once.
func (r Report) Merge(other Report) Report {
	byOrigin := map[Origin][]hash.Key{}
	for _, g := range slices.Concat(r, other) {
		byOrigin[g.Origin] = append(byOrigin[g.Origin], g.Keys...)
	}
	out := make(Report, 0, len(byOrigin))
	for o, keys := range byOrigin {
		slices.Sort(keys)
		out = append(out, Group{Origin: o, Keys: slices.Compact(keys)})
	}
	slices.SortFunc(out, func(a, b Group) int { return a.Origin.compare(b.Origin) })
	return out
}
