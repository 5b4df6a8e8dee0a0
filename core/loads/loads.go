// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package loads encodes the number of requests in flight at each worker compactly. Hosts
// report their own counts to replicas and get back the sum over all hosts.
//
// # Usage
//
//	d := loads.Pack(counts)
//	sum := loads.Sum(digests)
//	for tag, n := range sum.Subtract(own).All() { ... }
//
// A worker is identified by a 24-bit tag. If the tags of two workers collide, both appear to
// carry the load of both, which diverts requests from them but violates no limit.
package loads

import (
	"encoding/binary"
	"iter"
	"math"
	"slices"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// Tag identifies a worker.
type Tag uint32

const (
	tagBytes = 3
	tagBits  = 8 * tagBytes
	tagMask  = 1<<tagBits - 1
)

// TagOf returns the tag of a worker.
func TagOf(id ident.Target) Tag { return TagOfKey(hash.Of(string(id))) }

// TagOfKey returns the tag of the worker whose id has a hash.
func TagOfKey(key hash.Key) Tag { return Tag(key & tagMask) }

// Counts are the numbers of requests in flight by worker.
type Counts map[Tag]int

// Digest is an encoding of Counts: for each worker, ordered by tag, the tag in three bytes, most
// significant first, then the count as an unsigned varint. The zero value is empty.
type Digest []byte

// Pack encodes the counts above 0.
func Pack(c Counts) Digest {
	tags := make([]Tag, 0, len(c))
	for tag, n := range c {
		if n > 0 {
			tags = append(tags, tag)
		}
	}
	slices.Sort(tags)
	d := make(Digest, 0, len(tags)*(tagBytes+1))
	for _, tag := range tags {
		d = d.appendCount(tag, c[tag])
	}
	return d
}

func (d Digest) appendCount(tag Tag, n int) Digest {
	d = append(d, byte(tag>>16), byte(tag>>8), byte(tag)) //nolint:gosec,mnd // The three bytes of a tag.
	return binary.AppendUvarint(d, uint64(n))             //nolint:gosec // Above 0.
}

// All iterates over tags and counts in the order of tags. It stops where the digest is corrupt.
func (d Digest) All() iter.Seq2[Tag, int] {
	return func(yield func(Tag, int) bool) {
		for len(d) > tagBytes {
			tag := Tag(d[0])<<16 | Tag(d[1])<<8 | Tag(d[2])
			n, size := binary.Uvarint(d[tagBytes:])
			if size <= 0 || n > maxCount || !yield(tag, int(n)) {
				return
			}
			d = d[tagBytes+size:]
		}
	}
}

// maxCount exceeds the requests that any worker accepts; a larger count means corruption.
const maxCount = 1 << 20

// Counts decodes the digest.
func (d Digest) Counts() Counts {
	c := make(Counts, len(d)/(tagBytes+1))
	for tag, n := range d.All() {
		c[tag] += n
	}
	return c
}

// Sum returns the digest of the summed counts.
func Sum(digests iter.Seq[Digest]) Digest {
	total := Counts{}
	for d := range digests {
		for tag, n := range d.All() {
			total[tag] += n
		}
	}
	return Pack(total)
}

// Scaled returns the counts multiplied by a fraction. The fractions of requests that are left over are carried from
// tag to tag, so that the sum is right to a request.
func (d Digest) Scaled(fraction float64) Digest {
	out := make(Digest, 0, len(d))
	carry := 0.0
	for tag, n := range d.All() {
		carry += float64(n) * fraction
		if whole := int(math.Round(carry)); whole > 0 {
			out = out.appendCount(tag, whole)
			carry -= float64(whole)
		}
	}
	return out
}

// Subtract returns the sum without one of its parts.
func (d Digest) Subtract(part Digest) Digest {
	out := make(Digest, 0, len(d))
	next, stop := iter.Pull2(part.All())
	defer stop()
	partTag, partCount, more := next()
	for tag, n := range d.All() {
		for more && partTag < tag {
			partTag, partCount, more = next()
		}
		if more && partTag == tag {
			n -= partCount
		}
		if n > 0 {
			out = out.appendCount(tag, n)
		}
	}
	return out
}
