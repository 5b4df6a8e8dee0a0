// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package callers

import (
	"sync"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

const (
	// maxKept bounds the bytes of all answers kept, maxKeptOne those of one.
	maxKept    = 4 << 20
	maxKeptOne = 64 << 10
)

// ResponseCache keeps the newest answers of requests that must not run twice, so that
// a resend gets the answer instead of a second run. The zero value is empty.
type ResponseCache struct {
	mu    sync.Mutex
	kept  map[ident.Request]host.Answer
	order []ident.Request
	bytes int
}

// Add stores an answer; the oldest ones make room.
func (k *ResponseCache) Add(id ident.Request, a host.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.kept == nil {
		k.kept = map[ident.Request]host.Answer{}
	}
	k.kept[id] = a
	k.order = append(k.order, id)
	k.bytes += len(a.Body)
	for k.bytes > maxKept {
		k.bytes -= len(k.kept[k.order[0]].Body)
		delete(k.kept, k.order[0])
		k.order = k.order[1:]
	}
}

// Get returns a kept answer, or nil.
func (k *ResponseCache) Get(id ident.Request) *host.Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a, ok := k.kept[id]; ok {
		return &a
	}
	return nil
}
