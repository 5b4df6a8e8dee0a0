// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package zones records which availability zones the operators have drained: no new requests
// are sent to the targets of a drained zone until it is restored. Requests in progress there
// finish normally.
//
// The state is replicated (core/catalog) separately from the route table. Each order that
// changes a zone increments the revision, so of two states the one with the higher revision is
// the later one. Hosts keep the latest state they receive and apply it under the same lease as
// the route table (core/host zones.go).
//
// An order carries the revision that its zone had on the host that received the order, and is
// rejected as superseded if another order for the zone was committed first. A delayed order
// therefore cannot undo a later one, and of two concurrent orders the first in the log wins. A
// superseded order may be sent again.
//
// # Usage
//
//	next, outcome := d.Apply(zones.Change{Zone: "hall-a", Drained: true, Seen: d.RevisionOf("hall-a")})
//	if next.IsDrained(worker.Zone) { ... }
package zones

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
)

const (
	// maxZones bounds the zones remembered, so that orders with made-up names cannot exhaust
	// memory.
	maxZones = 64
	// maxNameLength bounds the length of a zone's name in bytes, as in registrations.
	maxNameLength = 256
)

// Order is the newest order that changed a zone. The field names are part of the wire and storage
// formats.
type Order struct {
	Zone    ident.Zone
	Drained bool
	// Revision is the revision of the state that the order created.
	Revision uint64
}

// Drained records which zones are drained. It is immutable; in the zero value no zone was ever
// drained. The field names are part of the wire and storage formats.
type Drained struct {
	// Revision counts the orders that changed a zone.
	Revision uint64
	// Orders holds the newest order of each zone, sorted by zone; never modified in place.
	Orders []Order
}

// Change is an order to drain a zone or restore it.
type Change struct {
	Zone    ident.Zone
	Drained bool
	// Seen is the revision of the zone's newest order on the host that received this one.
	Seen uint64
}

// Outcome is the result of applying a Change.
type Outcome int

// Outcomes. Only with Done is the zone as the change requires.
const (
	// Done means that the zone is in the requested state, whether or not it was before.
	Done Outcome = iota
	// Superseded means that another order for the zone was committed first.
	Superseded
	// TooMany means that no more zones can be remembered.
	TooMany
)

// Validate returns an error if zone name is empty or longer than 256 bytes.
func (c Change) Validate() error {
	if c.Zone == "" || len(c.Zone) > maxNameLength {
		return errors.New("zone name is empty or longer than 256 bytes")
	}
	return nil
}

// orderIndex returns the index of a zone's order, or the index at which to insert it.
func (d Drained) orderIndex(zone ident.Zone) (at int, found bool) {
	return slices.BinarySearchFunc(d.Orders, zone, func(o Order, z ident.Zone) int {
		return strings.Compare(string(o.Zone), string(z))
	})
}

// newestOrder returns the newest order for a zone, or the zero value.
func (d Drained) newestOrder(zone ident.Zone) Order {
	if i, found := d.orderIndex(zone); found {
		return d.Orders[i]
	}
	return Order{}
}

// IsDrained reports whether a zone is drained.
func (d Drained) IsDrained(zone ident.Zone) bool { return d.newestOrder(zone).Drained }

// RevisionOf returns the revision of a zone's newest order; 0 if there is none.
func (d Drained) RevisionOf(zone ident.Zone) uint64 { return d.newestOrder(zone).Revision }

// Apply returns the state after a change, and the outcome of the change.
func (d Drained) Apply(c Change) (Drained, Outcome) {
	i, found := d.orderIndex(c.Zone)
	newest := d.newestOrder(c.Zone)
	switch {
	case newest.Drained == c.Drained:
		return d, Done
	case newest.Revision != c.Seen:
		return d, Superseded
	case !found && len(d.Orders) >= maxZones:
		return d, TooMany
	}
	d.Revision++
	d.Orders = slices.Clone(d.Orders)
	order := Order{Zone: c.Zone, Drained: c.Drained, Revision: d.Revision}
	if found {
		d.Orders[i] = order
	} else {
		d.Orders = slices.Insert(d.Orders, i, order)
	}
	return d, Done
}

// Latest returns the later of two states.
func (d Drained) Latest(other Drained) Drained {
	if other.Revision > d.Revision {
		return other
	}
	return d
}

// DrainedZones returns the drained zones, sorted by name.
func (d Drained) DrainedZones() []ident.Zone {
	var out []ident.Zone
	for _, o := range d.Orders {
		if o.Drained {
			out = append(out, o.Zone)
		}
	}
	return out
}

// OrdersSince returns the newest orders with a revision above the given one.
func (d Drained) OrdersSince(revision uint64) []Order {
	return slices.DeleteFunc(slices.Clone(d.Orders), func(o Order) bool { return o.Revision <= revision })
}
