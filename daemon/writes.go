// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/host"
)

type writeAnswer struct {
	result catalog.Result
	known  bool
}

// Confirm tells whether the configuration held is the newest one, as a leader
// says after the call began.
func (l *loop) Confirm(ctx context.Context, limit time.Duration) bool {
	id := uuid.NewString()
	ch := make(chan bool, 1)
	l.mu.Lock()
	l.reads[id] = ch
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.reads, id)
		l.mu.Unlock()
	}()
	l.reduce(ctx, host.ReadSubmitted{ID: id, Deadline: l.now().Add(limit)})
	select {
	case ok := <-ch:
		return ok
	case <-ctx.Done():
	case <-l.done:
	}
	return false
}

func (l *loop) answerRead(e host.AnswerRead) {
	l.mu.Lock()
	ch, ok := l.reads[e.ID]
	l.mu.Unlock()
	if ok {
		ch <- e.Current
	}
}

// Write submits a write and waits for its answer, until ctx ends or the core
// gives it up. known is false where it may or may not have been done.
func (l *loop) Write(ctx context.Context, w catalog.Write, limit time.Duration) (result catalog.Result, known bool) {
	ch := make(chan writeAnswer, 1)
	l.mu.Lock()
	l.writes[w.ID] = ch
	l.mu.Unlock()
	l.reduce(ctx, host.WriteSubmitted{Write: w, Deadline: l.now().Add(limit)})
	select {
	case a := <-ch:
		return a.result, a.known
	case <-ctx.Done():
	case <-l.done:
	}
	l.mu.Lock()
	delete(l.writes, w.ID)
	l.mu.Unlock()
	return catalog.Result{}, false
}

func (l *loop) answerWrite(e host.AnswerWrite) {
	l.mu.Lock()
	ch, ok := l.writes[e.ID]
	delete(l.writes, e.ID)
	l.mu.Unlock()
	if ok {
		ch <- writeAnswer{result: e.Result, known: e.Known}
	}
}
