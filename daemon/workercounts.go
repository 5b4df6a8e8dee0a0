// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"maps"
	"sync"

	"github.com/yardhall/yardhall/core/ident"
)

const (
	// maxCountedWorkers bounds the workers that are counted one by one; uncountedWorkers stands for all further ones.
	maxCountedWorkers              = 256
	uncountedWorkers  ident.Target = "others"
)

// workerCounts counts something by worker. The zero value has counted nothing.
type workerCounts struct {
	mu     sync.Mutex
	counts map[ident.Target]int64
}

func (w *workerCounts) add(worker ident.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts == nil {
		w.counts = map[ident.Target]int64{}
	}
	if _, known := w.counts[worker]; !known && len(w.counts) >= maxCountedWorkers {
		worker = uncountedWorkers
	}
	w.counts[worker]++
}

// snapshot returns the counts as a value for expvar.
func (w *workerCounts) snapshot() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.counts)
}
