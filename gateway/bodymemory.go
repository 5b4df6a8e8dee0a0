// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// bodyMemory grants memory for the bodies of requests. Who gets it is decided in bodypolicy.go.
type bodyMemory struct {
	limits bufferLimits
	mu     sync.Mutex
	// small and large are the bytes held of the part for small bodies and of the rest, byKey those of each caller's key.
	small   int64
	large   int64
	byKey   map[string]int64
	waiting []*bodyHold
	rate    releaseRate
}

// bodyHold is the memory that one body holds or waits for. A nil hold holds nothing.
type bodyHold struct {
	memory *bodyMemory
	claim  bodyClaim
	// granted is closed once the memory is held, isGranted is set and inSmall tells of which part.
	granted   chan struct{}
	isGranted bool
	inSmall   bool
}

// acquire waits for the memory of a claim. It returns nil and a Retry-After if the memory does not come free in time, or if
// ctx ends.
func (m *bodyMemory) acquire(ctx context.Context, claim bodyClaim, wait time.Duration, now func() time.Time) (*bodyHold, time.Duration) {
	h, retryAfter := m.enqueue(claim, wait, now())
	if h == nil {
		return nil, retryAfter
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-h.granted:
		return h, 0
	case <-timer.C:
	case <-ctx.Done():
	}
	return m.withdraw(h, now())
}

// enqueue grants a claim or queues it. It returns nil and a Retry-After if the claim cannot be granted within the wait
// allowed.
func (m *bodyMemory) enqueue(claim bodyClaim, wait time.Duration, now time.Time) (*bodyHold, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := &bodyHold{memory: m, claim: claim, granted: make(chan struct{})}
	m.waiting = append(m.waiting, h)
	m.grant(now)
	if h.isGranted {
		return h, 0
	}
	ahead, rate := m.bytesAhead(h), m.rate.perSecond(now)
	if wait > 0 && !isRefusedAtOnce(ahead, rate, wait) {
		return h, 0
	}
	m.remove(h, now)
	return nil, bodyRetryAfter(ahead, rate)
}

// withdraw ends the wait of h, unless its memory was granted meanwhile.
func (m *bodyMemory) withdraw(h *bodyHold, now time.Time) (*bodyHold, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.isGranted {
		return h, 0
	}
	ahead, rate := m.bytesAhead(h), m.rate.perSecond(now)
	m.remove(h, now)
	return nil, bodyRetryAfter(ahead, rate)
}

// grant grants what fits to the waiting claims in their order. A claim that does not fit keeps all after it out of the part
// for all sizes, so that large ones get their turn.
func (m *bodyMemory) grant(now time.Time) {
	m.sortWaiting()
	full := false
	m.waiting = slices.DeleteFunc(m.waiting, func(h *bodyHold) bool {
		bytes := h.claim.bytes
		switch {
		case h.claim.small && m.small+bytes <= m.limits.small:
			h.inSmall = true
			m.small += bytes
		case !full && m.large+bytes <= m.limits.large():
			m.large += bytes
		default:
			full = true
			return false
		}
		m.addToKey(h.claim.key, bytes)
		h.isGranted = true
		close(h.granted)
		return true
	})
	m.rate = m.rate.withWaiting(len(m.waiting) > 0, now)
}

func (m *bodyMemory) sortWaiting() {
	if len(m.waiting) < 2 {
		return
	}
	slices.SortStableFunc(m.waiting, func(a, b *bodyHold) int {
		return cmp.Or(cmp.Compare(a.claim.rank, b.claim.rank), cmp.Compare(m.byKey[a.claim.key], m.byKey[b.claim.key]))
	})
}

// bytesAhead returns the bytes that must come free before h is granted.
func (m *bodyMemory) bytesAhead(h *bodyHold) int64 {
	ahead := m.large - m.limits.large()
	for _, other := range m.waiting {
		ahead += other.claim.bytes
		if other == h {
			break
		}
	}
	return max(ahead, 0)
}

// remove takes h out of the waiting claims, and grants what it kept out.
func (m *bodyMemory) remove(h *bodyHold, now time.Time) {
	m.waiting = slices.DeleteFunc(m.waiting, func(other *bodyHold) bool { return other == h })
	m.grant(now)
}

func (m *bodyMemory) addToKey(key string, bytes int64) {
	if m.byKey == nil {
		m.byKey = map[string]int64{}
	}
	if m.byKey[key] += bytes; m.byKey[key] == 0 {
		delete(m.byKey, key)
	}
}

// release gives the memory back.
func (h *bodyHold) release(now time.Time) { h.shrink(0, now) }

// shrink gives back what exceeds the given number of bytes.
func (h *bodyHold) shrink(bytes int64, now time.Time) {
	if h == nil {
		return
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	free := h.claim.bytes - bytes
	if free <= 0 {
		return
	}
	h.claim.bytes = bytes
	if h.inSmall {
		m.small -= free
	} else {
		m.large -= free
	}
	m.addToKey(h.claim.key, -free)
	m.rate = m.rate.withReleased(free, now)
	m.grant(now)
}
