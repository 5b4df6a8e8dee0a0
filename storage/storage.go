// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package storage keeps a replica's log and snapshots on disk.
//
// Files of the data folder, by generation g:
//
//	state-g.snap  the snapshot that generation g begins with
//	state-g.log   frames written since; one frame per sync
//	crashes.cbor  the list of crashes, a single frame; no part of the replicated state
//	departures.cbor  the workers that leave, likewise
//	origins-a.log, origins-b.log  the origins of streams, written in turn
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
	"io"
	"os"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
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
	// Identity names an empty folder for good; a folder that has a name keeps
	// it.
	Identity ident.Host
	// Wrap, where set, stands between the log and its files.
	Wrap func(File) File
}

// header is the first frame of every file.
type header struct {
	Format   int
	Fleet    string
	Identity ident.Host
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

// Identity is the name that the folder was made with; empty where it has none.
func (l *Log) Identity() ident.Host { return l.options.Identity }

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

// reopen opens the log file for writing after the last good frame.
func (l *Log) reopen() error {
	f, err := os.OpenFile(l.path(l.generation, "log"), os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	l.file = wrapped(f, l.options.Wrap)
	return l.rewind()
}

func wrapped(f File, wrap func(File) File) File {
	if wrap == nil {
		return f
	}
	return wrap(f)
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
	if slices.ContainsFunc(persists, func(p raft.Persist) bool { return p.Snapshot != nil }) {
		return l.writeSnapshot(persists)
	}
	b := batch{Hard: l.hard}
	for _, p := range persists {
		b.Hard = p.Hard
		b.Entries = append(b.Entries, p.Entries...)
	}
	if err := l.appendBatch(b); err != nil {
		return err
	}
	l.absorb(b)
	return nil
}

func (l *Log) appendBatch(b batch) error {
	var buf bytes.Buffer
	if err := appendFrame(&buf, b); err != nil {
		return err
	}
	// What rewind cannot cut off is written over by the next try, from the same place.
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

// Close closes the log file.
func (l *Log) Close() error { return errors.Wrap(l.file.Close(), "close log") }
