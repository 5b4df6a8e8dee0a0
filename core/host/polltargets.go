// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
)

// This file chooses the replicas or hubs that a host polls.

// replicasPolledInTurn is how many replicas besides the seeds and the leader contact a host polls at a
// time while all hubs fail.
const replicasPolledInTurn = 2

// knownReplicas returns the addresses of the members and the seeds.
func (t *transition) knownReplicas() []ident.Host {
	out := slices.Clone(t.seeded.replicas)
	for _, s := range t.settings.Seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// hostsToPoll returns the replicas, or the chosen hubs. While all hubs fail, it adds some
// replicas every maxPollInterval, and before that one for departures.
func (t *transition) hostsToPoll() []ident.Host {
	if !t.pollsHubs() {
		return t.replicasToPoll()
	}
	out := t.seeded.hub.pollSet.Polled()
	switch isDue := !t.now.Before(t.seeded.hub.pollReplicasAt); {
	case isDue && t.hubsFailed():
		t.seeded.hub.pollReplicasAt = t.now.Add(maxPollInterval)
		out = append(out, t.replicasToPoll()...)
		out = append(out, t.replicasInTurn(out, replicasPolledInTurn)...)
	case isDue && t.hubsSilent():
		t.seeded.hub.pollReplicasAt = t.now.Add(hubs.FailureTimeout - hubs.SilenceTimeout)
		out = append(out, t.replicasInTurn(out, 1)...)
	}
	return out
}

// replicasToPoll returns the replicas that a host polls which polls no hubs: all of them, or in a
// fleet large enough for hubs only the seeds and the leader contact. Hundreds of hosts that each
// poll every replica would saturate them when the fleet starts or loses its hubs.
func (t *transition) replicasToPoll() []ident.Host {
	all := t.knownReplicas()
	if t.isHub() || t.seeded.hosts <= t.hubThreshold() {
		return all
	}
	return slices.DeleteFunc(all, func(h ident.Host) bool {
		return h != t.seeded.leaderContact && !slices.Contains(t.settings.Seeds, h)
	})
}

// replicasInTurn returns a few replicas that are not in polled, other ones with each call: a host
// that is partitioned from the seeds may still reach a replica.
func (t *transition) replicasInTurn(polled []ident.Host, limit int) []ident.Host {
	others := slices.DeleteFunc(t.knownReplicas(), func(h ident.Host) bool { return slices.Contains(polled, h) })
	n := min(limit, len(others))
	out := make([]ident.Host, 0, n)
	for range n {
		t.seeded.nextReplica++
		out = append(out, others[t.seeded.nextReplica%len(others)])
	}
	return out
}
