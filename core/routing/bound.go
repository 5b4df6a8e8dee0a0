// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import "math"

// No target gets a permit that would raise its load above a multiple of the mean load of the
// service's targets, the new request included:
//
//	limit = mean x (1 + (LoadFactor - 1) x share), at least the mean rounded up
//
// The share is the part of the range between mean and bound that a request may use: a chat
// that returns to the target with its cached prefix may use more than a new one. The mean
// rounded up is always allowed, so that a request finds a target while slots are free.
//
// The loads of the group's own targets are exact; those of other groups are reported by their
// owners and may be about a second old.
const (
	// newChatShare is for new chats; the range above the mean is kept for returning ones.
	// With more, the skew rose and the reuse did not.
	newChatShare = 0.0
	// returningChatShare is for returning chats; the rest leaves room for the mean to fall while
	// long answers run. At a load factor of 1.25, 0.6 and 0.7 gave a skew of 1.195 and 1.225 and a reuse
	// of 0.938 and 0.943, 0.8 a skew of 1.245 and a reuse of 0.961.
	returningChatShare = 0.8
	// redirectShare limits how far above the mean another group's load may be for chats that were
	// redirected there to be redirected again; otherwise one group could stay more loaded than
	// the others: one stood at 31 requests a target, the others at 27.
	redirectShare = 0.3
	// idleMeanLoad is the mean load below which one request is no significant skew, so that
	// returning chats may use the bound rounded up.
	idleMeanLoad = 8
)

// LoadBound is the limit on each target's load as a multiple of the mean load.
type LoadBound struct {
	// LoadFactor is the multiple, a setting; 0 means no limit.
	LoadFactor float64
	// OtherGroups are the loads of the service's other groups, as their owners report them.
	OtherGroups []GroupLoad
}

// meanLoad returns the load per target if the service's load, the new request included, were
// spread evenly.
func (g Group) meanLoad(b LoadBound) float64 {
	load, targets := g.totalLoad+1, g.UsableTargets()
	for _, o := range b.OtherGroups {
		load += o.Load
		targets += o.Usable
	}
	if targets == 0 {
		return 0
	}
	return float64(load) / float64(targets)
}

// maxLoad returns the load that a target may have after a placement that uses the given share of
// the range between mean and bound.
func maxLoad(b LoadBound, mean, share float64) int {
	if b.LoadFactor == 0 {
		return math.MaxInt
	}
	allowed := int(mean * (1 + (b.LoadFactor-1)*share))
	if share > 0 && mean < idleMeanLoad {
		allowed = int(math.Ceil(mean * b.LoadFactor))
	}
	return max(1, int(math.Ceil(mean)), allowed)
}
