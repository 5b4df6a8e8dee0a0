// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// Package requests tells which workers this host found replaced; here that is reported in
// polls, by hubs also for the hosts that poll them, and taken by replicas.

// ReplacedWorker reports a worker at whose address another process answered, Age ago. Its
// fields travel by their names.
type ReplacedWorker struct {
	Worker ident.Target
	Born   registry.Incarnation
	Age    time.Duration
}

// replacedReport are the workers found replaced lately, here or at the clients of this hub.
func (t *transition) replacedReport() []ReplacedWorker {
	all := t.seeded.replacements
	for _, one := range t.requests.Replacements().Recent(t.now) {
		all = all.With(one, t.now)
	}
	lately := all.Recent(t.now)
	out := make([]ReplacedWorker, 0, len(lately))
	for _, one := range lately {
		out = append(out, ReplacedWorker{Worker: one.Worker, Born: one.Born, Age: t.now.Sub(one.SeenAt)})
	}
	return out
}

// replacedReceived takes what a client reports.
func (t *transition) replacedReceived(from ident.Host, reported []ReplacedWorker) {
	for _, r := range reported {
		seenAt := t.now.Add(-max(0, r.Age))
		if !t.settings.IsReplica() {
			// Only who hears the worker's heartbeats can tell that it lives after all.
			one := requests.Replacement{Worker: r.Worker, Born: r.Born, SeenAt: seenAt}
			t.seeded.replacements = t.seeded.replacements.With(one, t.now)
			continue
		}
		next, changed := t.registry.WithReplaced(r.Worker, r.Born, seenAt)
		t.registry = next
		if changed {
			t.log(LogWorkerRegistration, string(r.Worker), fmt.Sprintf("state=silent born=%s, as another process answers there, by %s", r.Born, from))
		}
	}
}
