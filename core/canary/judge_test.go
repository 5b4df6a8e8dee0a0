// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package canary_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/canary"
	"github.com/yardhall/yardhall/core/rollouts"
)

var (
	runs  = flag.Int("runs", 50, "simulated rollouts of each case of a good version, and 25 times those of a bad one")
	table = flag.Bool("table", false, "print the tables of docs/design/rollouts.md")
)

var (
	rates    = []float64{5, 50, 150, 500}
	troubles = []trouble{
		{name: "none", length: 300 * time.Millisecond},
		{name: "streams of 3 s", length: 3 * time.Second},
		{name: "streams of 5 s", length: 5 * time.Second},
		{name: "0.08 slow", slow: 0.08, length: 300 * time.Millisecond},
		{name: "0.3 slow from 3 s on", slow: 0.3, from: 3 * time.Second, length: 300 * time.Millisecond},
		{name: "0.1 slow, streams of 2 s", slow: 0.1, length: 2 * time.Second},
		{name: "0.02 fail at once, streams of 3 s", failed: 0.02, length: 3 * time.Second},
		{name: "0.2 fail from 3 s on", failed: 0.2, from: 3 * time.Second, length: 300 * time.Millisecond},
		{name: "0.3 of callers give up, streams of 2 s", givesUp: 0.3, length: 2 * time.Second},
	}
	faults = []fault{
		{name: "fails"},
		{name: "fails from 2.7 s on", from: 2700 * time.Millisecond},
		{name: "fails from 6 s on", from: 6 * time.Second},
		{name: "fails on a route of three", routes: 1},
		{name: "slow", slower: 4},
		{name: "slow from 2.7 s on", slower: 4, from: 2700 * time.Millisecond},
		{name: "slow from 6 s on", slower: 4, from: 6 * time.Second},
		{name: "slow on a route of three", slower: 4, routes: 1},
	}
)

// tally sums the results of simulated rollouts.
type tally struct {
	rejected, undecided, complete int
	// exposed is the most requests that a version got that was reverted, late the most bad answers known
	// at a judgement that did not reject it.
	exposed, late int
}

func (n tally) plus(o tally) tally {
	return tally{
		rejected: n.rejected + o.rejected, undecided: n.undecided + o.undecided, complete: n.complete + o.complete,
		exposed: max(n.exposed, o.exposed), late: max(n.late, o.late),
	}
}

func (n tally) String() string {
	return fmt.Sprintf("%d / %d / %d, %d", n.rejected, n.undecided, n.complete, n.exposed)
}

// tallies simulates a fault under each of the troubles, at each rate.
func tallies(f fault, under []trouble, runs int) [][]tally {
	results := make([][]tally, len(under))
	var all sync.WaitGroup
	for i, tr := range under {
		results[i] = make([]tally, len(rates))
		all.Go(func() {
			for k, rate := range rates {
				for seed := range runs {
					r := simulate(rate, f, tr, uint64(seed))
					n := tally{late: r.before}
					switch {
					case r.isBad:
						n.rejected, n.exposed = 1, r.exposed
					case r.rollout.Phase == rollouts.Complete:
						n.complete = 1
					default:
						n.undecided, n.exposed = 1, r.exposed
					}
					results[i][k] = results[i][k].plus(n)
				}
			}
		})
	}
	all.Wait()
	return results
}

func printRow(title string, row []tally) {
	if !*table {
		return
	}
	fmt.Print("| " + title)
	for _, n := range row {
		fmt.Print(" | " + n.String())
	}
	fmt.Println(" |")
}

// TestGoodVersionIsRarelyRejected guards against rejecting more than 0.001 of the good versions under
// troubles of both versions. The bound is four standard deviations above the expected number.
func TestGoodVersionIsRarelyRejected(t *testing.T) {
	var sum tally
	for i, row := range tallies(fault{}, troubles, *runs) {
		printRow(troubles[i].name, row)
		for _, n := range row {
			sum = sum.plus(n)
		}
	}
	expected := 0.001 * float64(*runs*len(troubles)*len(rates))
	require.LessOrEqual(t, float64(sum.rejected), expected+4*math.Sqrt(expected))
}

// TestEstimatedShareRarelyRejects guards against taking the share observed of the current version for
// its true one: both versions fail 0.1 of as many answers.
func TestEstimatedShareRarelyRejects(t *testing.T) {
	const rolloutsRun = 2000
	rejected := 0
	for seed := range uint64(rolloutsRun) {
		random := rand.New(rand.NewPCG(seed, 2))
		var e canary.Evidence
		for range 25 {
			e = e.Merge(times(times(canary.Evidence{}, current, 20, binomial(random, 20, 0.1)), next, 20, binomial(random, 20, 0.1)))
			if e.Judge(7).Verdict == rollouts.Bad {
				rejected++
				break
			}
		}
	}
	expected := 0.001 * rolloutsRun
	require.LessOrEqual(t, float64(rejected), expected+4*math.Sqrt(expected))
}

func binomial(random *rand.Rand, n int, p float64) (k int) {
	for range n {
		if random.Float64() < p {
			k++
		}
	}
	return k
}

// TestFiftyBadAnswersAreEnough guards against a version that is bad at once or from the middle of the
// trial on and is not rejected by its 50th bad answer, at parts of bad answers of 0.2 and more, and
// against one that is bad from its end on and is not rejected by its 120th.
func TestFiftyBadAnswersAreEnough(t *testing.T) {
	for _, f := range faults {
		for _, part := range []float64{0.1, 0.2, 0.5, 1} {
			f.part = part
			results := tallies(f, troubles, max(1, *runs/25))
			sums := make([]tally, len(rates))
			for i, row := range results {
				for k, n := range row {
					sums[k] = sums[k].plus(n)
					if part < 0.2 || troubles[i].slow > 0.1 || troubles[i].failed > 0.1 {
						continue
					}
					allowed := 50
					if f.from > 5*time.Second {
						allowed = 120
					}
					require.Less(t, n.late, allowed, "%s, part %.1f, %s, %.0f requests/s", f.name, part, troubles[i].name, rates[k])
				}
			}
			printRow(fmt.Sprintf("%s, %.1f | none", f.name, part), results[0])
			printRow(fmt.Sprintf("%s, %.1f | any", f.name, part), sums)
		}
	}
}
