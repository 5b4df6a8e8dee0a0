//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// departure is a worker's report that it leaves, from its acknowledgement until the process ended.
type departure struct {
	worker       *soakWorker
	acked, ended time.Time
}

const (
	// departureTime is how long a worker goes on serving after its report was acknowledged.
	departureTime   = 5 * time.Second
	minDepartureGap = 200 * time.Millisecond
	maxDepartureGap = time.Second
	// departureBound is the time after the acknowledgement in which hosts learn of it that are not
	// disturbed themselves, whatever happens to others: the shortest that a deployment allows.
	departureBound = 2500 * time.Millisecond
)

// depart lets one worker after the other report to a replica that it leaves, as in a release, end a while
// later and start again as another process.
func (r *restarts) depart(d time.Duration) (out []departure) {
	random := rand.New(rand.NewPCG(r.faults.fleet.seed, 96))
	some := r.restarted()
	for until := time.Now().Add(d); time.Now().Before(until) && len(some) > 0; {
		time.Sleep(minDepartureGap + time.Duration(random.Int64N(int64(maxDepartureGap-minDepartureGap))))
		w := some[random.IntN(len(some))]
		if w.isDown() {
			continue
		}
		w.setState("draining")
		isAcked := r.operator.beat(w)
		acked := time.Now()
		time.Sleep(departureTime)
		if isAcked {
			out = append(out, departure{worker: w, acked: acked, ended: time.Now()})
		}
		end := r.faults.begin(kindRestart, w.node)
		w.crash()
		w.setState("ready")
		time.Sleep(minDown)
		w.startAgain()
		end()
	}
	return out
}

// checkDepartures checks that nothing which a caller sent well after a worker's report reached it, from hosts
// that were not disturbed. Earlier programs lose such reports for longer, so their fleets are left out.
func (e evidence) checkDepartures() (out []string) {
	if *earlier != "" {
		return nil
	}
	for _, r := range e.requests {
		for _, one := range e.fleet.runs.of(r.id) {
			for _, d := range e.departures {
				isLate := one.node == d.worker.node && one.at.Before(d.ended) && r.sent.After(d.acked.Add(departureBound))
				if isLate && !e.disturbed(r.entry, d.worker.node, d.acked.Add(-departureBound), r.sent) {
					out = append(out, fmt.Sprintf("%s at host %d ran at worker %d, whose departure was acknowledged %s before it was sent",
						r.id, r.entry, d.worker.node, r.sent.Sub(d.acked)))
				}
			}
		}
	}
	return out
}
