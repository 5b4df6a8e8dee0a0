// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/pack"
	"github.com/yardhall/yardhall/core/plan"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/core/zones"
)

// Document is a catalog as snapshots store it.
type Document struct {
	Format       int
	Time         time.Time
	Config       config.Document
	Plans        []plan.Plan
	Deltas       []Delta
	Trail        []Audit
	AuditSeq     uint64
	LoadFree     time.Time
	PlanSeq      uint64
	Fence        uint64
	Claims       []Claim
	WriteIDs     []string
	WriteAnswers []Result
	// Zones are the drained zones; absent where there was no order.
	Zones *zones.Drained `cbor:",omitempty"`
	// Rollouts are absent if there was no change of them.
	Rollouts *rollouts.State `cbor:",omitempty"`
}

// documentFormat is the version of Document.
const documentFormat = 1

// Encode returns the catalog as snapshot data.
func (c Catalog) Encode() []byte {
	d := Document{
		Format: documentFormat, Time: c.Time, Config: c.Config.Document(), Plans: c.Plans.Values(),
		Deltas: c.deltas.Values(), Trail: c.trail.Values(),
		AuditSeq: c.auditSeq, PlanSeq: c.planSeq, Fence: c.fence, LoadFree: c.loadFree,
	}
	if c.Zones.Revision > 0 {
		d.Zones = &c.Zones
	}
	if c.Rollouts.Revision > 0 {
		d.Rollouts = &c.Rollouts
	}
	for _, key := range c.claimOrder.All() {
		claim, _ := c.claims.Get(key.table())
		d.Claims = append(d.Claims, claim)
	}
	for _, id := range c.writeOrder.All() {
		w, _ := c.writes.Get(id)
		d.WriteIDs = append(d.WriteIDs, id)
		d.WriteAnswers = append(d.WriteAnswers, w.Result)
	}
	b, err := modes.enc.Marshal(d)
	if err != nil {
		panic(errors.Wrap(err, "catalog: encode a snapshot"))
	}
	return pack.Bytes(b)
}

// Decode reads snapshot data back.
func Decode(b []byte) (Catalog, error) {
	var d Document
	data, err := pack.Unpack(b)
	if err != nil {
		return Catalog{}, errors.Wrap(err, "decode snapshot")
	}
	if err := modes.dec.Unmarshal(data, &d); err != nil {
		return Catalog{}, errors.Wrap(err, "decode snapshot")
	}
	if d.Format != documentFormat {
		return Catalog{}, errors.Errorf("snapshot format %d, want %d", d.Format, documentFormat)
	}
	if len(d.WriteIDs) != len(d.WriteAnswers) {
		return Catalog{}, errors.New("snapshot with uneven write memory")
	}
	c := Catalog{
		Time: d.Time, Config: config.FromDocument(d.Config),
		auditSeq: d.AuditSeq, planSeq: d.PlanSeq, fence: d.Fence, loadFree: d.LoadFree,
	}
	if d.Zones != nil {
		c.Zones = *d.Zones
	}
	if d.Rollouts != nil {
		c.Rollouts = *d.Rollouts
	}
	for _, p := range d.Plans {
		c.Plans = c.Plans.With(p.ID, p)
	}
	for _, delta := range d.Deltas {
		delta.Change = byValue(delta.Change)
		c.deltas = c.deltas.With(uint64(delta.Version), delta)
	}
	for _, a := range d.Trail {
		c.trail = c.trail.With(a.Seq, a)
	}
	return c.withMemory(d), nil
}

// withMemory returns the catalog with the claims and writes that a snapshot remembers.
func (c Catalog) withMemory(d Document) Catalog {
	for _, claim := range d.Claims {
		c.claimSeq++
		c.claims = c.claims.With(claim.Key.table(), claim)
		c.claimOrder = c.claimOrder.With(c.claimSeq, claim.Key)
	}
	for i, id := range d.WriteIDs {
		c = c.remember(id, d.WriteAnswers[i])
	}
	return c
}
