// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package membership

import (
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
)

// Voters are spread over the availability zones as evenly as the replicas allow, so that the loss
// of a zone leaves a quorum wherever that is possible. A voter moves by two changes: a caught-up
// learner of a zone with few voters is promoted, then a voter of the zone with the most is
// demoted. In between there is one voter more than configured, and the loss of as many replicas is
// borne as before.
//
// Inputs: the zones that replicas report; a replica of an earlier version reports none, and while
// the zone of any voter is unknown no voter moves.

// placementChange returns a change that brings the number and the zones of the voters closer to
// the intended ones.
func (c memberCheck) placementChange(voters int) (raft.ChangeMember, bool) {
	if !c.votersAlive() {
		return raft.ChangeMember{}, false
	}
	if c.voterCount() > voters {
		id, ok := c.surplusVoter()
		return demotion(id), ok
	}
	id, ok := c.betterPlacedLearner()
	return promotion(id), ok
}

// votersAlive reports whether all voters have replied recently.
func (c memberCheck) votersAlive() bool {
	for _, m := range c.raft.Members() {
		if m.Voter && !c.isAlive(m.ID) {
			return false
		}
	}
	return true
}

// surplusVoter returns a voter other than the leader in the zone with the most voters.
func (c memberCheck) surplusVoter() (ident.Host, bool) {
	perZone, _ := c.votersPerZone()
	best, most := ident.Host(""), 0
	for _, m := range c.raft.Members() {
		zone, _ := c.zones.Get(m.ID)
		if m.Voter && m.ID != c.self && perZone[zone] > most {
			best, most = m.ID, perZone[zone]
		}
	}
	return best, best != ""
}

// betterPlacedLearner returns a caught-up learner whose zone has at least two voters fewer than
// another one.
func (c memberCheck) betterPlacedLearner() (ident.Host, bool) {
	perZone, allKnown := c.votersPerZone()
	id, ok := c.bestLearner()
	zone, known := c.zones.Get(id)
	if !ok || !known || !allKnown {
		return "", false
	}
	const worthMoving = 2
	return id, mostVoters(perZone) >= perZone[zone]+worthMoving
}

// bestLearner returns the learner to promote next: one that is alive and has the whole committed
// log, in a zone with as few voters as possible.
func (c memberCheck) bestLearner() (ident.Host, bool) {
	perZone, _ := c.votersPerZone()
	best, fewest := ident.Host(""), 0
	for _, m := range c.raft.Members() {
		if m.Voter || !c.isAlive(m.ID) || c.raft.Match(m.ID) < c.raft.CommitIndex() {
			continue
		}
		zone, _ := c.zones.Get(m.ID)
		if n := perZone[zone]; best == "" || n < fewest {
			best, fewest = m.ID, n
		}
	}
	return best, best != ""
}

// votersPerZone returns the number of voters in each zone, and whether the zones of all voters
// are known. Voters of unknown zones are counted under the empty zone.
func (c memberCheck) votersPerZone() (perZone map[ident.Zone]int, allKnown bool) {
	return votersPerZone(c.raft, c.zones.Get)
}

func votersPerZone(r raft.State, zoneOf func(ident.Host) (ident.Zone, bool)) (perZone map[ident.Zone]int, allKnown bool) {
	perZone, allKnown = map[ident.Zone]int{}, true
	for _, m := range r.Members() {
		if !m.Voter {
			continue
		}
		zone, known := zoneOf(m.ID)
		perZone[zone]++
		allKnown = allKnown && known
	}
	return perZone, allKnown
}

func mostVoters(perZone map[ident.Zone]int) int {
	most := 0
	for _, n := range perZone {
		most = max(most, n)
	}
	return most
}

// Risks are the failures that the voters of the log would not survive, and the replicas that are
// no members for lack of room. The zero value has none.
type Risks struct {
	// FatalZone is a zone whose loss would leave no quorum; "" if there is none.
	FatalZone ident.Zone
	// MissingVoters is how many voters are missing from the configured number.
	MissingVoters int
	// NotAdded is the number of replicas that request to join and find the member list full.
	NotAdded int
}

// Risks returns what the present members do not survive, as far as their zones are known; voters
// is the configured number.
func (s State) Risks(r raft.State, voters int) Risks {
	perZone, _ := votersPerZone(r, s.zones.Get)
	total := 0
	for _, n := range perZone {
		total += n
	}
	risks := Risks{MissingVoters: max(0, voters-total)}
	quorum := total/2 + 1
	for zone, n := range perZone {
		if total-n < quorum && (risks.FatalZone == "" || zone < risks.FatalZone) {
			risks.FatalZone = zone
		}
	}
	if len(r.Members()) >= MaxMembers {
		for id := range s.joinRequests.All() {
			if !r.IsMember(id) {
				risks.NotAdded++
			}
		}
	}
	return risks
}
