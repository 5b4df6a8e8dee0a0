// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

import (
	"container/list"
	"hash/fnv"
)

// blockBytes is the piece of a prompt that is cached as a whole; about 16
// tokens.
const blockBytes = 64

// prefixCache is a bounded cache of prompt prefixes, least recently used first
// out. A block is known by the hash of everything up to its end.
type prefixCache struct {
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// use returns how many of the prompt's blocks were cached from its start, and
// how many there are; afterwards all of them are cached.
func (c *prefixCache) use(prompt []byte) (cached, all int) {
	h := fnv.New64a()
	hit := true
	for len(prompt) >= blockBytes {
		_, _ = h.Write(prompt[:blockBytes])
		prompt = prompt[blockBytes:]
		all++
		if c.touch(h.Sum64()) && hit {
			cached++
		} else {
			hit = false
		}
	}
	return cached, all
}

func (c *prefixCache) touch(block uint64) bool {
	if e, ok := c.blocks[block]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		delete(c.blocks, oldest.Value.(uint64)) //nolint:forcetypeassert // Only blocks are put in.
		c.order.Remove(oldest)
	}
	return false
}
