// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/storage"
)

const (
	// originSyncInterval is the least time between two syncs of origins, which are grouped so that they
	// leave the disk to the replicated log.
	originSyncInterval = 50 * time.Millisecond
	// maxWaitingReports bounds the reports that wait for the disk; the newest are dropped beyond it.
	maxWaitingReports = 1 << 10
)

// originWriter writes the origins that hosts report to a replica. Nothing waits for it: a report that the disk
// refuses is held in memory alone.
type originWriter struct {
	log logr.Logger
	// disk is nil if the files could not be opened.
	disk    *storage.OriginLog
	mu      sync.Mutex
	waiting []origins.Report
	wake    chan struct{}
}

func newOriginWriter(log logr.Logger, disk *storage.OriginLog) *originWriter {
	return &originWriter{log: log, disk: disk, wake: make(chan struct{}, 1)}
}

// put takes a report to write.
func (w *originWriter) put(r origins.Report) {
	w.mu.Lock()
	if len(w.waiting) < maxWaitingReports {
		w.waiting = append(w.waiting, r)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *originWriter) take() []origins.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := w.waiting
	w.waiting = nil
	return taken
}

// run writes until ctx ends, and closes the files.
func (w *originWriter) run(ctx context.Context) error {
	if w.disk == nil {
		<-ctx.Done()
		return nil
	}
	for failing := false; ; {
		select {
		case <-ctx.Done():
			return w.disk.Close()
		case <-w.wake:
		}
		err := w.disk.Write(w.take(), time.Now())
		if err != nil != failing {
			failing = err != nil
			w.log.Info("origins of streams", "written", err == nil, "error", err)
		}
		select {
		case <-ctx.Done():
			return w.disk.Close()
		case <-time.After(originSyncInterval):
		}
	}
}

// withOrigins opens the origins in a replica's data folder and returns the state with them, and their writer.
// Without the files the replica holds origins in memory alone.
func withOrigins(s host.State, o Options, dir string, now, timeOfDay time.Time) (host.State, *originWriter) {
	disk, reports, err := storage.OpenOrigins(dir, o.WrapFile)
	if err != nil {
		o.Log.Error(err, "the origins of streams are not kept on disk")
		return s, newOriginWriter(o.Log, nil)
	}
	for _, r := range reports {
		s = s.WithOrigins(r.Report, now.Add(-max(0, timeOfDay.Sub(r.At))))
	}
	return s, newOriginWriter(o.Log, disk)
}
