//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"fmt"
	"net/http"
	"time"
)

// zoneOrder is an order to drain a zone, or to take it back.
type zoneOrder struct {
	zone    string
	drained bool
	sent    time.Time
	// acked is when it was acknowledged; zero where it was not.
	acked time.Time
}

const (
	// zoneBound is the time after an acknowledgement in which a zone is drained.
	zoneBound = 5 * time.Second
	// zoneDrained is how long a zone stays drained: long enough to look at it.
	zoneDrained = 7 * time.Second
	// zonePause is the time between two zones.
	zonePause = time.Second
)

// zoneOf is the zone of a worker.
func zoneOf(n node) string { return fmt.Sprint("z", int(n)%3) }

// order sends an order to replicas until one acknowledges it or its time is over.
func (o *operator) order(zone string, drained bool, limit time.Duration) bool {
	method := http.MethodPost
	if !drained {
		method = http.MethodDelete
	}
	one := zoneOrder{zone: zone, drained: drained, sent: time.Now()}
	o.mu.Lock()
	o.orders = append(o.orders, one)
	at := len(o.orders) - 1
	o.mu.Unlock()
	for time.Since(one.sent) < limit {
		if status, _ := o.do(o.anyReplica(), method, "/v1/evacuate/"+zone, ""); status == http.StatusOK {
			o.mu.Lock()
			o.orders[at].acked = time.Now()
			o.mu.Unlock()
			return true
		}
		time.Sleep(holdPoll)
	}
	return false
}

// drainZones drains one zone after the other until stop is closed, and then takes all back.
func (o *operator) drainZones(stop <-chan struct{}) {
	wait := func(d time.Duration) (stopped bool) {
		select {
		case <-stop:
			return true
		case <-time.After(d):
			return false
		}
	}
	for n, stopped := 0, false; !stopped; n++ {
		zone := zoneOf(node(n))
		o.order(zone, true, changeTime)
		stopped = wait(zoneDrained)
		o.order(zone, false, changeTime)
		stopped = stopped || wait(zonePause)
	}
	for n := range 3 {
		o.order(zoneOf(node(n)), false, recoverBound)
	}
}

// drainedAt tells whether the zone of a run had been drained for long enough when the request
// was sent, and nothing was ordered for it since, until the run.
func (e evidence) drainedAt(r request, one run) (zoneOrder, bool) {
	var last zoneOrder
	for _, order := range e.orders {
		if order.zone == zoneOf(one.node) && order.sent.Before(one.at) {
			last = order
		}
	}
	return last, last.drained && !last.acked.IsZero() && r.sent.After(last.acked.Add(zoneBound))
}
