// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package site

import (
	"fmt"
	"net"

	"github.com/yardhall/yardhall/core/ident"
)

// ZoneName names a zone by its number.
func ZoneName(z int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%c", 'a'+z)) }

// CutZone cuts a zone off from the others, or joins it again.
func (s *Site) CutZone(zone ident.Zone, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[zone] = cut
}

func (s *Site) blocked(a, b ident.Zone) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a != b && b != "" && (s.cut[a] || s.cut[b])
}

func (s *Site) zoneOf(id ident.Host) ident.Zone {
	for z := range s.builder.Zones {
		for h := range s.builder.HostsPerZone {
			if HostName(z, h) == id {
				return ZoneName(z)
			}
		}
	}
	return ""
}

func (s *Site) zoneOfAddress(address string) ident.Zone {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	var a, n, z, h int
	if _, err := fmt.Sscanf(ip, "%d.%d.%d.%d", &a, &n, &z, &h); err != nil {
		return ""
	}
	return ZoneName(z - 1)
}
