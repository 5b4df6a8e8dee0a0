// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"cmp"
	"slices"
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
	// At is the time by this host's clock. It differs between hosts by the time that messages take.
	At time.Time
	// Beside are other parts of prompts that were in progress at the same crashes, so that any of
	// them may be the cause. Requests are refused only if they have all of them.
	Beside []Content
	// Stamp orders the entries of a request, alike at all hosts: it is the time in nanoseconds by the
	// clock of the host that made the entry, or one more than the stamp of the entry that it replaced there if
	// that is later. It travels unchanged. 0 in entries without one: those of earlier versions, reported
	// answers, and results of Evidence.
	Stamp int64
}

// compare orders two entries of a request by their stamps. Hosts may make entries of the same stamp at the same
// time; of these, more crashes and fewer parts beside come later.
func (e Entry) compare(other Entry) int {
	return cmp.Or(cmp.Compare(e.Stamp, other.Stamp), cmp.Compare(e.Crashes, other.Crashes),
		cmp.Compare(len(other.Beside), len(e.Beside)), slices.Compare(e.Beside, other.Beside))
}

// isNews reports whether an entry without a stamp replaces the one held. Times of two crashes within
// sameCrashTolerance may be of the same one, of which the entry with more crashes and then the one with fewer parts beside
// counts. Of a crash and an answer, an entry replaces the other one if it is later by more than a margin.
func (e Entry) isNews(held Entry, margin time.Duration) bool {
	later := e.At.Sub(held.At)
	switch {
	case (e.Crashes > 0) != (held.Crashes > 0):
		return later > margin
	case later.Abs() > sameCrashTolerance:
		return later > 0
	}
	return cmp.Or(cmp.Compare(e.Crashes, held.Crashes), cmp.Compare(len(held.Beside), len(e.Beside))) > 0
}

// List holds the requests that crash workers, as this host knows them: of each the last crash, or the answer
// after it. Merging lists of several hosts gives the same result in any order and with any repetition, however
// long they were on the way. It is immutable; the zero value is empty.
type List struct {
	byContent table.Table[Content, Entry]
	// Key is a hash of the entries; 0 for an empty list.
	Key hash.Key
}

// Len returns the number of entries.
func (l List) Len() int { return l.byContent.Len() }

// Entries returns all entries, ordered by content.
func (l List) Entries() []Entry { return l.byContent.Values() }

// With merges entries of other hosts and drops expired ones. Of a request, the entry with the latest stamp is
// kept, with the oldest of its times, as ages need not grow in transit. Beyond maxEntries, entries with the
// fewest crashes are dropped first, among them the earliest.
func (l List) With(now time.Time, entries ...Entry) List {
	return l.merged(now, sameCrashTolerance, entries)
}

// WithEvaluated merges results of this host's Evidence. Their times are compared with those of answers without a
// tolerance: a request must be watched again from the first crash after an answer.
func (l List) WithEvaluated(now time.Time, entries ...Entry) List {
	return l.merged(now, 0, entries)
}

// merged merges entries; margin is the time by which those without a stamp must be later.
func (l List) merged(now time.Time, margin time.Duration, entries []Entry) List {
	for _, e := range entries {
		if e.Content == "" || now.Sub(e.At) > Retention {
			continue
		}
		if e.At.After(now) {
			e.At = now
		}
		l = l.withEntry(e, margin)
	}
	l = l.pruned(now)
	l.Key = l.key()
	return l
}

// withEntry merges one entry. It leaves the key as it was.
func (l List) withEntry(e Entry, margin time.Duration) List {
	held, found := l.byContent.Get(e.Content)
	switch {
	case e.Stamp == 0 && found && !e.isNews(held, margin):
		return l
	case e.Stamp == 0:
		e.Stamp = max(e.At.UnixNano(), held.Stamp+1)
	case found && e.compare(held) < 0:
		return l
	case found && e.compare(held) == 0 && held.At.Before(e.At):
		return l
	}
	l.byContent = l.byContent.With(e.Content, e)
	return l
}

// pruned drops expired entries, and the least important ones beyond maxEntries. The latter are the same at all hosts that
// know the same entries, so that hosts do not send each other what the others drop.
func (l List) pruned(now time.Time) List {
	for content, e := range l.byContent.All() {
		if now.Sub(e.At) > Retention {
			l.byContent = l.byContent.Without(content)
		}
	}
	for l.byContent.Len() > maxEntries {
		least := slices.MinFunc(l.byContent.Values(), func(a, b Entry) int {
			return cmp.Or(cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Content, b.Content))
		})
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

// WithAnswer records that a worker answered a request, after all crashes that this host knows of. It has no
// effect on a request that is not listed.
func (l List) WithAnswer(content Content, now time.Time) List {
	if e, ok := l.byContent.Get(content); ok && e.Crashes > 0 {
		return l.With(now, Entry{Content: content, At: now, Stamp: max(now.UnixNano(), e.Stamp+1)})
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
