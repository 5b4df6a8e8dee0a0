// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package popularity counts how many of a fleet's recent prompts have the same prefix. A host sees a few prompts a
// second, far too few to tell soon that a prefix has become popular. Hosts therefore report the prefixes of their prompts to a
// collector, which counts them over a short time and returns the most frequent ones.
//
// # Usage
//
//	reporter = reporter.WithPrompts(prefixes, pools, collectors, now)     // on each host
//	reporter, reports := reporter.Due(collectors, now)                    // sends each of them
//	collector = collector.WithReport(from, report, now)                   // on a collector
//	reply := collector.CountsOf(report.Prompts, now)                      // acknowledges the report
//	reporter = reporter.WithAcknowledgement(from, report.Number, now)     // on the host again
//	popular := popularity.Exceeds(reply[prefix], collector.Pools()[pool], share)
//
// Each prefix is counted by one collector, so the share of a prefix follows from that collector's counts alone, without a second hop.
// Counts decay exponentially, as in a moving average, so that a share follows a change within about decayTime.
package popularity

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

const (
	// decayTime is the time constant of the counts.
	decayTime = 500 * time.Millisecond
	// minCount is the count below which a prefix is not returned, minKept that below which it is forgotten.
	minCount = 3
	minKept  = 0.1
	// maxTop bounds the prefixes that are returned, maxKept those that are counted.
	maxTop  = 24
	maxKept = 4096
	// minNews is the least count of a prefix that has become frequent, newsFactor the least factor by which it has.
	minNews    = 5
	newsFactor = 1.5
	// maxRampFactor bounds the growth that is expected of the count of a prefix that has just become frequent.
	maxRampFactor = 3.0
	// maxReported bounds the prompts of a prefix in a report; a larger number means corruption.
	maxReported = 1 << 20
)

// Tag identifies a prefix within a pool, or the pool itself, which counts all of its prompts. If two tags collide, a prefix may
// be taken for popular, which costs a reading of it at other engines.
type Tag uint32

// TagOf returns the tag of a prefix in a pool.
func TagOf(pool ident.Service, prefix hash.Key) Tag {
	return Tag(hash.Mix(prefix, hash.Of(string(pool)))) //nolint:gosec // The low bits.
}

// PoolTag returns the tag of all prompts to a pool.
func PoolTag(pool ident.Service) Tag { return TagOf(pool, 0) }

// Counts are numbers of prompts by tag. The zero value is empty.
type Counts map[Tag]float64

// With returns the counts with n more prompts.
func (c Counts) With(tag Tag, n float64) Counts {
	next := make(Counts, len(c)+1)
	maps.Copy(next, c)
	next[tag] += n
	return next
}

// Plus returns the sums of two counts.
func (c Counts) Plus(other Counts) Counts {
	switch {
	case len(c) == 0:
		return other
	case len(other) == 0:
		return c
	}
	next := maps.Clone(c)
	for tag, n := range other {
		next[tag] += n
	}
	return next
}

// tagBytes is the size of an encoded tag.
const tagBytes = 4

// Pack encodes the counts, rounded: for each tag, in their order, four bytes and an unsigned varint.
func Pack(c Counts) []byte {
	packed := make([]byte, 0, len(c)*(tagBytes+1))
	for _, tag := range slices.Sorted(maps.Keys(c)) {
		if n := math.Round(c[tag]); n > 0 {
			packed = binary.BigEndian.AppendUint32(packed, uint32(tag))
			packed = binary.AppendUvarint(packed, uint64(n))
		}
	}
	return packed
}

// Unpack decodes counts. It stops where they are corrupt.
func Unpack(packed []byte) Counts {
	c := make(Counts, len(packed)/(tagBytes+1))
	for len(packed) > tagBytes && len(c) < maxKept {
		tag := Tag(binary.BigEndian.Uint32(packed))
		n, size := binary.Uvarint(packed[tagBytes:])
		if size <= 0 || n > maxReported {
			break
		}
		c[tag] += float64(n)
		packed = packed[tagBytes+size:]
	}
	return c
}

// Sketch holds decaying counts. It is immutable; the zero Sketch is empty.
type Sketch struct{ counts table.Table[Tag, decaying] }

// decaying is a count as of a time.
type decaying struct {
	count float64
	asOf  time.Time
}

// at returns the count at a time.
func (d decaying) at(now time.Time) float64 { return d.after(now, decayTime) }

// after returns the count at a time with another time constant.
func (d decaying) after(now time.Time, timeConstant time.Duration) float64 {
	return d.count * math.Exp(-max(0, now.Sub(d.asOf).Seconds())/timeConstant.Seconds())
}

// WithReport returns the sketch with the prompts of a report.
func (s Sketch) WithReport(c Counts, now time.Time) Sketch {
	for _, tag := range slices.Sorted(maps.Keys(c)) {
		previous, known := s.counts.Get(tag)
		if !known && s.counts.Len() >= maxKept {
			continue
		}
		s.counts = s.counts.With(tag, decaying{previous.at(now) + c[tag], now})
	}
	return s
}

// IsEmpty reports whether nothing is counted.
func (s Sketch) IsEmpty() bool { return s.counts.Len() == 0 }

// Cleaned returns the sketch without counts that have decayed to nearly nothing.
func (s Sketch) Cleaned(now time.Time) Sketch {
	for tag, d := range s.counts.All() {
		if d.at(now) < minKept {
			s.counts = s.counts.Without(tag)
		}
	}
	return s
}

// Top returns the highest counts, of pools and of their most frequent prefixes.
func (s Sketch) Top(now time.Time) Counts {
	c := Counts{}
	for tag, d := range s.counts.All() {
		if n := d.at(now); n >= minCount {
			c[tag] = n
		}
	}
	if len(c) <= maxTop {
		return c
	}
	tags := slices.SortedFunc(maps.Keys(c), func(a, b Tag) int {
		return cmp.Or(cmp.Compare(c[b], c[a]), cmp.Compare(a, b))
	})
	for _, tag := range tags[maxTop:] {
		delete(c, tag)
	}
	return c
}

// IsNews reports whether a prefix has become much more frequent than in earlier counts.
func (c Counts) IsNews(earlier Counts) bool {
	for tag, n := range c {
		if n >= minNews && n >= newsFactor*earlier[tag] {
			return true
		}
	}
	return false
}

// Below returns the counts, none of them above those of others.
func (c Counts) Below(others Counts) Counts {
	next := make(Counts, len(c))
	for tag, n := range c {
		if limit := min(n, others[tag]); limit > 0 {
			next[tag] = limit
		}
	}
	return next
}

// Exceeds reports whether significantly more of a pool's prompts have a prefix than a given share of them, at two standard
// deviations.
func Exceeds(prefix, pool, share float64) bool {
	expected := pool * share
	return prefix >= max(minCount, expected+2*math.Sqrt(expected))
}

// IsFrequent reports whether a prefix with a count may be popular.
func IsFrequent(count float64) bool { return count >= minCount }

// Decayed returns a count after a time without prompts.
func Decayed(count float64, d time.Duration) float64 {
	return count * math.Exp(-max(0, d.Seconds())/decayTime.Seconds())
}

// Rate returns the prompts a second of a count.
func Rate(count float64) float64 { return count / decayTime.Seconds() }

// RampFactor returns by how much the count of a prefix that became frequent some time ago may still grow at the same rate.
func RampFactor(d time.Duration) float64 {
	risen := 1 - math.Exp(-max(0, d.Seconds())/decayTime.Seconds())
	return 1 / max(1/maxRampFactor, risen)
}
