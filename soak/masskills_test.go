//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"flag"
	"math/rand/v2"
	"slices"
	"time"
)

// withMassKills has all entry hosts, and all processes, killed at once, beside all other faults, departures and
// streams that are taken up. What is acknowledged or begun must not rest on the memory of processes alone.
var withMassKills = flag.Bool("mass-kills", false, "kill all entry hosts, and all hosts, at once while faults last")

const (
	minMassKillGap = time.Second
	maxMassKillGap = 4 * time.Second
)

// killTogether kills all entry hosts or all hosts, several times in a row.
func (x *faults) killTogether(d time.Duration) {
	random := rand.New(rand.NewPCG(x.fleet.seed, 95))
	for until := time.Now().Add(d); time.Now().Before(until); {
		time.Sleep(minMassKillGap + time.Duration(random.Int64N(int64(maxMassKillGap-minMassKillGap))))
		nodes := x.fleet.entries()
		if random.IntN(2) == 0 {
			nodes = slices.Concat(nodes, x.fleet.replicas())
		}
		x.killAtOnce(nodes, minLast+time.Duration(random.Int64N(int64(time.Second))))
	}
}
