// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage_test

import (
	"os"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/storage"
)

// TestSnapshotAndEntriesInOneWrite guards against entries that follow an installed snapshot, are reported as
// synced and are not on disk.
func TestSnapshotAndEntriesInOneWrite(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir)
	require.NoError(t, l.Write([]raft.Persist{persist(1, entries(1, 50, 1))}))
	snap := &raft.Snapshot{Index: 100, Term: 1, Members: options.Members}
	require.NoError(t, l.Write([]raft.Persist{{Hard: raft.HardState{Term: 1}, Snapshot: snap}, persist(1, entries(101, 103, 1))}))
	require.NoError(t, l.Write([]raft.Persist{persist(1, entries(104, 104, 1))}))
	require.NoError(t, l.Close())
	_, boot := open(t, dir)
	require.Equal(t, *snap, boot.Snapshot)
	require.Equal(t, entries(101, 104, 1), boot.Entries)
}

// replicaModel is what a replica has given to its disk: a snapshot and the entries after it.
type replicaModel struct {
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
}

// last returns the index of the last entry, or of the snapshot.
func (m replicaModel) last() raft.Index { return m.snapshot.Index + raft.Index(len(m.entries)) }

// drawPersist draws the next thing that a replica may give to its disk, and the model after it.
func (m replicaModel) drawPersist(t *rapid.T) (raft.Persist, replicaModel) {
	m.entries = slices.Clone(m.entries)
	m.hard.Term = max(m.hard.Term, 1) + raft.Term(rapid.IntRange(0, 1).Draw(t, "terms"))
	p := raft.Persist{Hard: m.hard}
	switch rapid.SampledFrom([]string{"append", "append", "replace", "compact", "install"}).Draw(t, "kind") {
	case "append":
		p.Entries = m.drawEntries(t, m.last()+1)
	case "replace":
		from := m.snapshot.Index + 1 + raft.Index(rapid.IntRange(0, len(m.entries)).Draw(t, "from"))
		p.Entries = m.drawEntries(t, from)
		m.entries = m.entries[:from-m.snapshot.Index-1]
	case "compact":
		kept := rapid.IntRange(0, len(m.entries)).Draw(t, "kept")
		upTo := len(m.entries) - kept
		if upTo > 0 {
			last := m.entries[upTo-1]
			m.snapshot = raft.Snapshot{Index: last.Index, Term: last.Term, Members: options.Members, Data: []byte("compacted")}
			m.entries = m.entries[upTo:]
			p.Snapshot = &m.snapshot
		}
	case "install":
		ahead := raft.Index(rapid.IntRange(1, 60).Draw(t, "ahead"))
		m.snapshot = raft.Snapshot{Index: m.last() + ahead, Term: m.hard.Term, Members: options.Members, Data: []byte("installed")}
		m.entries = nil
		p.Snapshot = &m.snapshot
	}
	m.entries = append(m.entries, p.Entries...)
	return p, m
}

// drawEntries draws entries from an index on.
func (m replicaModel) drawEntries(t *rapid.T, from raft.Index) []raft.Entry {
	n := rapid.IntRange(1, 4).Draw(t, "entries")
	return entries(int(from), int(from)+n-1, int(m.hard.Term))
}

// errCrashed is what a crashed disk answers.
var errCrashed = errors.New("crashed")

// crashingDisk fails at the n-th write or sync and at all after it; a write that fails is torn.
type crashingDisk struct{ left int }

func (d *crashingDisk) fails() bool {
	d.left--
	return d.left < 0
}

type crashingFile struct {
	storage.File
	disk *crashingDisk
}

func (f crashingFile) Write(b []byte) (int, error) {
	if f.disk.fails() {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, errCrashed
	}
	return f.File.Write(b)
}

func (f crashingFile) WriteAt(b []byte, at int64) (int, error) {
	if f.disk.fails() {
		n, _ := f.File.WriteAt(b[:len(b)/2], at)
		return n, errCrashed
	}
	return f.File.WriteAt(b, at)
}

func (f crashingFile) Sync() error {
	if f.disk.fails() {
		return errCrashed
	}
	return f.File.Sync()
}

func (f crashingFile) Truncate(size int64) error {
	if f.disk.left < 0 {
		return errCrashed
	}
	return f.File.Truncate(size)
}

// TestDiskReopensToWhatWasAcknowledged guards against batches, in any legal order and with a crash at any write or
// sync, that a start does not find whole or does not find at all.
func TestDiskReopensToWhatWasAcknowledged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "disk")
		require.NoError(rt, err)
		disk := &crashingDisk{left: rapid.IntRange(8, 60).Draw(rt, "operations")}
		o := options
		o.Wrap = func(f storage.File) storage.File { return crashingFile{f, disk} }
		l, _, err := storage.Open(dir, o)
		require.NoError(rt, err)
		var acknowledged, written replicaModel
		acknowledged.snapshot.Members = options.Members
		for err == nil {
			written = acknowledged
			batch := make([]raft.Persist, rapid.IntRange(1, 4).Draw(rt, "batch"))
			for i := range batch {
				batch[i], written = written.drawPersist(rt)
			}
			if err = l.Write(batch); err == nil {
				acknowledged = written
			}
		}
		require.ErrorIs(rt, err, errCrashed)
		_ = l.Close()
		l, boot, err := storage.Open(dir, options)
		require.NoError(rt, err)
		require.NoError(rt, l.Close())
		found := replicaModel{hard: boot.Hard, snapshot: boot.Snapshot, entries: boot.Entries}
		if !sameState(found, acknowledged) && !sameState(found, written) {
			rt.Fatalf("found %v, acknowledged %v, written %v", found, acknowledged, written)
		}
	})
}

// sameState reports whether two models agree in all that a replica reads at its start.
func sameState(a, b replicaModel) bool {
	return a.hard == b.hard && a.snapshot.Index == b.snapshot.Index && string(a.snapshot.Data) == string(b.snapshot.Data) &&
		slices.EqualFunc(a.entries, b.entries, func(x, y raft.Entry) bool { return x.Index == y.Index && x.Term == y.Term })
}
