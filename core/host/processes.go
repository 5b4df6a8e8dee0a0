// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/table"
)

// Package requests needs to know which process of a worker ran when, for streams that may go on at another worker.
// Replicas know it of the workers whose heartbeats they receive. A host that needs it names the worker in polls, and
// each reply gives what the receiver knows. A hub looks up in turn what its clients look up.
//
// Times are sent as ages. The sender's reply left it after the poll was sent and before the reply arrived, so a host
// dates the start of a process from the one and its heartbeats from the other, which never makes its life longer.
//
// Hosts of an earlier version neither look processes up nor reply with any; they ignore the fields.
const (
	// processLookupTime is how long a process is looked up: until its next heartbeats have arrived.
	processLookupTime = 3 * time.Second
	// maxProcessLookups bounds the workers looked up at a time.
	maxProcessLookups = 256
	// minProcessPollInterval is the time between two polls sent early because a stream waits for a process.
	minProcessPollInterval = 100 * time.Millisecond
)

// WorkerLife is what the sender knows of a worker's process: the age of its first heartbeat and of its newest ones. Gob
// identifies its fields by name, so they must not be renamed.
type WorkerLife struct {
	Worker   ident.Target
	Born     registry.Incarnation
	Version  ident.Version
	Age      time.Duration
	Arrivals []HeartbeatArrival
}

// HeartbeatArrival is the age of a heartbeat at the registry at which it arrived. Gob identifies its fields by name, so they
// must not be renamed.
type HeartbeatArrival struct {
	Seq     uint64
	Age     time.Duration
	Relayed bool
}

// processLookups are the workers whose processes are looked up.
type processLookups struct {
	// since holds since when each is looked up, urgent those that a stream waits for.
	since  table.Table[ident.Target, time.Time]
	urgent table.Table[ident.Target, time.Time]
}

// lookUpProcess looks up the processes of a worker in the next polls.
func (t *transition) lookUpProcess(id ident.Target, urgent bool) {
	l := &t.seeded.processLookups
	if l.since.Len() >= maxProcessLookups && !l.since.Has(id) {
		return
	}
	l.since = l.since.With(id, t.now)
	if urgent {
		l.urgent = l.urgent.With(id, t.now)
	}
}

// processPollDue reports whether this host should poll early as a stream waits for a worker's process.
func (t *transition) processPollDue() bool {
	lastPoll := t.seeded.pollAt.Add(-t.pollInterval())
	if t.now.Sub(lastPoll) < minProcessPollInterval {
		return false
	}
	for _, at := range t.seeded.processLookups.urgent.All() {
		if t.now.Sub(at) <= 2*minProcessPollInterval {
			return true
		}
	}
	return false
}

// processesToLookUp returns the workers that polls name, and drops those that were looked up for long.
func (t *transition) processesToLookUp() []ident.Target {
	l := &t.seeded.processLookups
	var out []ident.Target
	for id, since := range l.since.All() {
		if t.now.Sub(since) > processLookupTime {
			l.since, l.urgent = l.since.Without(id), l.urgent.Without(id)
			continue
		}
		out = append(out, id)
	}
	return out
}

// livesFor returns what is known of the processes that a client looks up. A hub looks them up as well.
func (t *transition) livesFor(workers []ident.Target) []WorkerLife {
	var out []WorkerLife
	for _, id := range workers[:min(len(workers), maxProcessLookups)] {
		if t.settings.IsReplica() {
			for _, l := range t.registry.LivesOf(id) {
				out = append(out, t.workerLife(l))
			}
			continue
		}
		t.lookUpProcess(id, false)
		for _, l := range t.requests.LivesOf(id) {
			out = append(out, t.workerLife(l))
		}
	}
	return out
}

// workerLife converts a life to its wire format.
func (t *transition) workerLife(l registry.Life) WorkerLife {
	w := WorkerLife{Worker: l.Worker, Born: l.Born, Version: l.Version, Age: t.now.Sub(l.From)}
	for _, a := range l.Arrivals() {
		w.Arrivals = append(w.Arrivals, HeartbeatArrival{Seq: a.Seq, Age: t.now.Sub(a.At), Relayed: a.Relayed})
	}
	return w
}

// handleLives applies the lives in the reply to a poll that was sent at a time.
func (t *transition) handleLives(lives []WorkerLife, sent time.Time) {
	for _, w := range lives {
		if w.Worker == "" || w.Born == 0 {
			continue
		}
		l := registry.Life{Worker: w.Worker, Born: w.Born, Version: w.Version, From: t.now.Add(-max(0, w.Age))}
		for _, a := range w.Arrivals {
			l = l.WithArrival(registry.Arrival{Seq: a.Seq, At: sent.Add(-max(0, a.Age)), Relayed: a.Relayed})
		}
		t.reduceRequests(requests.ProcessSeen{Life: l})
	}
}
