// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/storage"
)

// crashKeeper writes a replica's list of crashes, the newest one only. Nothing waits for it,
// and a disk that refuses it holds up nothing else.
type crashKeeper struct {
	log     logr.Logger
	write   func([]crashes.Entry) error
	mu      sync.Mutex
	waiting []crashes.Entry
	wake    chan struct{}
}

func newCrashKeeper(log logr.Logger, write func([]crashes.Entry) error) *crashKeeper {
	return &crashKeeper{log: log, write: write, wake: make(chan struct{}, 1)}
}

// keep takes entries as of now, a time of day.
func (k *crashKeeper) keep(entries []host.CrashEntry, now time.Time) {
	next := make([]crashes.Entry, 0, len(entries))
	for _, e := range entries {
		next = append(next, crashes.Entry{Content: e.Content, Crashes: e.Ends, At: now.Add(-e.Age)})
	}
	k.mu.Lock()
	k.waiting = next
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *crashKeeper) newest() []crashes.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.waiting
}

// run writes until ctx ends.
func (k *crashKeeper) run(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		for {
			err := k.write(k.newest())
			if err != nil != failing {
				failing = err != nil
				k.log.Info("list of crashes", "written", err == nil, "error", err)
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

// keptCrashes reads the list of crashes of a replica's data folder. Where it cannot be read
// the replica learns it from other hosts.
func keptCrashes(dir string, log logr.Logger, now time.Time) []host.CrashEntry {
	entries, err := storage.ReadCrashes(dir)
	if err != nil {
		log.Error(err, "the list of crashes cannot be read; it is learned from other hosts")
	}
	out := make([]host.CrashEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, host.CrashEntry{Content: e.Content, Ends: e.Crashes, Age: max(0, now.Sub(e.At))})
	}
	return out
}
