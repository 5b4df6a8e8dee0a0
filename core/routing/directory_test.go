// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

// TestHandedOverChatsAreTheNewest guards against a new owner that sends a chat to the engine that it has
// left: a chat in both generations of the directory was handed over with the older location.
func TestHandedOverChatsAreTheNewest(t *testing.T) {
	d := routing.Directory{MaxChats: 4}
	for _, set := range []struct {
		chat hash.Key
		at   string
	}{{1, "before"}, {2, "x"}, {3, "x"}, {1, "after"}} {
		d = d.With(set.chat, routing.ChatLocation{Target: ident.Target("engine-" + set.at)})
	}
	chats := d.Chats()
	require.Len(t, chats, 3, "each chat once")
	for _, c := range chats {
		if c.Key == 1 {
			require.EqualValues(t, "engine-after", c.Place.Target)
		}
	}
}
