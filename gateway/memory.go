// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// DefaultMaxBuffered bounds the bytes of all responses that are buffered at a time.
	DefaultMaxBuffered = 32 << 20
	// unreservedBytes of each response do not count, so that ordinary ones are served while large ones fill
	// the memory.
	unreservedBytes = 64 << 10
)

// errMemory is the error of a response that does not fit beside the others.
var errMemory = errors.New("too many bytes of responses are buffered")

// memory bounds what the responses of a host occupy together.
type memory struct {
	limit int64
	used  atomic.Int64
}

// reservation is the part of a memory that one response occupies. A nil reservation has no bound.
type reservation struct {
	memory *memory
	bytes  int64
}

// grow makes the reservation large enough for a buffer of the given size in bytes.
func (r *reservation) grow(size int) error {
	if r == nil {
		return nil
	}
	more := int64(size) - unreservedBytes - r.bytes
	if more <= 0 {
		return nil
	}
	if r.memory.used.Add(more) > r.memory.limit {
		r.memory.used.Add(-more)
		return errMemory
	}
	r.bytes += more
	return nil
}

// release gives the memory back.
func (r *reservation) release() {
	if r == nil {
		return
	}
	r.memory.used.Add(-r.bytes)
	r.bytes = 0
}
