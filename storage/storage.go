// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package storage keeps a replica's log and snapshots on disk.
//
// Files of the data folder, by generation g:
//
//	state-g.snap  the snapshot that generation g begins with
//	state-g.log   frames written since; one frame per sync
//
// A frame is its length, its CRC-32C and its CBOR content. The next frame is
// written only after the last one has been synced, so only the last frame of
// the newest log may be torn: it is cut. Damage anywhere else means that
// acknowledged state is lost, and Open refuses.
//
// # Usage
//
//	log, boot, err := storage.Open(dir, storage.Options{Fleet: "yardhall", Members: members})
//	err = log.Write(persists) // returns once synced
package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/raft"
)

const (
	// formatVersion stands in every file.
	formatVersion = 1
	frameHeader   = 8
	maxFrame      = 1 << 30
	fileMode      = 0o600
	dirMode       = 0o700
)

// ErrDamaged is the cause of an error of Open where state was lost.
var ErrDamaged = errors.New("replicated state on disk is damaged")

// castagnoli is the CRC-32C table; it never changes.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is what the log needs of an open file; tests put faults in here.
type File interface {
	io.WriteCloser
	io.WriterAt
	Truncate(size int64) error
	Sync() error
}

// Options are how a data folder is opened.
type Options struct {
	// Fleet must equal the id that the folder was made with.
	Fleet string
	// Members is the first member list, used when the folder is empty.
	Members []raft.Member
	// Wrap, where set, stands between the log and its files.
	Wrap func(File) File
}

// header is the first frame of every file.
type header struct {
	Format int
	Fleet  string
}

// batch is the content of a log frame.
type batch struct {
	Hard    raft.HardState
	Entries []raft.Entry
}

// Log is an open data folder. Its methods must not be called concurrently.
type Log struct {
	dir        string
	options    Options
	generation uint64
	file       File
	// good is the length up to which the log file is synced.
	good    int64
	hard    raft.HardState
	entries []raft.Entry
	// Cut is the number of bytes of a torn last frame that Open removed.
	Cut int64
}

// Open reads a data folder, or makes a new one.
func Open(dir string, o Options) (*Log, raft.Boot, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, raft.Boot{}, errors.Wrap(err, "make data folder")
	}
	l := &Log{dir: dir, options: o}
	generation, found, err := l.newestGeneration()
	if err != nil {
		return nil, raft.Boot{}, err
	}
	if !found {
		return l.create()
	}
	l.generation = generation
	return l.load()
}

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

func (l *Log) load() (*Log, raft.Boot, error) {
	var boot raft.Boot
	frames, torn, err := l.readFrames(l.path(l.generation, "snap"))
	if err != nil {
		return nil, boot, err
	}
	if torn > 0 || len(frames) != 1 {
		return nil, boot, errors.Wrap(ErrDamaged, "snapshot")
	}
	if err := cbor.Unmarshal(frames[0], &boot.Snapshot); err != nil {
		return nil, boot, errors.Wrap(ErrDamaged, err.Error())
	}
	frames, torn, err = l.readFrames(l.path(l.generation, "log"))
	if err != nil {
		return nil, boot, err
	}
	l.Cut = torn
	for _, f := range frames {
		var b batch
		if err := cbor.Unmarshal(f, &b); err != nil {
			return nil, boot, errors.Wrap(ErrDamaged, err.Error())
		}
		l.absorb(b)
	}
	boot.Hard, boot.Entries = l.hard, l.entries
	if err := checkJoined(boot); err != nil {
		return nil, boot, err
	}
	return l, boot, l.reopen()
}

// checkJoined makes sure that snapshot and entries follow each other.
func checkJoined(b raft.Boot) error {
	next := b.Snapshot.Index + 1
	for _, e := range b.Entries {
		if e.Index != next {
			return errors.Wrapf(ErrDamaged, "entry %d follows %d", e.Index, next-1)
		}
		next++
	}
	return nil
}

// absorb adds a batch to what the log holds; a new entry replaces those of its
// index and after.
func (l *Log) absorb(b batch) {
	l.hard = b.Hard
	for _, e := range b.Entries {
		for len(l.entries) > 0 && l.entries[len(l.entries)-1].Index >= e.Index {
			l.entries = l.entries[:len(l.entries)-1]
		}
		l.entries = append(l.entries, e)
	}
}

// readFrames returns the content frames of a file and the length of a torn
// last one.
func (l *Log) readFrames(name string) ([][]byte, int64, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, 0, errors.Wrap(ErrDamaged, err.Error())
	}
	var frames [][]byte
	rest := data
	for len(rest) > 0 {
		frame, size, ok := cutFrame(rest)
		if !ok {
			if size < len(rest) {
				return nil, 0, errors.Wrapf(ErrDamaged, "%s: frame %d", filepath.Base(name), len(frames))
			}
			break
		}
		frames = append(frames, frame)
		rest = rest[size:]
	}
	l.good = int64(len(data) - len(rest))
	if len(frames) == 0 {
		return nil, 0, errors.Wrapf(ErrDamaged, "%s: no header", filepath.Base(name))
	}
	var h header
	if err := cbor.Unmarshal(frames[0], &h); err != nil || h.Format != formatVersion {
		return nil, 0, errors.Wrapf(ErrDamaged, "%s: format %d, want %d", filepath.Base(name), h.Format, formatVersion)
	}
	if h.Fleet != l.options.Fleet {
		return nil, 0, errors.Errorf("%s belongs to fleet %q, not %q", filepath.Base(name), h.Fleet, l.options.Fleet)
	}
	return frames[1:], int64(len(rest)), nil
}

// cutFrame takes the first frame of data. Where it is not whole, size is how
// far it claims to reach.
func cutFrame(data []byte) (frame []byte, size int, ok bool) {
	if len(data) < frameHeader {
		return nil, len(data), false
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n > maxFrame || len(data) < frameHeader+n {
		return nil, len(data), false
	}
	frame = data[frameHeader : frameHeader+n]
	return frame, frameHeader + n, crc32.Checksum(frame, castagnoli) == binary.LittleEndian.Uint32(data[4:])
}

func appendFrame(b *bytes.Buffer, v any) error {
	content, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if len(content) > maxFrame {
		return errors.Errorf("frame of %d bytes", len(content))
	}
	var h [frameHeader]byte
	binary.LittleEndian.PutUint32(h[:], uint32(len(content))) //nolint:gosec // Bounded by maxFrame above.
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(content, castagnoli))
	b.Write(h[:])
	b.Write(content)
	return nil
}

// reopen opens the log file for writing after the last good frame.
func (l *Log) reopen() error {
	f, err := os.OpenFile(l.path(l.generation, "log"), os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	l.file = l.wrapped(f)
	return l.rewind()
}

func (l *Log) wrapped(f File) File {
	if l.options.Wrap == nil {
		return f
	}
	return l.options.Wrap(f)
}

// rewind cuts the file back to what is known synced.
func (l *Log) rewind() error {
	if err := l.file.Truncate(l.good); err != nil {
		return errors.Wrap(err, "cut log")
	}
	return errors.Wrap(l.file.Sync(), "sync log")
}

// Write makes persists durable with one sync. After an error nothing of them
// counts, and the same call may be made again.
func (l *Log) Write(persists []raft.Persist) error {
	b := batch{Hard: l.hard}
	var snap *raft.Snapshot
	for _, p := range persists {
		b.Hard = p.Hard
		b.Entries = append(b.Entries, p.Entries...)
		if p.Snapshot != nil {
			snap = p.Snapshot
		}
	}
	if snap == nil {
		if err := l.appendBatch(b); err != nil {
			return err
		}
		l.absorb(b)
		return nil
	}
	return l.writeSnapshot(*snap, b)
}

func (l *Log) appendBatch(b batch) error {
	var buf bytes.Buffer
	if err := appendFrame(&buf, b); err != nil {
		return err
	}
	if _, err := l.file.WriteAt(buf.Bytes(), l.good); err != nil {
		_ = l.rewind()
		return errors.Wrap(err, "write log")
	}
	if err := l.file.Sync(); err != nil {
		_ = l.rewind()
		return errors.Wrap(err, "sync log")
	}
	l.good += int64(buf.Len())
	return nil
}

// writeSnapshot begins a new generation with snap and what follows it.
func (l *Log) writeSnapshot(snap raft.Snapshot, b batch) error {
	before := *l
	l.entries = slices.Clone(l.entries)
	l.absorb(b)
	if len(l.entries) > 0 && !l.continues(snap) {
		l.entries = nil
	}
	l.entries = slices.DeleteFunc(l.entries, func(e raft.Entry) bool { return e.Index <= snap.Index })
	if err := l.startGeneration(snap, &before); err != nil {
		*l = before
		return err
	}
	return nil
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
	h := header{Format: formatVersion, Fleet: l.options.Fleet}
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
	if err := l.writeWhole(l.path(l.generation, "log"), log.Bytes()); err != nil {
		return err
	}
	if err := l.writeWhole(l.path(l.generation, "snap"), snapshot.Bytes()); err != nil {
		return err
	}
	l.good = int64(log.Len())
	if err := l.reopen(); err != nil {
		return err
	}
	if old != nil && old.file != nil {
		_ = old.file.Close()
		_ = os.Remove(l.path(old.generation, "snap"))
		_ = os.Remove(l.path(old.generation, "log"))
	}
	return nil
}

// writeWhole writes a file under another name, syncs it, renames it and syncs
// the folder.
func (l *Log) writeWhole(name string, data []byte) error {
	tmp := name + ".tmp"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	w := l.wrapped(f)
	_, err = w.Write(data)
	if err == nil {
		err = w.Sync()
	}
	if cerr := w.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		_ = os.Remove(tmp)
		return errors.Wrap(err, "write file")
	}
	if err := os.Rename(tmp, name); err != nil {
		return errors.Wrap(err, "rename file")
	}
	return syncDir(l.dir)
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

// Close closes the log file.
func (l *Log) Close() error { return errors.Wrap(l.file.Close(), "close log") }

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
