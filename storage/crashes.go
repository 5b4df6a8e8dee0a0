// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage

import (
	"time"

	"github.com/yardhall/yardhall/core/crashes"
)

// crashesFile stands beside the replicated log, which it is no part of: each replica keeps
// its own, one that is lost or damaged is learned again from other hosts, and a program from
// before it passes over it.
const crashesFile = "crashes.cbor"

// keptCrashes is the content of the file; its fields travel by their names.
type keptCrashes struct {
	Format  int
	Crashes []keptCrash
}

// keptCrash is an entry of a list of crashes.
type keptCrash struct {
	Content []byte
	Ends    int
	// At is by the time of day, in Unix milliseconds: no other clock lasts from process to
	// process.
	At int64
	// Stamp orders the entries of a request; earlier versions neither write nor read it.
	Stamp int64
}

// KeepCrashes writes the entries of a list of crashes, with times of day, in place of those
// written before. It returns once they are synced.
func KeepCrashes(dir string, entries []crashes.Entry, wrap func(File) File) error {
	content := keptCrashes{Format: formatVersion}
	for _, e := range entries {
		content.Crashes = append(content.Crashes, keptCrash{Content: []byte(e.Content), Ends: e.Crashes, At: e.At.UnixMilli(), Stamp: e.Stamp})
	}
	return writeList(dir, crashesFile, content, wrap)
}

// ReadCrashes reads what KeepCrashes wrote; none where nothing was written.
func ReadCrashes(dir string) ([]crashes.Entry, error) {
	var content keptCrashes
	if err := readList(dir, crashesFile, &content); err != nil {
		return nil, err
	}
	out := make([]crashes.Entry, 0, len(content.Crashes))
	for _, c := range content.Crashes {
		out = append(out, crashes.Entry{Content: crashes.Content(c.Content), Crashes: c.Ends, At: time.UnixMilli(c.At), Stamp: c.Stamp})
	}
	return out, nil
}
