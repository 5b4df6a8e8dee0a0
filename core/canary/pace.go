// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package canary

import (
	"cmp"
	"math"
	"time"
)

const (
	// perOctave is the number of buckets in a factor of two. A pace is known to 9 %.
	perOctave = 8
	// maxBucket bounds the buckets; the last one holds paces from 71 minutes on.
	maxBucket = 255
	// typicalPart is the part of the current version's answers that are no slower than its typical
	// pace. An answer is slow above twice that pace.
	typicalPart = 0.9
	slowOctaves = 1
)

// bucket counts paces between two powers of 2^(1/perOctave) microseconds.
type bucket struct {
	_     struct{} `cbor:",toarray"`
	At    uint8
	Count int
}

func (b bucket) compare(o bucket) int { return cmp.Compare(b.At, o.At) }

func (b bucket) merge(o bucket) bucket {
	b.Count += o.Count
	return b
}

// histogram counts paces in logarithmic buckets, of which only those with counts are kept. It is
// immutable, and merges are exact. HdrHistogram, which daemon uses, is modified in place and holds
// all buckets of its range, which is too much for a copy per answer and a message each 0.25 s.
type histogram []bucket

func histogramOf(pace time.Duration) histogram {
	at := perOctave * math.Log2(max(1, float64(pace)/float64(time.Microsecond)))
	return histogram{{At: uint8(min(at, maxBucket)), Count: 1}}
}

func (h histogram) merge(o histogram) histogram {
	if len(o) == 0 {
		return h
	}
	return mergeSorted(h, o, bucket.compare, bucket.merge)
}

func (h histogram) count() (n int) {
	for _, b := range h {
		n += b.Count
	}
	return n
}

// slowFrom returns the first bucket that is slow if h holds the paces of the current version.
func (h histogram) slowFrom() int {
	rank := int(math.Ceil(typicalPart * float64(h.count())))
	for _, b := range h {
		if rank -= b.Count; rank <= 0 {
			return int(b.At) + slowOctaves*perOctave + 1
		}
	}
	return maxBucket + 1
}

// countFrom returns the number of paces in the bucket and above it.
func (h histogram) countFrom(at int) (n int) {
	for _, b := range h {
		if int(b.At) >= at {
			n += b.Count
		}
	}
	return n
}
