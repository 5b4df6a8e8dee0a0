// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package zones holds which availability zones the operators have drained: nothing new is
// sent to the targets of such a zone until it is taken back. What is in progress there ends
// as it would.
//
// The state is replicated (core/catalog), apart from the route table: no route table changes
// it. Each order that changes a zone gets the next revision, so of two states the one of the
// higher revision is the later one. Hosts keep the latest that they were sent, and serve by
// it under the same lease as by the route table (core/host zones.go).
//
// An order names the revision that its zone had where the order was received, and changes
// nothing once another order for the zone came first: so one that is held up on its way does
// not undo a later one, and of two that race the first in the log decides. The other one is
// answered as overtaken, and may be sent again.
//
// # Usage
//
//	next, done := d.With(zones.Change{Zone: "hall-a", Drained: true, Seen: d.RevisionOf("hall-a")})
//	if next.Has(worker.Zone) { ... }
package zones

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
)

const (
	// maxZones bounds the zones remembered, so that names which are invented cannot fill the
	// memory: ten times the zones that are designed for.
	maxZones = 64
	// maxNameLength bounds the name of a zone, in bytes, as in registrations.
	maxNameLength = 256
)

// Order is the newest order that changed a zone. Its fields travel and are stored by their
// names.
type Order struct {
	Zone    ident.Zone
	Drained bool
	// Revision is that of the state which the order led to.
	Revision uint64
}

// Drained says which zones are drained. It is immutable; the zero value is that of a fleet
// that had no order. Its fields travel and are stored by their names.
type Drained struct {
	// Revision counts the orders that changed a zone.
	Revision uint64
	// Orders are the newest ones by zone, in the order of the zones' names; never changed
	// in place.
	Orders []Order
}

// Change asks for a zone to be drained or taken back.
type Change struct {
	Zone    ident.Zone
	Drained bool
	// Seen is the revision of the zone's newest order where this one was received.
	Seen uint64
}

// Outcome is what became of a Change.
type Outcome int

// Outcomes. Only Done leaves the zone as the change wants it.
const (
	// Done means that the zone is as asked for, perhaps already before.
	Done Outcome = iota
	// Superseded means that another order for the zone came first.
	Superseded
	// TooMany means that no more zones can be remembered.
	TooMany
)

// Validate returns what is wrong with the change, or nil.
func (c Change) Validate() error {
	if c.Zone == "" || len(c.Zone) > maxNameLength {
		return errors.New("the zone's name is empty or too long")
	}
	return nil
}

// find returns where a zone's order stands, or would stand.
func (d Drained) find(zone ident.Zone) (at int, found bool) {
	return slices.BinarySearchFunc(d.Orders, zone, func(o Order, z ident.Zone) int {
		return strings.Compare(string(o.Zone), string(z))
	})
}

// newest returns the newest order for a zone; zero for none.
func (d Drained) newest(zone ident.Zone) Order {
	if at, found := d.find(zone); found {
		return d.Orders[at]
	}
	return Order{}
}

// IsDrained tells whether a zone is drained.
func (d Drained) IsDrained(zone ident.Zone) bool { return d.newest(zone).Drained }

// RevisionOf is the revision of a zone's newest order; 0 where there was none.
func (d Drained) RevisionOf(zone ident.Zone) uint64 { return d.newest(zone).Revision }

// Apply returns the state after a change, and what became of the change.
func (d Drained) Apply(c Change) (Drained, Outcome) {
	at, found := d.find(c.Zone)
	have := d.newest(c.Zone)
	switch {
	case have.Drained == c.Drained:
		return d, Done
	case have.Revision != c.Seen:
		return d, Superseded
	case !found && len(d.Orders) >= maxZones:
		return d, TooMany
	}
	d.Revision++
	d.Orders = slices.Clone(d.Orders)
	next := Order{Zone: c.Zone, Drained: c.Drained, Revision: d.Revision}
	if found {
		d.Orders[at] = next
	} else {
		d.Orders = slices.Insert(d.Orders, at, next)
	}
	return d, Done
}

// Latest returns the later one of two states.
func (d Drained) Latest(other Drained) Drained {
	if other.Revision > d.Revision {
		return other
	}
	return d
}

// DrainedZones are the zones that are drained, by name.
func (d Drained) DrainedZones() []ident.Zone {
	var out []ident.Zone
	for _, o := range d.Orders {
		if o.Drained {
			out = append(out, o.Zone)
		}
	}
	return out
}

// OrdersSince are the orders after a revision.
func (d Drained) OrdersSince(revision uint64) []Order {
	return slices.DeleteFunc(slices.Clone(d.Orders), func(o Order) bool { return o.Revision <= revision })
}
