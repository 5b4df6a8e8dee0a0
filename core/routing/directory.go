// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"cmp"

	"github.com/benbjohnson/immutable"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// DefaultMaxChats is the default of Directory.MaxChats.
const DefaultMaxChats = 32 << 10

// ChatLocation is the target or group to which a chat was last sent.
type ChatLocation struct {
	Target ident.Target
	// Group is set if the chat was redirected to another group.
	Group GroupID
}

// Directory remembers the location of chats. It is bounded: entries are kept in a young and an
// old generation, an entry that is set again moves to the young one, and when the young
// generation is full it replaces the old one. Each entry thus survives at least MaxChats/2 other
// chats. The zero value is empty.
type Directory struct {
	// MaxChats is the maximum number of chats; 0 means DefaultMaxChats.
	MaxChats   int
	young, old *immutable.Map[hash.Key, ChatLocation]
}

// Len returns the number of entries; a chat in both generations counts twice.
func (d Directory) Len() int { return mapLen(d.young) + mapLen(d.old) }

func mapLen(m *immutable.Map[hash.Key, ChatLocation]) int {
	if m == nil {
		return 0
	}
	return m.Len()
}

// Get returns the location of a chat.
func (d Directory) Get(k hash.Key) (ChatLocation, bool) {
	for _, m := range []*immutable.Map[hash.Key, ChatLocation]{d.young, d.old} {
		if m == nil {
			continue
		}
		if p, ok := m.Get(k); ok {
			return p, true
		}
	}
	return ChatLocation{}, false
}

// With returns the directory with the location of k set. Key 0 denotes a request without a chat
// and is ignored.
func (d Directory) With(k hash.Key, p ChatLocation) Directory {
	if k == 0 {
		return d
	}
	maxChats := d.MaxChats
	maxChats = cmp.Or(maxChats, DefaultMaxChats)
	if d.young == nil || d.young.Len() >= maxChats/2 {
		d.old = d.young
		d.young = immutable.NewMap[hash.Key, ChatLocation](keyHasher{})
	}
	d.young = d.young.Set(k, p)
	return d
}

// keyHasher folds keys, which are hashes already.
type keyHasher struct{}

// Hash implements immutable.Hasher.
func (keyHasher) Hash(k hash.Key) uint32 { return uint32(k ^ k>>32) } //nolint:gosec // Folding, not narrowing.

// Equal implements immutable.Hasher.
func (keyHasher) Equal(a, b hash.Key) bool { return a == b }

// Chat is one entry of a directory, as sent to another owner.
type Chat struct {
	Key   hash.Key
	Place ChatLocation
}

// Chats returns the location of each chat, those of the old generation first.
func (d Directory) Chats() []Chat {
	out := make([]Chat, 0, d.Len())
	for _, m := range []*immutable.Map[hash.Key, ChatLocation]{d.old, d.young} {
		if m == nil {
			continue
		}
		for it := m.Iterator(); !it.Done(); {
			k, p, _ := it.Next()
			if m == d.young || !d.isYoung(k) {
				out = append(out, Chat{Key: k, Place: p})
			}
		}
	}
	return out
}

// isYoung reports whether the young generation has an entry of a chat.
func (d Directory) isYoung(k hash.Key) bool {
	if d.young == nil {
		return false
	}
	_, ok := d.young.Get(k)
	return ok
}

// WithChatLimit returns the group with the number of remembered chats limited to n; 0 means the
// default.
func (g Group) WithChatLimit(n int) Group {
	g.directory.MaxChats = n
	return g
}

// WithDirectory returns the group with a backup's copy of its directory.
func (g Group) WithDirectory(d Directory) Group {
	d.MaxChats = g.directory.MaxChats
	g.directory = d
	return g
}

// Chats returns the chats remembered, to be sent to another owner.
func (g Group) Chats() []Chat { return g.directory.Chats() }

// AdoptChats adds the chats that a previous owner remembered; entries that exist already are
// newer and are kept.
func (g Group) AdoptChats(chats []Chat) Group {
	for _, c := range chats {
		if _, ok := g.directory.Get(c.Key); !ok {
			g.directory = g.directory.With(c.Key, c.Place)
		}
	}
	return g
}
