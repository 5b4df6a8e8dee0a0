//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"flag"
	"math/rand/v2"
	"time"
)

var withCutoffs = flag.Bool("cutoffs", false, "cut entry hosts off from all workers while faults last")

// cutoffKind is how connections between a host and all workers fail.
type cutoffKind int

const (
	// silentCutoff holds all bytes, resettingCutoff resets open connections and new ones, and
	// refusingCutoff resets new ones alone.
	silentCutoff cutoffKind = iota
	resettingCutoff
	refusingCutoff
	cutoffKinds
)

const (
	minCutoff = time.Second
	maxCutoff = 5 * time.Second
	// carrierAfter is how long hosts that are cut off get to send through others before one of these is lost.
	carrierAfter = 700 * time.Millisecond
	carrierDown  = 300 * time.Millisecond
	// carrierShare is the part of the hosts that are not cut off which are disturbed meanwhile.
	carrierShare = 0.7
)

// cutoffs cuts entry hosts off from all workers, some at a time and at times all of them. It draws from
// a series of its own, so that the other faults of a seed stay as they are.
type cutoffs struct {
	faults *faults
	random *rand.Rand
}

func newCutoffs(x *faults) *cutoffs {
	return &cutoffs{faults: x, random: rand.New(rand.NewPCG(x.fleet.seed, 101))}
}

func (c *cutoffs) run(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		hosts := c.faults.fleet.entries()
		c.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		n, kind := 1+c.random.IntN(len(hosts)), cutoffKind(c.random.IntN(int(cutoffKinds)))
		last := minCutoff + time.Duration(c.random.Int64N(int64(maxCutoff-minCutoff)))
		c.faults.done.Go(c.loseCarriers(hosts[n:]))
		c.cut(hosts[:n], kind, last)
		time.Sleep(minCutoff)
	}
}

// loseCarriers draws how some of the hosts are lost through which others reach workers: killed, stopped or
// frozen, one after the other.
func (c *cutoffs) loseCarriers(hosts []node) func() {
	var losses []func()
	for _, n := range hosts {
		kind, lost := c.random.IntN(4), c.random.Float64() < carrierShare
		switch {
		case !lost:
		case kind == 0:
			losses = append(losses, func() { c.faults.stop(n) })
		case kind == 1:
			losses = append(losses, func() { c.faults.pause(n, carrierDown) })
		default:
			losses = append(losses, func() { c.faults.kill(n, carrierDown) })
		}
	}
	return func() {
		for _, lose := range losses {
			time.Sleep(carrierAfter)
			lose()
		}
	}
}

func (c *cutoffs) cut(hosts []node, kind cutoffKind, d time.Duration) {
	defer c.faults.begin("cut off from workers", hosts...)()
	c.set(hosts, kind, true)
	time.Sleep(d)
	c.set(hosts, kind, false)
}

func (c *cutoffs) set(hosts []node, kind cutoffKind, on bool) {
	f := c.faults.fleet
	for _, h := range hosts {
		for _, w := range append(f.workers, f.others...) {
			switch kind {
			case silentCutoff:
				f.network.hold(link{h, w.node}, on)
				f.network.hold(link{w.node, h}, on)
			case resettingCutoff:
				f.network.refuse(link{h, w.node}, on)
				if on {
					f.network.resetLink(link{h, w.node})
				}
			case refusingCutoff, cutoffKinds:
				f.network.refuse(link{h, w.node}, on)
			}
		}
	}
}
