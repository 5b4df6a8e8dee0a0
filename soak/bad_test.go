//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// badCaller sends the same request again and again, to any entry host: each worker that
// begins to run it ends. With odd seeds it sends requests that only have a part of their
// prompts in common. It pauses while it is off.
type badCaller struct {
	callers *callers
	on      atomic.Bool
}

const (
	badPause = 250 * time.Millisecond
	// badContact is how long hosts may need to learn of an end.
	badContact = 3 * time.Second
	// maxSentOn is how often the request may still reach workers then, once three have ended
	// under it.
	maxSentOn = 3
	// endsToRefuse is the number of ends from which it may be refused, partEndsToRefuse that of
	// requests with a part in common.
	endsToRefuse     = 3
	partEndsToRefuse = 5
	// badPart is the part of prompts that ends each worker which begins to answer.
	badPart = "bad00bad"
	// subjects is the number of subjects that prompts are about.
	subjects = 6
)

// usesBadPart reports whether the bad requests of a seed have a part in common.
func usesBadPart(seed uint64) bool { return seed%2 == 1 }

// endsBefore is the number of ends from which a seed's bad requests may be refused.
func endsBefore(seed uint64) int {
	if usesBadPart(seed) {
		return partEndsToRefuse
	}
	return endsToRefuse
}

// promptParts returns a prompt of a part that all share, a subject, further parts and one of its own.
func promptParts(random *rand.Rand, id string, more ...string) string {
	parts := append([]string{"57570000", fmt.Sprintf("5b%06x", random.IntN(subjects))}, more...)
	return strings.Join(append(parts, id), ":100,") + ":100"
}

// isBad tells whether the request ends each worker that begins to run it.
func (r request) isBad() bool { return r.body == badBody || strings.Contains(r.parts, badPart) }

func startBadCaller(c *callers) *badCaller {
	b := &badCaller{callers: c}
	c.done.Go(func() { b.run() })
	return b
}

func (b *badCaller) run() {
	random := rand.New(rand.NewPCG(b.callers.fleet.seed, 97))
	for count := 0; ; count++ {
		select {
		case <-b.callers.stop:
			return
		case <-time.After(badPause):
		}
		entries := b.callers.fleet.entries()
		entry := entries[random.IntN(len(entries))]
		if !b.on.Load() {
			continue
		}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		r := request{id: fmt.Sprintf("bad%013x", count), entry: entry, path: "/once/bad", key: b.callers.operator.newestKey(), body: badBody}
		if usesBadPart(b.callers.fleet.seed) {
			r.body, r.parts = r.id, promptParts(random, r.id, badPart)
		}
		b.callers.send(client, &r)
		b.callers.mu.Lock()
		b.callers.requests = append(b.callers.requests, r)
		b.callers.mu.Unlock()
	}
}

// newestKey is the key that is taken away last.
func (o *operator) newestKey() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.keys) == 0 {
		return strangeKey
	}
	return o.keys[len(o.keys)-1]
}

// settle lets the request come for a while once nothing is disturbed any more, if workers
// ended under it before: by the end all hosts must have learned of it.
func (b *badCaller) settle() {
	if len(b.callers.fleet.runs.endsSoFar()) >= endsBefore(b.callers.fleet.seed) {
		b.on.Store(true)
		time.Sleep(badContact)
	}
}

// badRuns are the runs of the bad request that it was sent for after a time, to hosts of
// which no fault, nor of replicas, is known since badContact before.
func (e evidence) badRuns(after time.Time) (out []string) {
	for _, r := range e.requests {
		if !r.isBad() || !r.sent.After(after) || e.disturbedSince(r) {
			continue
		}
		for _, one := range e.fleet.runs.of(r.id) {
			out = append(out, fmt.Sprintf("%s at host %d, run by %s at %s", r.id, r.entry, one.worker, one.at.Format(clock)))
		}
	}
	return out
}

// disturbedSince tells whether a request's host or a replica was disturbed from badContact
// before the request on.
func (e evidence) disturbedSince(r request) bool {
	nodes := append(e.fleet.replicas(), r.entry)
	for _, f := range e.faults {
		if f.touchesAny(nodes, r.sent.Add(-badContact), r.ended) {
			return true
		}
	}
	return false
}

// checkBad checks that the request which ends workers is sent on no more once hosts have had
// the time to learn of three ends, and not at all at the end.
func (e evidence) checkBad() (out []string) {
	ends, enough := e.fleet.runs.endsSoFar(), endsBefore(e.fleet.seed)
	if len(ends) < enough {
		return nil
	}
	if sent := e.badRuns(ends[enough-1].Add(badContact)); len(sent) > maxSentOn {
		out = append(out, fmt.Sprintf("a request under which %d workers ended was sent on: %v", len(ends), sent))
	}
	if sent := e.badRuns(e.calm); !e.calm.IsZero() && len(sent) > 0 {
		out = append(out, fmt.Sprintf("a request under which %d workers ended was sent on at the end: %v", len(ends), sent))
	}
	return out
}
