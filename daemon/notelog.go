// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/yardhall/yardhall/common/logs"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// workerLines is how many lines a second are written on workers, and as many on those that leave: when a
// large fleet starts, thousands register at the same time.
const workerLines = 100

// orderLines is how many lines a second are written on rejected orders, so that a client that
// resends one without pause does not displace other lines. Chosen, not measured.
const orderLines = 20

// noteLog writes a line for each change of what this process believes. All but
// those on workers are few and are always written.
type noteLog struct {
	log     logr.Logger
	now     func() time.Time
	workers logs.Budget
	leaving logs.Budget
	orders  logs.Budget
}

func newNoteLog(log logr.Logger) *noteLog {
	return &noteLog{log: log, now: time.Now, workers: logs.Budget{PerSecond: workerLines}, leaving: logs.Budget{PerSecond: workerLines}, orders: logs.Budget{PerSecond: orderLines}}
}

func (l *noteLog) observe(n host.LogRecord) {
	if n.Kind == host.LogWorkerRegistration {
		budget := &l.workers
		if n.Leaving {
			budget = &l.leaving
		}
		ok, skipped := budget.Allow(l.now())
		if skipped > 0 {
			l.log.Info("worker lines skipped", "lines", skipped)
		}
		if !ok {
			return
		}
	}
	l.log.Info(string(n.Kind), "object", n.Object, "detail", n.Detail)
}

// observeRejectedOrder logs an order of a rollout that was answered with 400.
func (l *noteLog) observeRejectedOrder(service ident.Service, reason string) {
	ok, skipped := l.orders.Allow(l.now())
	if skipped > 0 {
		l.log.Info("rollout lines skipped", "lines", skipped)
	}
	if ok {
		l.log.Info(logOrderRejected, "service", fmt.Sprintf("%.80s", service), "reason", reason)
	}
}
