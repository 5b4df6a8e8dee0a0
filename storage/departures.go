// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage

import (
	"time"

	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/registry"
)

// departuresFile holds the workers that have begun to leave. It stands beside the replicated log, as reports
// of workers are acknowledged without a leader, and earlier programs pass over it.
const departuresFile = "departures.cbor"

// departureList is the content of the file; its fields travel by their names.
type departureList struct {
	Format     int
	Departures []persistedDeparture
}

// persistedDeparture is an entry of the list.
type persistedDeparture struct {
	Worker registry.Worker
	// At is by the time of day, in Unix milliseconds.
	At int64
}

// WriteDepartures replaces the departures on disk. It returns once they are synced. Times are by the time of
// day.
func WriteDepartures(dir string, entries []departures.Entry, wrap func(File) File) error {
	content := departureList{Format: formatVersion}
	for _, e := range entries {
		content.Departures = append(content.Departures, persistedDeparture{Worker: e.Worker, At: e.Since.UnixMilli()})
	}
	return writeList(dir, departuresFile, content, wrap)
}

// ReadDepartures reads what WriteDepartures wrote; none where nothing was written.
func ReadDepartures(dir string) ([]departures.Entry, error) {
	var content departureList
	if err := readList(dir, departuresFile, &content); err != nil {
		return nil, err
	}
	out := make([]departures.Entry, 0, len(content.Departures))
	for _, d := range content.Departures {
		out = append(out, departures.Entry{Worker: d.Worker, Since: time.UnixMilli(d.At)})
	}
	return out, nil
}
