// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/storage"
)

// crashKeeper writes a replica's list of crashes. Nothing waits for it.
type crashKeeper struct{ listWriter[[]crashes.Entry] }

func newCrashKeeper(log logr.Logger, write func([]crashes.Entry) error) *crashKeeper {
	return &crashKeeper{newListWriter(log, "list of crashes", write)}
}

// keep takes entries as of now, a time of day.
func (k *crashKeeper) keep(entries []host.CrashEntry, now time.Time) {
	next := make([]crashes.Entry, 0, len(entries))
	for _, e := range entries {
		next = append(next, crashes.Entry{Content: e.Content, Crashes: e.Ends, At: now.Add(-e.Age), Stamp: e.Stamp})
	}
	k.put(next)
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
		out = append(out, host.CrashEntry{Content: e.Content, Ends: e.Crashes, Age: max(0, now.Sub(e.At)), Stamp: e.Stamp})
	}
	return out
}
