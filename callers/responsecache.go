// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package callers

import (
	"sync"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

const (
	// maxCacheBytes bounds the bodies of all cached responses, maxCachedBody that of one, in
	// bytes.
	maxCacheBytes = 4 << 20
	maxCachedBody = 64 << 10
)

// ResponseCache holds the latest responses of requests with an idempotency key, so that a
// retry under the same key gets the response and does not run again. The zero value is empty.
type ResponseCache struct {
	mu        sync.Mutex
	byRequest map[ident.Request]host.Answer
	order     []ident.Request
	bytes     int
}

// Add stores a response and evicts the oldest ones beyond maxCacheBytes.
func (c *ResponseCache) Add(id ident.Request, a host.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byRequest == nil {
		c.byRequest = map[ident.Request]host.Answer{}
	}
	c.byRequest[id] = a
	c.order = append(c.order, id)
	c.bytes += len(a.Body)
	for c.bytes > maxCacheBytes {
		c.bytes -= len(c.byRequest[c.order[0]].Body)
		delete(c.byRequest, c.order[0])
		c.order = c.order[1:]
	}
}

// Get returns the cached response of a request, or nil.
func (c *ResponseCache) Get(id ident.Request) *host.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.byRequest[id]; ok {
		return &a
	}
	return nil
}
