// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"cmp"

	"github.com/benbjohnson/immutable"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// DefaultMaxChats bounds the chats that one group remembers. Chosen, not measured.
const DefaultMaxChats = 32 << 10

// ChatLocation is where a chat was served last.
type ChatLocation struct {
	Target ident.Target
	// Group is set where the chat was sent to another group.
	Group GroupID
}

// Directory remembers where chats were served. It is bounded: entries live in
// a young and an old generation, a hit in the old one moves to the young one,
// and when the young one is full it becomes the old one. Each entry thus
// survives at least half the bound of other chats. The zero value is empty.
type Directory struct {
	// MaxChats is the most chats kept; DefaultChats where 0.
	MaxChats   int
	young, old *immutable.Map[hash.Key, ChatLocation]
}

// Len counts the chats remembered; one in both generations counts twice.
func (d Directory) Len() int { return mapLen(d.young) + mapLen(d.old) }

func mapLen(m *immutable.Map[hash.Key, ChatLocation]) int {
	if m == nil {
		return 0
	}
	return m.Len()
}

// Get returns the place of a chat.
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

// With returns the directory with the place of k set. Key 0 is no chat.
func (d Directory) With(k hash.Key, p ChatLocation) Directory {
	if k == 0 {
		return d
	}
	bound := d.MaxChats
	bound = cmp.Or(bound, DefaultMaxChats)
	if d.young == nil || d.young.Len() >= bound/2 {
		d.old = d.young
		d.young = immutable.NewMap[hash.Key, ChatLocation](keyHasher{})
	}
	d.young = d.young.Set(k, p)
	return d
}

// keyHasher spreads keys that are hashes already.
type keyHasher struct{}

// Hash implements immutable.Hasher.
func (keyHasher) Hash(k hash.Key) uint32 { return uint32(k ^ k>>32) } //nolint:gosec // Folding, not narrowing.

// Equal implements immutable.Hasher.
func (keyHasher) Equal(a, b hash.Key) bool { return a == b }

// Chat is one entry of a directory as it travels to another owner.
type Chat struct {
	Key   hash.Key
	Place ChatLocation
}

// Chats lists the directory, the older generation first.
func (d Directory) Chats() []Chat {
	out := make([]Chat, 0, d.Len())
	for _, m := range []*immutable.Map[hash.Key, ChatLocation]{d.old, d.young} {
		if m == nil {
			continue
		}
		for it := m.Iterator(); !it.Done(); {
			k, p, _ := it.Next()
			out = append(out, Chat{Key: k, Place: p})
		}
	}
	return out
}

// WithChatLimit returns the group remembering at most n chats; 0 is the
// default.
func (g Group) WithChatLimit(n int) Group {
	g.directory.MaxChats = n
	return g
}

// WithDirectory returns the group with what a backup remembers of its chats.
func (g Group) WithDirectory(d Directory) Group {
	d.MaxChats = g.directory.MaxChats
	g.directory = d
	return g
}

// Chats lists the chats remembered, to hand them to another owner.
func (g Group) Chats() []Chat { return g.directory.Chats() }

// AdoptChats takes over what an earlier owner remembered. What is known here
// already is newer and stays.
func (g Group) AdoptChats(chats []Chat) Group {
	for _, c := range chats {
		if _, ok := g.directory.Get(c.Key); !ok {
			g.directory = g.directory.With(c.Key, c.Place)
		}
	}
	return g
}
