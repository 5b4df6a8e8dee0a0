// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// listWriter writes the newest of the values that it is given to disk, one at a time. A disk that refuses it
// holds up nothing else.
type listWriter[T any] struct {
	log   logr.Logger
	name  string
	write func(T) error
	// mu guards newest.
	mu     sync.Mutex
	newest T
	wake   chan struct{}
}

func newListWriter[T any](log logr.Logger, name string, write func(T) error) listWriter[T] {
	return listWriter[T]{log: log, name: name, write: write, wake: make(chan struct{}, 1)}
}

// put takes a value to write in place of those before it.
func (w *listWriter[T]) put(value T) {
	w.mu.Lock()
	w.newest = value
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *listWriter[T]) take() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest
}

// run writes until ctx ends, and repeats what failed.
func (w *listWriter[T]) run(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for {
			err := w.write(w.take())
			if err != nil != failing {
				failing = err != nil
				w.log.Info(w.name, "written", err == nil, "error", err)
			}
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(diskRetry):
			}
		}
	}
}
