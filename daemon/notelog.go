// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/yardhall/yardhall/common/logs"
	"github.com/yardhall/yardhall/core/host"
)

// workerLines is how many lines a second are written on workers: when a large fleet starts,
// thousands register at the same time. Chosen, not measured.
const workerLines = 100

// noteLog writes a line for each change of what this process believes. All but
// those on workers are few and are always written.
type noteLog struct {
	log     logr.Logger
	now     func() time.Time
	workers logs.Budget
}

func newNoteLog(log logr.Logger) *noteLog {
	return &noteLog{log: log, now: time.Now, workers: logs.Budget{PerSecond: workerLines}}
}

func (l *noteLog) observe(n host.LogRecord) {
	if n.Kind == host.LogWorkerRegistration {
		ok, skipped := l.workers.Allow(l.now())
		if skipped > 0 {
			l.log.Info("worker lines skipped", "lines", skipped)
		}
		if !ok {
			return
		}
	}
	l.log.Info(string(n.Kind), "object", n.Object, "detail", n.Detail)
}
