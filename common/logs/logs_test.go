// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/common/logs"
)

// stuckReader is a pipe that nobody reads until it is released.
type stuckReader struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuckReader) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stuckReader) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

func TestFullPipeDropsAndNeverBlocks(t *testing.T) {
	out := &stuckReader{release: make(chan struct{})}
	w := logs.NewWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 2000 {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-written:
	case <-time.After(30 * time.Second):
		t.Fatal("a logger waits for its reader")
	}
	require.Positive(t, w.Dropped.Load())
	close(out.release)
	require.Eventually(t, func() bool { return strings.Contains(out.text(), "log lines dropped") }, 30*time.Second, time.Millisecond)
	w.Close()
}

func TestLinesArriveWhole(t *testing.T) {
	out := &stuckReader{release: make(chan struct{})}
	close(out.release)
	w := logs.NewWriter(out)
	for range 100 {
		_, _ = w.Write([]byte("one\n"))
	}
	w.Close()
	require.Equal(t, strings.Repeat("one\n", 100), out.text())
}

func TestBudgetTellsWhatItSkipped(t *testing.T) {
	b := logs.Budget{PerSecond: 2}
	now := time.Unix(100, 0)
	var allowed int
	for range 5 {
		if ok, _ := b.Allow(now); ok {
			allowed++
		}
	}
	require.Equal(t, 2, allowed)
	ok, skipped := b.Allow(now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 3, skipped)
}
