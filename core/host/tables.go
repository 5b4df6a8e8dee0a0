// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/table"
)

// tableHistory is how many route tables back a client may be and still be sent only what
// changed. Chosen, not measured.
const tableHistory = 32

// rememberTable keeps the tables from which clients may follow. Each delta is packed once
// a version.
func (t *transition) rememberTable(cfg config.Config) {
	if !t.repliesToPolls() {
		return
	}
	t.seeded.tables = t.seeded.tables.With(cfg.Version, cfg.Gateway.WithoutSource())
	for t.seeded.tables.Len() > tableHistory {
		oldest, _, _ := t.seeded.tables.First()
		t.seeded.tables = t.seeded.tables.Without(oldest)
	}
	t.seeded.packed = table.Table[config.Version, []byte]{}
}

// packedTable is what leads from the table of a version to the newest one: a delta, or
// with base 0 the whole table.
func (t *transition) packedTable(from config.Version) (record []byte, base config.Version) {
	newest := t.currentConfig().Gateway
	old, ok := t.seeded.tables.Get(from)
	if !ok || old.Number == 0 {
		from = 0
	}
	record, ok = t.seeded.packed.Get(from)
	if !ok {
		record = newest.Packed()
		if from != 0 {
			record = old.DeltaTo(newest).Packed()
		}
		t.seeded.packed = t.seeded.packed.With(from, record)
	}
	return record, from
}
