// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/storage"
)

// flakyWriter fails at first, and keeps what is written then.
type flakyWriter struct {
	mu      sync.Mutex
	fails   int
	written [][]crashes.Entry
}

func (w *flakyWriter) write(entries []crashes.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fails > 0 {
		w.fails--
		return errors.New("no space left")
	}
	w.written = append(w.written, entries)
	return nil
}

func (w *flakyWriter) last() []crashes.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.written) == 0 {
		return nil
	}
	return w.written[len(w.written)-1]
}

// TestNewestCrashesAreWritten gives several lists in a row to a keeper whose disk fails once:
// the newest one is written in the end.
func TestNewestCrashesAreWritten(t *testing.T) {
	w := &flakyWriter{fails: 1}
	k := newCrashKeeper(logr.Discard(), w.write)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		k.run(ctx)
		close(ended)
	}()
	now := time.UnixMilli(1_790_000_000_000)
	for ends := range 4 {
		k.keep([]host.CrashEntry{{Content: "c", Ends: ends, Age: time.Second}}, now)
	}
	want := []crashes.Entry{{Content: "c", Crashes: 3, At: now.Add(-time.Second)}}
	require.Eventually(t, func() bool { return len(w.last()) == 1 && assert.ObjectsAreEqual(want[0], w.last()[0]) }, time.Minute, time.Millisecond)
	stop()
	<-ended
}

// TestCrashesAreReadAtTheStart reads what a replica kept, aged by the time between, and
// starts without it where it is damaged.
func TestCrashesAreReadAtTheStart(t *testing.T) {
	dir, at := t.TempDir(), time.UnixMilli(1_790_000_000_000)
	entry := crashes.Entry{Content: crashes.ContentOf("halls", []byte("bad")), Crashes: 3, At: at}
	require.Empty(t, keptCrashes(dir, logr.Discard(), at))
	require.NoError(t, storage.KeepCrashes(dir, []crashes.Entry{entry}, nil))
	want := []host.CrashEntry{{Content: entry.Content, Ends: 3, Age: time.Minute}}
	require.Equal(t, want, keptCrashes(dir, logr.Discard(), at.Add(time.Minute)))
	want[0].Age = 0
	require.Equal(t, want, keptCrashes(dir, logr.Discard(), at.Add(-time.Minute)), "the time of day was set back")
	require.NoError(t, os.WriteFile(filepath.Join(dir, "crashes.cbor"), []byte("torn"), 0o600))
	require.Empty(t, keptCrashes(dir, logr.Discard(), at))
}
