// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"math"
	"time"

	"github.com/yardhall/yardhall/core/hash"
)

// While the estimate of an engine's load is aged (load.go), each host keeps to its part of the engine's bound,
// so that all hosts together stay below it however old their estimates are. With more hosts than requests within
// the bound, the part is less than one request. Whether a host may send one is then drawn from its name and the
// engine's id, so that on average as many hosts may as the bound allows. A prompt goes to the first engine of its
// rendezvous order at which the host has room, so a few more engines read its prefix until loads are reported
// again.
//
// Inputs: the bound, slots, this host's requests at the engine, and the number of entry hosts.

// partedFraction is the fraction of the bound that is divided. The number of hosts that are drawn for an engine
// varies by less than half of the square root of their number.
const partedFraction = 0.85

// loadMemory is the time constant with which an engine's load returns to the mean: about that of a request.
const loadMemory = time.Second

// leastRoom keeps the weight of an engine above zero.
const leastRoom = 0.1

// roomLimits are the bounds within which an engine has room for a request.
type roomLimits struct {
	// withHeadroom bounds the smoothed and the latest load, latest the latest one.
	withHeadroom, latest float64
	// host is the key of this host, one of hosts.
	host  hash.Key
	hosts int
	// mean is the mean load of the candidates, memory how much of a difference from it is left since loads were reported.
	mean, memory float64
}

// roomLimits returns the limits for a call; mean is the mean load of the pool, availableMean that of the candidates.
func (t *transition) roomLimits(c call, mean, availableMean float64) roomLimits {
	return roomLimits{
		withHeadroom: t.loadBound(availableMean) * (1 - t.headroom(c)), latest: t.loadBound(mean),
		host: hash.Of(string(t.settings.Host)), hosts: max(1, t.hostCount),
		mean: availableMean, memory: math.Exp(-t.now.Sub(t.reportedAsOf).Seconds() / loadMemory.Seconds()),
	}
}

// admits reports whether an engine's loads leave room for one more request.
func (l *roomLimits) admits(w *candidate) bool {
	if max(w.smoothedLoad, float64(w.load))+1 > l.withHeadroom || float64(w.load) > l.latest || w.load >= w.slots {
		return false
	}
	return !w.aged || w.own < l.part(w)
}

// room returns how many requests fit into an engine that is admitted, at least a small part of one. If its load is not
// known, that is the rest of this host's part.
func (l *roomLimits) room(w *candidate) float64 {
	if w.aged {
		return float64(l.part(w) - w.own)
	}
	load := max(w.smoothedLoad, float64(w.load))
	load = max(load, l.mean+l.memory*(load-l.mean))
	return max(leastRoom, min(l.withHeadroom, l.latest, float64(w.slots))-load)
}

// part returns how many requests this host may have at an engine while its load is not known.
func (l *roomLimits) part(w *candidate) int {
	part := partedFraction * min(l.latest, float64(w.slots)) / float64(l.hosts)
	whole := int(part)
	if unit(hash.Mix(l.host, w.key)) <= part-float64(whole) {
		whole++
	}
	return whole
}
