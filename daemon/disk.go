// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/raft"
)

// diskWriter writes the replicated log, all that waits with one sync.
type diskWriter struct {
	loop     *loop
	log      persister
	mu       sync.Mutex
	waiting  []raft.Persist
	wake     chan struct{}
	failures expvar.Int
	syncs    expvar.Int
	written  expvar.Int
	failing  bool
}

// persister is what the writer needs of storage.Log.
type persister interface {
	Write(persists []raft.Persist) error
	Close() error
}

func newDiskWriter(l *loop, log persister) *diskWriter {
	return &diskWriter{loop: l, log: log, wake: make(chan struct{}, 1)}
}

func (d *diskWriter) queue(p raft.Persist) {
	d.mu.Lock()
	d.waiting = append(d.waiting, p)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *diskWriter) take() []raft.Persist {
	d.mu.Lock()
	defer d.mu.Unlock()
	batch := d.waiting
	d.waiting = nil
	return batch
}

func (d *diskWriter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
		}
		batch := d.take()
		if len(batch) == 0 {
			continue
		}
		if !d.write(ctx, batch) {
			return nil
		}
		d.synced(batch)
	}
}

// diskRetry is the pause after a failed write, such as to a full disk.
const diskRetry = time.Second

// write repeats until the batch is on disk. Meanwhile nothing of it is
// acknowledged; the counter tells, and the log does at the first failure and
// at the recovery.
func (d *diskWriter) write(ctx context.Context, batch []raft.Persist) bool {
	for {
		err := d.log.Write(batch)
		if err == nil {
			if d.failing {
				d.loop.log.Info("disk writes work again")
			}
			d.failing = false
			return true
		}
		d.failures.Add(1)
		if !d.failing {
			d.loop.log.Error(err, "disk write failed; nothing is acknowledged until it works")
		}
		d.failing = true
		select {
		case <-ctx.Done():
			return false
		case <-time.After(diskRetry):
		}
	}
}

// synced releases what waited for the disk.
func (d *diskWriter) synced(batch []raft.Persist) {
	d.syncs.Add(1)
	d.written.Add(int64(len(batch)))
	for _, p := range batch {
		for _, m := range p.Then {
			to, envelope := d.loop.state.Load().Envelope(m)
			d.loop.pool.Send(to, envelope)
		}
	}
	last := batch[len(batch)-1]
	d.loop.post(host.EntriesPersisted{Persisted: raft.Persisted{Index: last.Index, Term: last.Term}})
}
