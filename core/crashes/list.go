// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"cmp"
	"strconv"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/table"
)

// maxEntries bounds a List: each entry takes about 40 bytes in memory and, while hosts hold
// different lists, in each poll.
const maxEntries = 128

// Entry states that Crashes consecutive worker crashes are attributed to a request, the last one
// at At, or, with Crashes 0, that a worker answered it at At.
type Entry struct {
	Content Content
	Crashes int
	At      time.Time
	// Beside are other parts of prompts that were in progress at the same crashes, so that any of
	// them may be the cause. Requests are refused only if they have all of them.
	Beside []Content
}

// supersedes reports whether an entry replaces another one of the same request. Times from other
// hosts do not include the time in transit, so between nearly equal times the entry with more
// crashes wins, and then the one with fewer parts beside it, so that all hosts keep the same one.
func (e Entry) supersedes(other Entry) bool {
	if d := e.At.Sub(other.At); d.Abs() > sameCrashTolerance {
		return d > 0
	}
	return cmp.Or(cmp.Compare(e.Crashes, other.Crashes), cmp.Compare(len(other.Beside), len(e.Beside))) > 0
}

// List holds the requests that crash workers, as this host knows them. Merging lists of several
// hosts gives the same result in any order and with any repetition. It is immutable; the zero
// value is empty.
type List struct {
	byContent table.Table[Content, Entry]
	// Key is a hash of the entries; 0 for an empty list.
	Key hash.Key
}

// Len returns the number of entries.
func (l List) Len() int { return l.byContent.Len() }

// Entries returns all entries, ordered by content.
func (l List) Entries() []Entry { return l.byContent.Values() }

// With merges entries that supersede those held, and drops expired ones. Beyond maxEntries,
// entries with the fewest crashes are dropped first, among them the oldest.
func (l List) With(now time.Time, entries ...Entry) List {
	for _, e := range entries {
		current, found := l.byContent.Get(e.Content)
		if e.Content == "" || now.Sub(e.At) > Retention || found && !e.supersedes(current) {
			continue
		}
		if e.At.After(now) {
			e.At = now
		}
		l.byContent = l.byContent.With(e.Content, e)
	}
	l = l.pruned(now)
	l.Key = l.key()
	return l
}

// pruned drops expired entries, and the least important ones beyond maxEntries.
func (l List) pruned(now time.Time) List {
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

// key hashes the contents and crash counts of the entries.
func (l List) key() hash.Key {
	if l.byContent.Len() == 0 {
		return 0
	}
	parts := make([]string, 0, 2*l.byContent.Len()) //nolint:mnd // A content and a number each.
	for content, e := range l.byContent.All() {
		parts = append(parts, string(content), strconv.Itoa(e.Crashes))
		for _, other := range e.Beside {
			parts = append(parts, string(other))
		}
	}
	return hash.Of(parts...)
}

// WithAnswer records that a worker answered a request; it has no effect on a request that is not
// listed.
func (l List) WithAnswer(content Content, now time.Time) List {
	if e, ok := l.byContent.Get(content); ok && e.Crashes > 0 {
		return l.With(now, Entry{Content: content, At: now})
	}
	return l
}

// AsWatched returns the entry with its crashes capped below CrashesToRefuse, so that the request
// is watched but not refused yet.
func (e Entry) AsWatched() Entry {
	e.Crashes = min(e.Crashes, crashesToWatch)
	return e
}

// Decided returns the list without the entries of requests that are only watched, and of parts of which
// another may be the cause.
func (l List) Decided() List {
	var out List
	for content, e := range l.byContent.All() {
		if e.Crashes == 0 || e.Crashes >= CrashesToRefuse && len(e.Beside) == 0 {
			out.byContent = out.byContent.With(content, e)
		}
	}
	out.Key = out.key()
	return out
}

// Get returns the entry of a request.
func (l List) Get(content Content) (Entry, bool) { return l.byContent.Get(content) }

// Refused reports whether a request is refused, and until when.
func (l List) Refused(content Content, now time.Time) (until time.Time, refused bool) {
	e, ok := l.byContent.Get(content)
	until = e.At.Add(refusalDuration)
	return until, ok && e.Crashes >= CrashesToRefuse && now.Before(until)
}
