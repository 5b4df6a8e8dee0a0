// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/storage"
)

// reportOf returns a report of one stream.
func reportOf(stream int) origins.Report {
	return origins.Report{}.With(origins.Origin{Service: "drafter", Version: "v1"}, hash.Key(stream))
}

// reopenOrigins closes a log, if there is one, and opens it again with its store as of now.
func reopenOrigins(t *testing.T, l *storage.OriginLog, dir string, now time.Time) (*storage.OriginLog, origins.Store) {
	if l != nil {
		require.NoError(t, l.Close())
	}
	l, reports, err := storage.OpenOrigins(dir, nil)
	require.NoError(t, err)
	var s origins.Store
	for _, r := range reports {
		s = s.WithReport(r.Report, r.At)
	}
	return l, s.WithReport(nil, now)
}

// TestOriginsOutliveTheProcess guards against origins that are lost within their retention, over restarts at any
// time and with a torn end, and against files that grow without a bound.
func TestOriginsOutliveTheProcess(t *testing.T) {
	const step, streams, restartEvery, maxFrame = 3 * time.Second, 200, 7, 64
	dir, now := t.TempDir(), time.UnixMilli(1_790_000_000_000)
	l, _ := reopenOrigins(t, nil, dir, now)
	for i := range streams {
		now = now.Add(step)
		require.NoError(t, l.Write([]origins.Report{reportOf(i)}, now))
		if i%restartEvery != 0 {
			continue
		}
		var s origins.Store
		l, s = reopenOrigins(t, l, dir, now)
		for back := range min(i, int(origins.Retention/step)) {
			o, known := s.Of(hash.Key(i - back))
			require.True(t, known, "stream %d after %d", i-back, i)
			require.Equal(t, ident.Version("v1"), o.Version)
		}
	}
	for _, name := range []string{"origins-a.log", "origins-b.log"} {
		info, err := os.Stat(filepath.Join(dir, name))
		require.NoError(t, err)
		require.LessOrEqual(t, info.Size(), int64(origins.Retention/step+1)*maxFrame)
	}
}

// TestTornOriginsAreCutOff guards against a torn end that hides the origins written after the next start.
func TestTornOriginsAreCutOff(t *testing.T) {
	dir, now := t.TempDir(), time.UnixMilli(1_790_000_000_000)
	l, _ := reopenOrigins(t, nil, dir, now)
	require.NoError(t, l.Write([]origins.Report{reportOf(1), reportOf(2)}, now))
	file := filepath.Join(dir, "origins-a.log")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	for _, torn := range [][]byte{text[:len(text)-3], append(text, make([]byte, 64)...)} {
		require.NoError(t, os.WriteFile(file, torn, 0o600))
		l, _ = reopenOrigins(t, l, dir, now)
		require.NoError(t, l.Write([]origins.Report{reportOf(3)}, now))
		var s origins.Store
		l, s = reopenOrigins(t, l, dir, now)
		for _, stream := range []int{1, 3} {
			_, known := s.Of(hash.Key(stream))
			require.True(t, known, stream)
		}
	}
}

// unsyncableFile takes bytes and cannot sync them.
type unsyncableFile struct{ storage.File }

func (unsyncableFile) Sync() error { return errors.New("input/output error") }

// TestOriginsOnABadDisk guards against a report that counts as written although the disk refused it.
func TestOriginsOnABadDisk(t *testing.T) {
	l, _, err := storage.OpenOrigins(t.TempDir(), func(f storage.File) storage.File { return unsyncableFile{f} })
	require.NoError(t, err)
	require.Error(t, l.Write([]origins.Report{reportOf(1)}, time.Now()))
	require.NoError(t, l.Close())
}
