// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package loads tells how many requests run at each worker, in few bytes: hosts
// tell replicas what they have there, and are told the sum of what all have.
//
// # Usage
//
//	d := loads.Pack(counts)
//	sum := loads.Sum(digests)
//	for tag, n := range sum.Without(own).All() { ... }
//
// A worker is named by a tag of 24 bits. Where two workers share one, both are
// taken to carry the load of both, which keeps requests away from them but
// breaks no bound: among 910 workers in one fleet of forty, for one pair.
package loads

import (
	"encoding/binary"
	"iter"
	"slices"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// Tag names a worker.
type Tag uint32

const (
	tagBytes = 3
	tagBits  = 8 * tagBytes
	tagMask  = 1<<tagBits - 1
)

// TagOf returns the tag of a worker.
func TagOf(id ident.Target) Tag { return Tag(hash.Of(string(id)) & tagMask) }

// Counts are the requests at each worker.
type Counts map[Tag]int

// Digest is packed Counts: for each worker in the order of tags, the tag in
// three bytes, the highest first, and the count as an unsigned varint. The zero
// value is empty.
type Digest []byte

// Pack returns the counts above 0 as a digest.
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
		d = d.with(tag, c[tag])
	}
	return d
}

func (d Digest) with(tag Tag, n int) Digest {
	d = append(d, byte(tag>>16), byte(tag>>8), byte(tag)) //nolint:gosec,mnd // The three bytes of a tag.
	return binary.AppendUvarint(d, uint64(n))             //nolint:gosec // Above 0.
}

// All yields workers and their counts in the order of tags. It ends where the
// digest is damaged.
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

// maxCount is more than any worker takes; what is above it is damage.
const maxCount = 1 << 20

// Counts unpacks the digest.
func (d Digest) Counts() Counts {
	c := make(Counts, len(d)/(tagBytes+1))
	for tag, n := range d.All() {
		c[tag] += n
	}
	return c
}

// Sum adds digests up.
func Sum(digests iter.Seq[Digest]) Digest {
	total := Counts{}
	for d := range digests {
		for tag, n := range d.All() {
			total[tag] += n
		}
	}
	return Pack(total)
}

// Subtract returns what remains of a sum without one of its parts.
func (d Digest) Subtract(part Digest) Digest {
	out := make(Digest, 0, len(d))
	next, stop := iter.Pull2(part.All())
	defer stop()
	own, count, more := next()
	for tag, n := range d.All() {
		for more && own < tag {
			own, count, more = next()
		}
		if more && own == tag {
			n -= count
		}
		if n > 0 {
			out = out.with(tag, n)
		}
	}
	return out
}
