// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"strconv"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/table"
)

// maxEntries bounds a List: each costs some 40 bytes in memory and, while hosts hold
// different lists, in each poll. Chosen, not measured.
const maxEntries = 128

// Entry says of a request how many workers ended under it in a row, the last one at At, or
// with Ends 0 that a worker answered it at At after all.
type Entry struct {
	Content Content
	Crashes int
	At      time.Time
}

// newer tells whether an entry says more than another one of the same request. Times of
// other hosts lack what a message was on its way, so that nearly equal ones say nothing;
// then more ends win, everywhere alike.
func (e Entry) newer(have Entry) bool {
	if d := e.At.Sub(have.At); d.Abs() > sameEnd {
		return d > 0
	}
	return e.Crashes > have.Crashes
}

// List are the requests under which workers ended, as this host knows them. Lists of several
// hosts are joined in any order, and as often as they are sent, to the same. It is
// immutable; the zero value is empty.
type List struct {
	byContent table.Table[Content, Entry]
	// Key names what the list says; 0 where it says nothing.
	Key hash.Key
}

// Len is the number of entries.
func (l List) Len() int { return l.byContent.Len() }

// Entries are all entries, in the order of their contents.
func (l List) Entries() []Entry { return l.byContent.Values() }

// With adds entries where they say more than those held, and forgets what is long ago. Where
// there are too many, those with the fewest ends and then the oldest go first.
func (l List) With(now time.Time, entries ...Entry) List {
	for _, e := range entries {
		have, known := l.byContent.Get(e.Content)
		if e.Content == "" || now.Sub(e.At) > Retention || known && !e.newer(have) {
			continue
		}
		if e.At.After(now) {
			e.At = now
		}
		l.byContent = l.byContent.With(e.Content, e)
	}
	l = l.bounded(now)
	l.Key = l.key()
	return l
}

// bounded drops what is long ago, and what is too much.
func (l List) bounded(now time.Time) List {
	for content, e := range l.byContent.All() {
		if now.Sub(e.At) > Retention {
			l.byContent = l.byContent.Without(content)
		}
	}
	for l.byContent.Len() > maxEntries {
		var least Entry
		for _, e := range l.byContent.All() {
			if least.Content == "" || e.Crashes < least.Crashes || e.Crashes == least.Crashes && e.At.Before(least.At) {
				least = e
			}
		}
		l.byContent = l.byContent.Without(least.Content)
	}
	return l
}

// key hashes which requests stand in the list, and with how many ends.
func (l List) key() hash.Key {
	if l.byContent.Len() == 0 {
		return 0
	}
	parts := make([]string, 0, 2*l.byContent.Len()) //nolint:mnd // A content and a number each.
	for content, e := range l.byContent.All() {
		parts = append(parts, string(content), strconv.Itoa(e.Crashes))
	}
	return hash.Of(parts...)
}

// WithAnswer takes that a worker answered a request after all. Of one that is not listed it
// says nothing.
func (l List) WithAnswer(content Content, now time.Time) List {
	if e, ok := l.byContent.Get(content); ok && e.Crashes > 0 {
		return l.With(now, Entry{Content: content, At: now})
	}
	return l
}

// AsWatched returns an entry as it stands while its request is only watched.
func (e Entry) AsWatched() Entry {
	e.Crashes = min(e.Crashes, endsToWatch)
	return e
}

// Decided are the entries that decide what is refused: without those of requests that are
// only watched.
func (l List) Decided() List {
	var out List
	for content, e := range l.byContent.All() {
		if e.Crashes == 0 || e.Crashes >= CrashesToRefuse {
			out.byContent = out.byContent.With(content, e)
		}
	}
	out.Key = out.key()
	return out
}

// Get returns what the list says of a request.
func (l List) Get(content Content) (Entry, bool) { return l.byContent.Get(content) }

// Refused tells whether a request is refused, and until when.
func (l List) Refused(content Content, now time.Time) (until time.Time, refused bool) {
	e, ok := l.byContent.Get(content)
	until = e.At.Add(refuseFor)
	return until, ok && e.Crashes >= CrashesToRefuse && now.Before(until)
}
