// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/table"
)

// tableHistory is how many route tables a client may be behind and still be sent a delta.
const tableHistory = 32

// recordTable keeps a table as a base for deltas and discards the packed deltas to older
// versions.
func (t *transition) recordTable(cfg config.Config) {
	if !t.repliesToPolls() {
		return
	}
	t.seeded.recentTables = t.seeded.recentTables.With(cfg.Version, cfg.Gateway.WithoutSource())
	for t.seeded.recentTables.Len() > tableHistory {
		oldest, _, _ := t.seeded.recentTables.First()
		t.seeded.recentTables = t.seeded.recentTables.Without(oldest)
	}
	t.seeded.packedTables = table.Table[config.Version, []byte]{}
}

// packedTable returns the packed delta from the table of a version to the newest one, or with
// base 0 the whole table.
func (t *transition) packedTable(from config.Version) (record []byte, base config.Version) {
	newest := t.currentConfig().Gateway
	old, ok := t.seeded.recentTables.Get(from)
	if !ok || old.Number == 0 {
		from = 0
	}
	record, ok = t.seeded.packedTables.Get(from)
	if !ok {
		record = newest.Packed()
		if from != 0 {
			record = old.DeltaTo(newest).Packed()
		}
		t.seeded.packedTables = t.seeded.packedTables.With(from, record)
	}
	return record, from
}
