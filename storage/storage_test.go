// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/storage"
)

var options = storage.Options{Fleet: "f", Members: []raft.Member{{ID: "a", Voter: true}}}

func entries(from, to, term int) []raft.Entry {
	var out []raft.Entry
	for i := from; i <= to; i++ {
		out = append(out, raft.Entry{Index: raft.Index(i), Term: raft.Term(term), Data: []byte{byte(i)}})
	}
	return out
}

func persist(term int, e []raft.Entry) raft.Persist {
	return raft.Persist{Hard: raft.HardState{Term: raft.Term(term), Vote: "a"}, Entries: e}
}

func open(t *testing.T, dir string) (*storage.Log, raft.Boot) {
	t.Helper()
	l, boot, err := storage.Open(dir, options)
	require.NoError(t, err)
	return l, boot
}

func newest(t *testing.T, dir, kind string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*."+kind))
	require.NoError(t, err)
	require.Len(t, names, 1)
	return names[0]
}

func TestLogComesBackAsWritten(t *testing.T) {
	dir := t.TempDir()
	l, boot := open(t, dir)
	require.Equal(t, options.Members, boot.Snapshot.Members)
	require.NoError(t, l.Write([]raft.Persist{persist(1, entries(1, 3, 1)), persist(1, entries(4, 5, 1))}))
	require.NoError(t, l.Write([]raft.Persist{persist(2, entries(4, 4, 2))}))
	require.NoError(t, l.Close())
	l, boot = open(t, dir)
	require.Equal(t, append(entries(1, 3, 1), entries(4, 4, 2)...), boot.Entries, "a new term replaces the tail")
	require.Equal(t, raft.Term(2), boot.Hard.Term)

	snap := &raft.Snapshot{Index: 3, Term: 1, Members: options.Members, Data: []byte("state")}
	require.NoError(t, l.Write([]raft.Persist{{Hard: raft.HardState{Term: 2}, Snapshot: snap}, persist(2, entries(5, 6, 2))}))
	require.NoError(t, l.Write([]raft.Persist{persist(2, entries(7, 7, 2))}))
	require.NoError(t, l.Close())
	_, boot = open(t, dir)
	require.Equal(t, *snap, boot.Snapshot)
	require.Equal(t, entries(4, 7, 2), boot.Entries)
}

func TestTornTailIsCutAndDamageElsewhereRefused(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir)
	require.NoError(t, l.Write([]raft.Persist{persist(1, entries(1, 2, 1))}))
	require.NoError(t, l.Write([]raft.Persist{persist(1, entries(3, 4, 1))}))
	require.NoError(t, l.Close())
	name := newest(t, dir, "log")
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for cut := 1; cut < 40; cut++ {
		require.NoError(t, os.WriteFile(name, whole[:len(whole)-cut], 0o600))
		l, boot := open(t, dir)
		require.Equal(t, entries(1, 2, 1), boot.Entries)
		require.Positive(t, l.Cut)
		require.NoError(t, l.Write([]raft.Persist{persist(1, entries(3, 3, 1))}))
		require.NoError(t, l.Close())
		_, boot = open(t, dir)
		require.Equal(t, entries(1, 3, 1), boot.Entries)
	}
	damaged := append([]byte(nil), whole...)
	damaged[len(whole)/2] ^= 0xff
	require.NoError(t, os.WriteFile(name, damaged, 0o600))
	_, _, err = storage.Open(dir, options)
	require.ErrorIs(t, err, storage.ErrDamaged)
	require.NoError(t, os.WriteFile(name, whole, 0o600))
	other := options
	other.Fleet = "another"
	_, _, err = storage.Open(dir, other)
	require.ErrorContains(t, err, "belongs to fleet")
}

// fullDisk fails writes, or syncs, while it is full, after a part has reached
// the file.
type fullDisk struct {
	storage.File
	full *bool
	sync bool
}

func (f fullDisk) WriteAt(p []byte, at int64) (int, error) {
	if *f.full && !f.sync {
		n, _ := f.File.WriteAt(p[:len(p)/2], at)
		return n, syscall.ENOSPC
	}
	return f.File.WriteAt(p, at)
}

func (f fullDisk) Sync() error {
	if *f.full && f.sync {
		return syscall.EIO
	}
	return f.File.Sync()
}

// TestZeroBytesAtTheEndAreTorn guards against a replica that takes its disk for damaged because a loss of power left
// zero bytes after the last frame of its log.
func TestZeroBytesAtTheEndAreTorn(t *testing.T) {
	for _, zeros := range []int{1, 8, 9, 4096} {
		dir := t.TempDir()
		l, _ := open(t, dir)
		require.NoError(t, l.Write([]raft.Persist{persist(1, entries(1, 2, 1))}))
		require.NoError(t, l.Close())
		name := newest(t, dir, "log")
		whole, err := os.ReadFile(name)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(name, append(whole, make([]byte, zeros)...), 0o600))
		l, boot := open(t, dir)
		require.Equal(t, entries(1, 2, 1), boot.Entries)
		require.Equal(t, int64(zeros), l.Cut)
		require.NoError(t, l.Write([]raft.Persist{persist(1, entries(3, 3, 1))}))
		require.NoError(t, l.Close())
		_, boot = open(t, dir)
		require.Equal(t, entries(1, 3, 1), boot.Entries)
	}
}

func TestFullDiskAcknowledgesNothingAndRecovers(t *testing.T) {
	for _, sync := range []bool{false, true} {
		dir, full := t.TempDir(), false
		o := options
		o.Wrap = func(f storage.File) storage.File { return fullDisk{File: f, full: &full, sync: sync} }
		l, _, err := storage.Open(dir, o)
		require.NoError(t, err)
		require.NoError(t, l.Write([]raft.Persist{persist(1, entries(1, 2, 1))}))
		full = true
		batch := []raft.Persist{persist(1, entries(3, 4, 1))}
		require.Error(t, l.Write(batch))
		full = false
		// What a crash at this point would find.
		copied := t.TempDir()
		require.NoError(t, os.CopyFS(copied, os.DirFS(dir)))
		require.NoError(t, l.Write(batch))
		require.NoError(t, l.Close())
		_, boot := open(t, dir)
		require.Equal(t, entries(1, 4, 1), boot.Entries)
		_, boot = open(t, copied)
		require.Equal(t, entries(1, 2, 1), boot.Entries[:2])
	}
}

func TestRestoredFolderBelongsToTheNewFleet(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	require.NoError(t, storage.Restore(dir, "f", []byte("state"), options.Members))
	_, boot := open(t, dir)
	require.Equal(t, []byte("state"), boot.Snapshot.Data)
}

func BenchmarkGroupCommit(b *testing.B) {
	for _, group := range []int{1, 16, 128} {
		b.Run(map[int]string{1: "none", 16: "group-16", 128: "group-128"}[group], func(b *testing.B) {
			l, _, err := storage.Open(b.TempDir(), options)
			require.NoError(b, err)
			next, writes := 1, 0
			for b.Loop() {
				batch := make([]raft.Persist, group)
				for i := range batch {
					batch[i] = persist(1, []raft.Entry{{Index: raft.Index(next), Term: 1, Data: make([]byte, 150)}})
					next++
				}
				require.NoError(b, l.Write(batch))
				writes += group
			}
			b.ReportMetric(float64(writes)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}
