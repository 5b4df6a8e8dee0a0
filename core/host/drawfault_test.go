// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"math/rand/v2"
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// leaderFaults selects the faults that may be injected at the leader.
type leaderFaults struct{ partition, stop bool }

// injectFault injects a random fault, or none: slow links, partitions, stops and starts of entry
// hosts, and faults of the leader.
func (f *seededFleet) injectFault(r *rand.Rand, entries int, slow map[ident.Host]time.Duration, faults leaderFaults) {
	id := entryName(r.IntN(entries))
	switch r.IntN(30) {
	case 0:
		slow[id] = time.Duration(r.IntN(6000)) * time.Millisecond
	case 1:
		delete(slow, id)
	case 2:
		f.partition(id, r.IntN(2) == 0)
	case 3:
		f.stop(id)
	case 4:
		f.start(id)
	case 5:
		f.injectLeaderFault(faults)
	}
}

func (f *seededFleet) injectLeaderFault(faults leaderFaults) {
	leader := f.leader()
	if leader == "" {
		return
	}
	if faults.partition {
		f.partition(leader, true)
		f.run(2 * time.Second)
		f.partition(leader, false)
	}
	if faults.stop {
		f.stop(leader)
		f.run(time.Second)
		f.start(leader)
	}
}
