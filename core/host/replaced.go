// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// Package requests detects replaced workers on this host. This file reports them in polls, on
// hubs also for their clients, and applies the reports on replicas.

// ReplacedWorker reports a worker at whose address another process answered, Age ago. Gob
// identifies its fields by name, so they must not be renamed.
type ReplacedWorker struct {
	Worker ident.Target
	Born   registry.Incarnation
	Age    time.Duration
}

// replacedReport returns the workers recently found replaced by this host or by the clients of
// this hub.
func (t *transition) replacedReport() []ReplacedWorker {
	replacements := t.seeded.replacements
	for _, replaced := range t.requests.Replacements().Recent(t.now) {
		replacements = replacements.With(replaced, t.now)
	}
	recent := replacements.Recent(t.now)
	out := make([]ReplacedWorker, 0, len(recent))
	for _, one := range recent {
		out = append(out, ReplacedWorker{Worker: one.Worker, Born: one.Born, Age: t.now.Sub(one.SeenAt)})
	}
	return out
}

// applyReplacements applies the replaced workers that a client reports.
func (t *transition) applyReplacements(from ident.Host, reported []ReplacedWorker) {
	for _, r := range reported {
		seenAt := t.now.Add(-max(0, r.Age))
		if !t.settings.IsReplica() {
			// Only replicas, which receive the worker's heartbeats, can tell whether it is
			// still alive, so a hub just forwards the report.
			replacement := requests.Replacement{Worker: r.Worker, Born: r.Born, SeenAt: seenAt}
			t.seeded.replacements = t.seeded.replacements.With(replacement, t.now)
			continue
		}
		next, changed := t.registry.WithReplaced(r.Worker, r.Born, seenAt)
		t.registry = next
		if changed {
			t.log(LogWorkerRegistration, string(r.Worker), fmt.Sprintf("state=silent born=%s replaced by another process, reported by %s", r.Born, from))
		}
	}
}
