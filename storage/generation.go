// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/raft"
)

func (l *Log) create() (*Log, raft.Boot, error) {
	snap := raft.Snapshot{Members: l.options.Members}
	if err := l.startGeneration(snap, nil); err != nil {
		return nil, raft.Boot{}, err
	}
	return l, raft.Boot{Snapshot: snap}, nil
}

func (l *Log) path(generation uint64, kind string) string {
	return filepath.Join(l.dir, fmt.Sprintf("state-%016d.%s", generation, kind))
}

// newestGeneration finds the newest complete snapshot.
func (l *Log) newestGeneration() (uint64, bool, error) {
	names, err := filepath.Glob(filepath.Join(l.dir, "state-*.snap"))
	if err != nil {
		return 0, false, errors.Wrap(err, "list data folder")
	}
	if len(names) == 0 {
		return 0, false, nil
	}
	slices.Sort(names)
	var generation uint64
	base := strings.TrimSuffix(filepath.Base(names[len(names)-1]), ".snap")
	if _, err := fmt.Sscanf(base, "state-%d", &generation); err != nil {
		return 0, false, errors.Wrapf(err, "file name %q", base)
	}
	return generation, true, nil
}

// writeSnapshot begins a new generation with the last snapshot of persists and the entries that follow it.
func (l *Log) writeSnapshot(persists []raft.Persist) error {
	before := *l
	l.entries = slices.Clone(l.entries)
	var snap raft.Snapshot
	for _, p := range persists {
		if p.Snapshot != nil {
			snap = *p.Snapshot
			l.dropCovered(snap)
		}
		l.absorb(batch{Hard: p.Hard, Entries: p.Entries})
	}
	l.dropCovered(snap)
	if err := l.startGeneration(snap, &before); err != nil {
		*l = before
		return err
	}
	return nil
}

// dropCovered drops the entries that a snapshot replaces: those up to it, and all if they do not agree with it.
func (l *Log) dropCovered(snap raft.Snapshot) {
	if len(l.entries) > 0 && !l.continues(snap) {
		l.entries = nil
	}
	l.entries = slices.DeleteFunc(l.entries, func(e raft.Entry) bool { return e.Index <= snap.Index })
}

// continues tells whether the entries held agree with the snapshot, so that
// those after it stay valid.
func (l *Log) continues(snap raft.Snapshot) bool {
	for _, e := range l.entries {
		if e.Index == snap.Index {
			return e.Term == snap.Term
		}
	}
	return l.entries[0].Index == snap.Index+1
}

// startGeneration writes log and snapshot of the next generation, each whole
// before it gets its name; the snapshot comes last, as it makes the generation
// count. Then the older generation is removed.
func (l *Log) startGeneration(snap raft.Snapshot, old *Log) error {
	l.generation++
	var log, snapshot bytes.Buffer
	h := header{Format: formatVersion, Fleet: l.options.Fleet, Identity: l.options.Identity}
	for _, part := range []struct {
		buf *bytes.Buffer
		v   any
	}{
		{&log, h},
		{&log, batch{Hard: l.hard, Entries: l.entries}},
		{&snapshot, h},
		{&snapshot, snap},
	} {
		if err := appendFrame(part.buf, part.v); err != nil {
			return err
		}
	}
	if err := writeWhole(l.path(l.generation, "log"), log.Bytes(), l.options.Wrap); err != nil {
		return err
	}
	if err := writeWhole(l.path(l.generation, "snap"), snapshot.Bytes(), l.options.Wrap); err != nil {
		return err
	}
	l.good = int64(log.Len())
	if err := l.reopen(); err != nil {
		return err
	}
	if old != nil && old.file != nil {
		// What stays behind is not read again, as the newer generation counts.
		_ = old.file.Close()
		_ = os.Remove(l.path(old.generation, "snap"))
		_ = os.Remove(l.path(old.generation, "log"))
	}
	return nil
}

// writeWhole writes a file under another name, syncs it, renames it and syncs
// the folder. wrap, where set, stands between it and the file.
func writeWhole(name string, data []byte, wrap func(File) File) error {
	tmp := name + ".tmp"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	w := wrapped(f, wrap)
	_, err = w.Write(data)
	if err == nil {
		err = w.Sync()
	}
	if cerr := w.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		// A file left under this name is written anew.
		_ = os.Remove(tmp)
		return errors.Wrap(err, "write file")
	}
	if err := os.Rename(tmp, name); err != nil {
		return errors.Wrap(err, "rename file")
	}
	return syncDir(filepath.Dir(name))
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	err = d.Sync()
	if cerr := d.Close(); err == nil {
		err = cerr
	}
	return errors.Wrap(err, "sync data folder")
}

// Restore makes the data folder of a new fleet from a snapshot's data.
func Restore(dir, fleet string, data []byte, members []raft.Member) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "make data folder")
	}
	l := &Log{dir: dir, options: Options{Fleet: fleet}}
	l.hard = raft.HardState{Term: restoredTerm}
	if err := l.startGeneration(raft.Snapshot{Index: 1, Term: restoredTerm, Members: members, Data: data}, nil); err != nil {
		return err
	}
	return l.Close()
}

// restoredTerm is the term that a restored fleet begins in.
const restoredTerm raft.Term = 1
