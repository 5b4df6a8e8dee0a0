// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"slices"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// addressEntry says that a worker was registered at an address with that hash, the order-th of all.
type addressEntry struct {
	hash  uint32
	order uint32
	id    ident.Target
}

// addressIndex finds the workers that were registered at an address, in the order in which they came.
// It is immutable; the zero value is empty. As addresses are held as hashes, a worker of another
// address may be among those found.
type addressIndex struct {
	entries pagedList[addressEntry]
	next    uint32
}

func addressHash(address string) uint32 { return uint32(hash.Of(address)) } //nolint:gosec // The low half of the hash.

// At returns the workers at an address.
func (x addressIndex) At(address string) []ident.Target {
	var out []ident.Target
	for e := range x.at(addressHash(address)) {
		out = append(out, e.id)
	}
	return out
}

func (x addressIndex) at(sum uint32) func(yield func(*addressEntry) bool) {
	return func(yield func(*addressEntry) bool) {
		for e := range x.entries.From(func(e *addressEntry) int { return beforeHash(e, sum) }) {
			if e.hash != sum || !yield(e) {
				return
			}
		}
	}
}

// beforeHash finds the first entry of a hash; none equals what is sought, as several may have it.
func beforeHash(e *addressEntry, sum uint32) int {
	if e.hash < sum {
		return -1
	}
	return 1
}

// With adds a worker at an address. The entry keeps id, so that ids and workers share their memory.
func (x addressIndex) With(address string, id ident.Target) addressIndex {
	if address == "" {
		return x
	}
	added := addressEntry{hash: addressHash(address), order: x.next, id: id}
	for e := range x.at(added.hash) {
		if e.id == id {
			added.order = e.order
		}
	}
	if added.order == x.next {
		x.next++
	}
	x.entries = x.entries.With(added, added.compare)
	return x
}

// Without removes a worker at an address.
func (x addressIndex) Without(address string, id ident.Target) addressIndex {
	here := slices.Collect(x.at(addressHash(address)))
	for _, e := range here {
		if e.id == id {
			x.entries = x.entries.Without(e.compare)
		}
	}
	return x
}

func (e *addressEntry) compare(other *addressEntry) int {
	return cmp.Or(cmp.Compare(other.hash, e.hash), cmp.Compare(other.order, e.order))
}
