// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/storage"
)

// departureWaits holds the answers to workers that leave, until their departures are secured. The zero value
// holds none.
type departureWaits struct {
	mu      sync.Mutex
	waiting map[ident.Target][]chan struct{}
}

// add returns a channel that is closed once the status of a worker's departure has changed.
func (d *departureWaits) add(id ident.Target) chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = map[ident.Target][]chan struct{}{}
	}
	ch := make(chan struct{})
	d.waiting[id] = append(d.waiting[id], ch)
	return ch
}

// end wakes the answers that wait under an id.
func (d *departureWaits) end(id ident.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ch := range d.waiting[id] {
		close(ch)
	}
	delete(d.waiting, id)
}

// awaitDeparture waits until a worker's report that it leaves is secured, and reports whether it can be
// acknowledged. While the processor is short it does not wait for another replica, as few connections are at
// work at a time then and other workers would wait with it.
func (l *loop) awaitDeparture(id ident.Target) bool {
	defer l.departures.end(id)
	for begun := l.now(); ; {
		changed := l.departures.add(id)
		status := l.state.Load().DepartureStatus(id, l.now())
		var most time.Duration
		switch status.(type) {
		case host.DepartureUnpersisted:
			most = host.MaxPersistTime
		case host.DepartureUnshared:
			if !l.pace.short() {
				most = host.MaxShareTime
			}
		case host.DepartureSecured:
		}
		left := most - l.now().Sub(begun)
		if left <= 0 || !l.waitFor(changed, left) {
			_, isLost := status.(host.DepartureUnpersisted)
			return !isLost
		}
	}
}

// waitFor waits for a channel to be closed, and reports false if the process stops before.
func (l *loop) waitFor(changed <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-l.done:
		return false
	}
	return true
}

// departureWriter writes the departures that a replica keeps.
type departureWriter struct{ listWriter[departures.Record] }

// newDepartureWriter returns a writer into a data folder that reports to the core what is on disk.
func newDepartureWriter(l *loop, dir string, wrap func(storage.File) storage.File) *departureWriter {
	return &departureWriter{newListWriter(l.log, "departures", func(r departures.Record) error {
		if err := storage.WriteDepartures(dir, datedDepartures(r.Entries(), l.now(), time.Now()), wrap); err != nil {
			return err
		}
		l.reduce(context.Background(), host.DeparturesPersisted{Position: r.Position()})
		return nil
	})}
}

// datedDepartures converts times from one clock to another, by the present time of both.
func datedDepartures(entries []departures.Entry, from, to time.Time) []departures.Entry {
	out := make([]departures.Entry, 0, len(entries))
	for _, e := range entries {
		e.Since = to.Add(-max(0, from.Sub(e.Since)))
		out = append(out, e)
	}
	return out
}

// readDepartures reads the departures of a replica's data folder. Those in a file that cannot be read are
// lost as if the disk were.
func readDepartures(dir string, log logr.Logger, now, timeOfDay time.Time) []departures.Entry {
	entries, err := storage.ReadDepartures(dir)
	if err != nil {
		log.Error(err, "the departures of workers cannot be read")
	}
	return datedDepartures(entries, timeOfDay, now)
}

// workerOf returns the worker of a heartbeat or deregistration.
func workerOf(ev host.Event) ident.Target {
	switch ev := ev.(type) {
	case host.HeartbeatReceived:
		return ev.Worker.ID
	case host.DeregistrationReceived:
		return ev.Worker
	}
	return ""
}
