// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package logs writes log lines without ever holding up who logs: lines wait in
// bounded memory for one goroutine that writes them. What does not fit is
// dropped, counted and said.
//
// # Usage
//
//	w := logs.NewWriter(os.Stdout)
//	defer w.Close()
//	if budget.Allow(now) { ... }
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxWaiting bounds the bytes that wait to be written.
	maxWaiting = 256 << 10
	// gather is how long lines are gathered before they are written together.
	gather = 100 * time.Millisecond
	// closeWait is how long Close waits for a reader that is stuck.
	closeWait = 200 * time.Millisecond
)

// Writer is an io.Writer for whole lines that never blocks.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	dropped int64
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	// Dropped counts the lines that did not fit.
	Dropped atomic.Int64
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes the whole line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > maxWaiting {
		w.dropped++
		w.mu.Unlock()
		w.Dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written soon in any case.
func (w *Writer) Sync() error { return nil }

// Close writes what waits, for a moment at most.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.wake:
		}
		select {
		case <-w.stop:
		case <-time.After(gather):
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.waiting, w.dropped
	w.waiting, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, fmt.Sprintf("{\"level\":\"error\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)...)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
}

// Budget allows a number of lines a second. The zero value allows none.
type Budget struct {
	PerSecond int

	mu      sync.Mutex
	second  time.Time
	used    int
	skipped int
}

// Allow tells whether one more line fits at now. skipped is the number of lines
// that did not fit in the second before, told once.
func (b *Budget) Allow(now time.Time) (ok bool, skipped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.second) >= time.Second || now.Before(b.second) {
		skipped = b.skipped
		b.second, b.used, b.skipped = now, 0, 0
	}
	if b.used >= b.PerSecond {
		b.skipped++
		return false, skipped
	}
	b.used++
	return true, skipped
}
