// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft

import "github.com/benbjohnson/immutable"

type (
	// Index is a position in the log; the first entry has 1.
	Index uint64
	// Term counts elections.
	Term uint64
	// EntryKind tells what an entry carries.
	EntryKind uint8
)

const (
	// EntryNormal carries a state machine command.
	EntryNormal EntryKind = iota
	// EntryNoop is written by each new leader.
	EntryNoop
	// EntryMembers carries a whole member list.
	EntryMembers
)

// Entry is one record of the replicated log.
type Entry struct {
	Index   Index
	Term    Term
	Kind    EntryKind
	Data    []byte
	Members []Member
}

// size is the number of bytes that count against a message's bound.
func (e Entry) size() int { return len(e.Data) + entryOverhead + memberOverhead*len(e.Members) }

const (
	entryOverhead  = 32
	memberOverhead = 48
)

// Log is an immutable list of entries after a compacted prefix. The zero value
// is an empty log.
type Log struct {
	base     Index
	baseTerm Term
	entries  *immutable.List[Entry]
}

// NewLog returns a log that begins after base.
func NewLog(base Index, baseTerm Term, entries []Entry) Log {
	return Log{base: base, baseTerm: baseTerm}.WithAppended(entries)
}

// First is the index of the first entry kept.
func (l Log) First() Index { return l.base + 1 }

// Last is the index of the newest entry.
func (l Log) Last() Index { return l.base + Index(l.Len()) } //nolint:gosec // A length is not negative.

// Len is the number of entries kept.
func (l Log) Len() int {
	if l.entries == nil {
		return 0
	}
	return l.entries.Len()
}

// LastTerm is the term of the newest entry.
func (l Log) LastTerm() Term {
	t, _ := l.TermAt(l.Last())
	return t
}

// TermAt returns the term at i, or false where i is compacted or missing.
func (l Log) TermAt(i Index) (Term, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.Last() {
		return 0, false
	}
	return l.At(i).Term, true
}

// At returns the entry at i, which must be kept.
func (l Log) At(i Index) Entry { return l.entries.Get(l.offset(i)) }

// offset is the place of index i in the list; i must be kept or next.
func (l Log) offset(i Index) int {
	return int(i - l.base - 1) //nolint:gosec // The list is far shorter than an int reaches.
}

// Slice returns entries from..to inclusive, bounded by maxBytes but at least
// one where there is one.
func (l Log) Slice(from, to Index, maxBytes int) []Entry {
	var out []Entry
	bytes := 0
	for i := from; i <= to && i <= l.Last(); i++ {
		e := l.At(i)
		bytes += e.size()
		if len(out) > 0 && bytes > maxBytes {
			break
		}
		out = append(out, e)
	}
	return out
}

// WithAppended returns the log with entries added at its end.
func (l Log) WithAppended(entries []Entry) Log {
	if len(entries) == 0 {
		return l
	}
	if l.entries == nil {
		l.entries = immutable.NewList[Entry]()
	}
	for _, e := range entries {
		l.entries = l.entries.Append(e)
	}
	return l
}

// WithTruncated returns the log without entries from i on.
func (l Log) WithTruncated(i Index) Log {
	if i > l.Last() || l.entries == nil {
		return l
	}
	l.entries = l.entries.Slice(0, l.offset(i))
	return l
}

// WithCompacted returns the log without entries up to i.
func (l Log) WithCompacted(i Index, t Term) Log {
	if i <= l.base {
		return l
	}
	if i >= l.Last() {
		return Log{base: i, baseTerm: t}
	}
	l.entries = l.entries.Slice(l.offset(i+1), l.Len())
	l.base, l.baseTerm = i, t
	return l
}
