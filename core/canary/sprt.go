// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package canary

import "math"

const (
	// rejectError is the probability that a good version is rejected, over all tests of a rollout.
	rejectError = 0.001
	// acceptError is the probability that one test accepts a bad version.
	acceptError = 0.05
	// maxTests is the number of tests in a window: two indicators, for each route, the rest and all
	// routes together.
	maxTests = 2 * (maxRoutes + 2)
	// minShare is the least share of bad answers assumed of the current version, minDifference what a
	// bad version has above it, at most up to maxShare.
	minShare      = 0.01
	minDifference = 0.1
	maxShare      = 0.95
	// confidence is the number of standard deviations from the observed share to the upper bound of
	// the current version's share. At 0 a test for minDifference at a level of 0.001 rejects
	// up to 0.097 of the good versions with as many answers as the current one, at 1 0.011, at 2 0.0004.
	confidence = 2.0
)

// sample is a number of answers and how many of them were bad.
type sample struct{ bad, answers float64 }

func sampleOf(bad, answers int) sample { return sample{bad: float64(bad), answers: float64(answers)} }

func (s sample) plus(o sample) sample {
	return sample{bad: s.bad + o.bad, answers: s.answers + o.answers}
}

// withGood returns the sample with n more answers, none of them bad.
func (s sample) withGood(n float64) sample { return sample{bad: s.bad, answers: s.answers + n} }

func (s sample) times(f float64) sample { return sample{bad: s.bad * f, answers: s.answers * f} }

// differences are those that rejections test against, with equal weights. The mean of their likelihood
// ratios is a likelihood ratio again, so the error rate stays (Wald, section 6: weight functions). With
// minDifference alone a version that fails all answers is rejected after some 100 of them while the
// current version fails 0.2 of its own.
var differences = [...]float64{minDifference, 0.3, 0.6}

// isRejected reports whether the i-th window, from 1 on, of the new version has so many more bad
// answers than the current version that the version is bad.
func (s sample) isRejected(current sample, i int) bool {
	part := rejectError / (maxTests * float64(i) * float64(i+1))
	p, mean := current.upperBound(), 0.0
	for _, d := range differences {
		mean += math.Exp(s.logRatio(p, d)) / float64(len(differences))
	}
	return mean >= (1-acceptError)/part
}

// isAccepted reports whether the new version has no more bad answers than the current one.
func (s sample) isAccepted(current sample) bool {
	return s.logRatio(current.share(), minDifference) <= math.Log(acceptError/(1-rejectError/maxTests))
}

// logRatio returns the logarithm of the likelihood ratio of the share p + difference to p.
func (s sample) logRatio(p, difference float64) float64 {
	low := max(p, minShare)
	high := min(low+difference, maxShare)
	if high <= low {
		return 0
	}
	return s.bad*math.Log(high/low) + (s.answers-s.bad)*math.Log((1-high)/(1-low))
}

func (s sample) share() float64 { return s.bad / max(1, s.answers) }

// upperBound returns the upper end of Wilson's score interval (E. B. Wilson, "Probable Inference, the
// Law of Succession, and Statistical Inference", 1927); 1 without answers. With the observed share
// instead, more good versions than rejectError are rejected where both versions have about as many
// answers, as TestEstimatedShareRarelyRejects shows.
func (s sample) upperBound() float64 {
	n, p, z := s.answers, s.share(), confidence
	if s.answers == 0 {
		return 1
	}
	centre := p + z*z/(2*n)
	spread := z * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	return min(1, (centre+spread)/(1+z*z/n))
}
