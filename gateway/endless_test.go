// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/standin"
)

const (
	// maxEndlessTime is far below the deadline of the test's routes, 2 s.
	maxEndlessTime = time.Second
	// socketBytes bounds what the buffers of a connection hold beside the bytes that the host reads.
	socketBytes = 12 << 20
	maxHeadSize = 1 << 20
	maxBodySize = 16 << 20
)

// endlessFaults are faults without end, with a bound on the bytes that a host may read of each.
var endlessFaults = map[string]struct {
	fault standin.WorkerFault
	bytes int64
}{
	"status line": {standin.EndlessStatus, maxHeadSize}, "header": {standin.EndlessHeader, maxHeadSize},
	"headers": {standin.EndlessHeaders, maxHeadSize}, "interim responses": {standin.EndlessInterim, maxHeadSize},
	"head of a decline": {standin.EndlessDeclineHead, maxHeadSize}, "body of another answer": {standin.EndlessForeignBody, maxBodySize},
	"short headers": {standin.EndlessShortHeaders, maxHeadSize},
	"body":          {standin.EndlessBody, maxBodySize}, "event": {standin.EndlessEvent, maxBodySize}, "chunk head": {standin.EndlessChunkHead, maxHeadSize},
}

// TestBytesWithoutEndAreNotReadOn guards against reading a head or a body without end until the deadline passes or
// memory runs out.
func TestBytesWithoutEndAreNotReadOn(t *testing.T) {
	for name, c := range endlessFaults {
		for _, path := range []string{"/unsafe/x", "/stream/once/x"} {
			for way, tunneled := range map[string]bool{"direct": false, "through a tunnel": true} {
				t.Run(name+path+" "+way, func(t *testing.T) {
					b := newTestbed(t, 1)
					if tunneled {
						b.sendingVia("current")
					}
					b.next(c.fault)
					start := time.Now()
					status, _, _, err := b.call(path, "body")
					require.NoError(t, err)
					require.Equal(t, http.StatusBadGateway, status)
					require.Less(t, time.Since(start), maxEndlessTime)
					require.Eventually(t, func() bool {
						before := b.workers[0].EndlessBytes()
						time.Sleep(20 * time.Millisecond)
						return b.workers[0].EndlessBytes() == before
					}, time.Second, time.Millisecond, "the connection is closed")
					require.Less(t, b.workers[0].EndlessBytes(), c.bytes+2*socketBytes)
				})
			}
		}
	}
}

// TestSlowBodyOfADeclineHoldsNoRequest guards against waiting for the end of a body that cannot change what its head has
// said.
func TestSlowBodyOfADeclineHoldsNoRequest(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/once/x", "/stream/again/x"} {
		b := newTestbed(t, 2)
		slow, other := b.workers[0], b.workers[1]
		for slow.Asked() == 0 {
			slow.Next(standin.DrippingDeclineBody)
			start := time.Now()
			status, text, _, err := b.call(path, "body")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, text)
			require.Less(t, time.Since(start), maxEndlessTime/2)
			if slow.Asked() == 0 {
				slow.Reset()
			}
		}
		require.Equal(t, other.Asked(), len(other.Runs()))
		require.Empty(t, slow.Runs())
	}
}

// TestSlowHeadHoldsNoRepeatableRequest guards against waiting until the deadline for a head that has begun, while another
// worker can answer.
func TestSlowHeadHoldsNoRepeatableRequest(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/again/x"} {
		b := newTestbed(t, 2)
		slow := b.workers[0]
		for slow.Asked() == 0 {
			slow.Next(standin.DrippingHead)
			start := time.Now()
			status, text, _, err := b.call(path, "body")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, text)
			require.Less(t, time.Since(start), maxEndlessTime, "the deadline is 2 s")
			if slow.Asked() == 0 {
				slow.Reset()
			}
		}
	}
}

// TestMemoryUnderManyEndlessResponses guards against a host that runs out of memory as many workers send without end.
func TestMemoryUnderManyEndlessResponses(t *testing.T) {
	const (
		workers = 100
		maxHeap = 200 << 20
	)
	for name, c := range endlessFaults {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workers)
			path := "/unsafe/x"
			if c.fault == standin.EndlessEvent {
				path = "/stream/once/x"
			}
			for range 3 {
				b.next(c.fault)
			}
			runtime.GC()
			heap, stop := watchHeap()
			var calls sync.WaitGroup
			for range workers {
				r := b.request(t.Context(), path, "body")
				calls.Go(func() {
					if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
						_ = resp.Body.Close()
					}
				})
			}
			calls.Wait()
			stop()
			t.Logf("%s: heap of %d MB at most", name, heap.Load()>>20)
			require.Less(t, heap.Load(), uint64(maxHeap))
		})
	}
}

// TestMemoryUnderManyHeaders guards against a host that runs out of memory as heads that are within the limit, of very many short
// headers, are held while their streams go on.
func TestMemoryUnderManyHeaders(t *testing.T) {
	const (
		streams = 100
		maxHeap = 100 << 20
	)
	b := newTestbed(t, streams)
	for range 3 {
		b.next(standin.ManyShortHeaders)
	}
	runtime.GC()
	heap, stop := watchHeap()
	var calls sync.WaitGroup
	for range streams {
		r := b.request(t.Context(), "/stream/once/x", "body")
		calls.Go(func() {
			if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	calls.Wait()
	stop()
	t.Logf("heap of %d MB at most", heap.Load()>>20)
	require.Less(t, heap.Load(), uint64(maxHeap))
}

// watchHeap measures the largest heap until stop is called.
func watchHeap() (largest *atomic.Uint64, stop func()) {
	largest = &atomic.Uint64{}
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			largest.Store(max(largest.Load(), m.HeapAlloc))
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	return largest, func() {
		close(done)
		watching.Wait()
	}
}
