// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package canary_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/yardhall/yardhall/core/canary"
	"github.com/yardhall/yardhall/core/rollouts"
)

const (
	duration = 12 * time.Second
	step     = 50 * time.Millisecond
)

var limits = rollouts.Limits{Share: 0.1, Slack: 50, Revert: 5 * time.Second}

// fault is what is wrong with the new version.
type fault struct {
	name string
	// part of the answers is bad: failed, or slower by a factor.
	part   float64
	slower float64
	from   time.Duration
	// routes is the number of routes that have the fault, of three; 0 for all.
	routes int
}

// trouble is what is wrong with the targets of both versions.
type trouble struct {
	name                  string
	failed, slow, givesUp float64
	// length is the time that an answer takes; failures are known at once if it is above a second.
	length time.Duration
	from   time.Duration
}

// result is how a simulated rollout ended.
type result struct {
	rollout      rollouts.Rollout
	isBad        bool
	exposed, bad int
	// before is the number of bad answers at the judgement before the last one.
	before int
}

// pending is an answer that the leader does not know yet.
type pending struct {
	at     time.Duration
	side   canary.Side
	answer canary.Answer
	isBad  bool
}

// simulate runs a rollout by the schedule of core/rollouts with requests at a rate, until it ends.
func simulate(rate float64, f fault, tr trouble, seed uint64) (res result) {
	random := rand.New(rand.NewPCG(seed, 1))
	s, _ := rollouts.State{}.WithOrder(rollouts.Order{Service: "pool", To: "v2", Duration: duration}, time.Unix(1000, 0))
	var e canary.Evidence
	ring := make(map[time.Duration][]pending)
	requests := 0
	for elapsed := time.Duration(0); elapsed < 2*duration; elapsed += step {
		entry, _ := s.Of("pool")
		res.rollout = entry.Rollout
		if !res.rollout.IsRunning() {
			return res
		}
		var news canary.Evidence
		for n := rate * step.Seconds(); n > 0 && random.Float64() < n; n-- {
			requests++
			p := draw(random, float64(res.rollout.Share)/rollouts.AllRequests, elapsed, f, tr)
			if p.side.New {
				res.exposed++
			}
			news = news.WithRequest(p.side)
			if random.Float64() >= tr.givesUp {
				// Reports of hosts are 0.1 to 0.5 s late.
				at := (p.at + time.Duration(100+random.IntN(400))*time.Millisecond).Truncate(step)
				ring[at] = append(ring[at], p)
			}
		}
		res.before = res.bad
		for _, p := range ring[elapsed] {
			news = news.WithAnswer(p.side, p.answer)
			if p.isBad {
				res.bad++
			}
		}
		delete(ring, elapsed)
		e = e.Merge(news)
		o := rollouts.Observation{Elapsed: elapsed, LongestRequest: duration}
		o.OldIdle = res.rollout.Phase == rollouts.Drain && elapsed > res.rollout.PhaseAt+tr.length
		o.Requests, o.Exposed = e.Requests(1)
		j := e.Judge(1)
		o.Verdict, o.Reason = j.Verdict, j.Reason
		res.isBad = j.Verdict == rollouts.Bad
		if p, due := res.rollout.Next(limits, o); due {
			p.Service = "pool"
			s, _ = s.WithProgress(p, time.Unix(1000, 0))
		}
	}
	return res
}

// draw returns the answer to a request that begins now.
func draw(random *rand.Rand, share float64, now time.Duration, f fault, tr trouble) pending {
	p := pending{side: canary.Side{Order: 1, New: random.Float64() < share}}
	route := random.IntN(3)
	p.answer = canary.Answer{Route: string(rune('a' + route)), Pace: time.Duration(float64(20*time.Millisecond) * math.Exp(0.3*random.NormFloat64()))}
	hit := now >= tr.from
	p.answer.Failed = hit && random.Float64() < tr.failed
	slower := 1.0
	if hit && random.Float64() < tr.slow {
		slower = 4
	}
	if p.side.New && now >= f.from && (f.routes == 0 || route < f.routes) && random.Float64() < f.part {
		p.isBad = true
		p.answer.Failed = p.answer.Failed || f.slower == 0
		slower = max(slower, f.slower)
	}
	p.answer.Pace = time.Duration(float64(p.answer.Pace) * slower)
	length := time.Duration(float64(tr.length) * slower * (0.5 + random.Float64()))
	if p.answer.Failed && tr.length > time.Second {
		length = 10 * time.Millisecond
	}
	p.at = now + length
	return p
}
