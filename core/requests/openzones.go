// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"slices"
	"unique"

	"github.com/yardhall/yardhall/core/ident"
)

// openZones holds the zones that are reachable and not drained. It remembers the placements last
// looked up, as there are few and comparing two is cheap.
type openZones struct {
	zones []ident.Zone
	known *[placementsKnown]knownPlacement
}

// placementsKnown is the number of placements remembered by an openZones.
const placementsKnown = 16

// knownPlacement says whether the zone of a placement is open.
type knownPlacement struct {
	placement unique.Handle[placement]
	isOpen    bool
}

// has reports whether the zone of a placement is open.
func (o openZones) has(p unique.Handle[placement]) bool {
	for i := range o.known {
		if o.known[i].placement == p {
			return o.known[i].isOpen
		}
	}
	isOpen := slices.Contains(o.zones, p.Value().zone)
	copy(o.known[1:], o.known[:placementsKnown-1])
	o.known[0] = knownPlacement{placement: p, isOpen: isOpen}
	return isOpen
}

// openZones returns the zones of workers that are reachable and not drained.
func (t *transition) openZones() openZones {
	o := openZones{known: &[placementsKnown]knownPlacement{}}
	for zone := range t.workers.Zones() {
		if t.isZoneReachable(zone) && !t.drainedZones.IsDrained(zone) {
			o.zones = append(o.zones, zone)
		}
	}
	return o
}
