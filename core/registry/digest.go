// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import (
	"iter"
	"strconv"

	"github.com/yardhall/yardhall/core/hash"
)

// Digest identifies a set of registrations by what hosts act on: all fields of a worker but its
// sequence number and its cold time, or of one that is gone only its incarnation. A host that knows
// the same set as a hub need not be sent it. 0 stands for no workers.
type Digest uint64

// DigestOf returns the digest of a set of workers, in whatever order.
func DigestOf(workers iter.Seq[Worker]) Digest {
	var sum Digest
	for w := range workers {
		sum += w.digest()
	}
	return sum
}

// Digest returns the digest of all workers known here.
func (r Registry) Digest() Digest { return r.digest }

// digest returns the digest of one worker; those of a set are added up.
func (w Worker) digest() Digest {
	incarnation := strconv.FormatInt(int64(w.Born), 10)
	if w.State == Gone {
		return Digest(hash.Of(string(w.ID), incarnation, w.State.String()))
	}
	parts := []string{string(w.ID), incarnation, w.State.String(), string(w.Pool), string(w.Zone), w.Address, strconv.Itoa(w.Slots)}
	if w.Version != "" {
		// Without a version the digest is the one of programs that do not know versions.
		parts = append(parts, string(w.Version))
	}
	return Digest(hash.Of(parts...))
}
