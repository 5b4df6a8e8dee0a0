// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/targets"
)

func (l *loop) carryOut(ctx context.Context, e host.Effect) {
	switch e := e.(type) {
	case host.Send:
		l.pool.Send(e.To, e.Message)
	case host.Persist:
		l.disk.queue(e.Persist)
	case host.PersistCrashes:
		l.crashes.keep(e.Entries, time.Now())
	case host.Dispatch:
		l.toCall(e.Request, e, false)
	case host.Finish:
		l.toCall(e.Request, e, true)
	case host.Probe:
		go l.probe(ctx, e.Target)
	case host.SendOrder:
		go l.order(ctx, e)
	case host.AnswerWrite:
		l.answerWrite(e)
	case host.LogRecord:
		l.notes.observe(e)
	case host.LookUpAnswer:
		l.lookUp(e)
	case host.UpdateHostAddresses:
		l.pool.SetAddresses(e.Hosts)
	case host.AnswerRead:
		l.answerRead(e)
	case host.PersistDepartures:
		l.departureDisk.put(e.Record)
	case host.PersistOrigins:
		l.origins.put(e.Report)
	case host.DepartureProgressed:
		l.departures.end(e.Worker)
	}
}

// lookUp sends a kept answer to the host that asked for it.
func (l *loop) lookUp(e host.LookUpAnswer) {
	m := host.AnswerOf{For: e.For, Answer: l.answers.Get(e.Request)}
	if self := l.state.Load().ID(); e.To == self {
		// The loop cannot wait for itself.
		go l.post(host.MessageReceived{From: self, Message: m})
		return
	}
	l.pool.Send(e.To, m)
}

func (l *loop) probe(ctx context.Context, t config.Target) {
	load, err := l.targets.FetchLoad(ctx, t.Address)
	if ctx.Err() != nil {
		return
	}
	l.post(host.LoadReported{
		Target: t.ID, Failed: err != nil, Refused: targets.IsConnRefused(err), Incarnation: load.Boot, Seq: load.Seq, InFlight: load.InFlight, Leaving: load.Leaving,
	})
}

// orderTimeout bounds an order to an engine, loading included. Chosen, not measured.
const orderTimeout = 4 * time.Minute

func (l *loop) order(ctx context.Context, e host.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := l.targets.SendOrder(ctx, targets.FencedOrder{
		Address: e.Order.Target.Address, NotAfter: e.Order.NotAfter, ReadFirst: e.ReadFirst,
		Body: targets.OrderBody{Token: e.Order.Token, Action: e.Order.Action, Model: e.Order.Model},
	}, l.now)
	ended := host.OrderEnded{Order: e.Order, OK: err == nil}
	if err != nil {
		ended.Error = err.Error()
	}
	l.post(ended)
}
