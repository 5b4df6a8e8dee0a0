// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/storage"
)

// TestDeparturesLastBesideTheLog guards against departures that are lost, torn or mixed up with those written
// before, on a disk that is full and in a folder that a log is opened in.
func TestDeparturesLastBesideTheLog(t *testing.T) {
	dir := t.TempDir()
	read, err := storage.ReadDepartures(dir)
	require.NoError(t, err)
	require.Empty(t, read)

	at := time.UnixMilli(1_790_000_000_123)
	gone := departures.Entry{Worker: registry.Worker{ID: "w1", Born: 7, State: registry.Gone}, Since: at}
	draining := departures.Entry{Worker: registry.Worker{ID: "w2", Address: "10.0.0.1:80", Slots: 4, Seq: 9, State: registry.Draining}, Since: at}
	for _, entries := range [][]departures.Entry{{gone}, {gone, draining}} {
		require.NoError(t, storage.WriteDepartures(dir, entries, nil))
		read, err = storage.ReadDepartures(dir)
		require.NoError(t, err)
		require.Equal(t, entries, read)
	}
	full := func(f storage.File) storage.File { return refusingFile{f} }
	require.Error(t, storage.WriteDepartures(dir, nil, full))
	read, err = storage.ReadDepartures(dir)
	require.NoError(t, err)
	require.Len(t, read, 2, "what was written before stays")

	_, _, err = storage.Open(dir, options)
	require.NoError(t, err, "the log does not read it")
	file := filepath.Join(dir, "departures.cbor")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, text[:len(text)-1], 0o600))
	_, err = storage.ReadDepartures(dir)
	require.ErrorIs(t, err, storage.ErrDamaged)
}
