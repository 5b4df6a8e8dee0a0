// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package popularity

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// This file decides when a collector is silent, and what follows for the prompts that it has not acknowledged.

// withTimeouts lets prompts that were not acknowledged in time be reported to other collectors.
func (r Reporter) withTimeouts(c Collectors, now time.Time) Reporter {
	for number, a := range r.awaited.All() {
		p, known := r.peers.Get(a.to)
		if !known || now.Sub(a.sentAt) > reportLifetime {
			r.awaited = r.awaited.Without(number)
		}
		if known && now.Sub(a.sentAt) <= p.ackTimeout() {
			continue
		}
		if known && !p.isSilent() && !a.timedOut {
			r = r.withSilent(a.to, p, c, now)
		}
		var left Counts
		r, left = r.withSubstitutes(a.prompts, a.to, c, a.since)
		if r.awaited.Has(number) {
			a.prompts, a.timedOut = left, true
			r.awaited = r.awaited.With(number, a)
		}
	}
	return r
}

// withSilent returns the reporter after a collector has not acknowledged a report in time.
func (r Reporter) withSilent(h ident.Host, p collectorPeer, c Collectors, now time.Time) Reporter {
	p.silentSince = now
	pending := p.pending
	r.peers = r.peers.With(h, p)
	r, _ = r.withSubstitutes(pending, h, c, p.pendingSince)
	return r
}

// withSubstitutes lets prompts be reported to substitutes of a collector. It returns those for which there is none.
func (r Reporter) withSubstitutes(prompts Counts, from ident.Host, c Collectors, since time.Time) (Reporter, Counts) {
	var left Counts
	for tag, n := range prompts {
		if to, ok := r.substitute(tag, from, c); ok {
			r = r.withPending(to, tag, n, since)
		} else {
			left = left.With(tag, n)
		}
	}
	return r, left
}

// WithAcknowledgement returns the reporter after a collector has replied to a report.
func (r Reporter) WithAcknowledgement(from ident.Host, number uint64, now time.Time) Reporter {
	a, ok := r.awaited.Get(number)
	if !ok || a.to != from {
		return r
	}
	r.awaited = r.awaited.Without(number)
	p, known := r.peers.Get(from)
	if !known {
		return r
	}
	if p.isSilent() {
		p.silentSince, p.liveSince = time.Time{}, now
	}
	p.ackedAt = now
	if took := now.Sub(a.sentAt); took > p.roundTrip {
		p.roundTrip = took
	} else {
		p.roundTrip -= time.Duration(roundTripWeight * float64(p.roundTrip-took))
	}
	r.peers = r.peers.With(from, p)
	return r
}
