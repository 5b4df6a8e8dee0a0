// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/requests"
)

// A planned stop cuts nothing: the host says that it is not ready, goes on taking
// connections until the balancer has noticed, finishes every request in flight, and closes
// its ports last. A replica hands its leadership over meanwhile.
const (
	// stopNotice is how long a stopping host of a seeded fleet goes on taking
	// connections: longer than a balancer needs to notice that it is not ready.
	stopNotice = 3 * time.Second
	// endMargin is the last part of the time for a planned stop, in which requests still in progress
	// are answered and the process ends.
	endMargin = time.Second
	// endTime is how long these responses may take to be written; exitFraction is the fraction of the margin
	// that is reserved for the exit of the process.
	endTime      = 150 * time.Millisecond
	exitFraction = 0.2
	// noticeFraction and endFraction bound stopNotice and endMargin where a stop may take little time.
	noticeFraction = 0.375
	endFraction    = 0.25
	// handOverTime lets a replica pass on its leadership: more than two heartbeats of
	// the log.
	handOverTime = 500 * time.Millisecond
	// idlePoll is the time between two looks at the requests in flight.
	idlePoll = 50 * time.Millisecond
	// shutdownTime is what handlers get to write their last bytes; by then no request is
	// in flight in the core. Chosen, not measured.
	shutdownTime = 5 * time.Second
	// acceptTime is how long connections that are being opened get to be accepted before
	// a listener closes. Chosen, not measured.
	acceptTime = 100 * time.Millisecond
)

// awaitStop waits for ctx and then drains.
func (d *Daemon) awaitStop(ctx, inner context.Context) error {
	select {
	case <-ctx.Done():
	case <-inner.Done():
		return context.Canceled
	}
	d.options.Log.Info("planned stop", "host", d.settings.Host.ID)
	d.loop.post(host.Drain{})
	if d.settings.Seeded() {
		return d.awaitGateway()
	}
	deadline := time.Now().Add(d.settings.Callers.DrainLimit)
	if d.callerL != nil {
		// The balancer needs time to notice; meanwhile requests are taken.
		time.Sleep(d.settings.Callers.DrainNotice)
		_ = d.callerL.Close()
	} else {
		time.Sleep(handOverTime)
	}
	for time.Now().Before(deadline) && !d.loop.State().Idle() {
		time.Sleep(idlePoll)
	}
	time.Sleep(idlePoll)
	return context.Canceled
}

// stopTimes are the times of a planned stop: until when requests are taken, until when those in progress may end,
// and by when the process has ended.
type stopTimes struct{ notice, finish, exit time.Time }

// stopTimesFrom returns the times of a stop that begins now and may take total.
func stopTimesFrom(now time.Time, total time.Duration) stopTimes {
	margin := min(endMargin, fractionOf(total, endFraction))
	return stopTimes{
		notice: now.Add(min(stopNotice, fractionOf(total, noticeFraction))),
		finish: now.Add(total - margin),
		exit:   now.Add(total - fractionOf(margin, exitFraction)),
	}
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// awaitGateway goes on serving until the balancer has noticed the stop and
// every request in flight has ended. Requests that have not ended in time get the outcome that is known.
func (d *Daemon) awaitGateway() error {
	if d.settings.Gateway.Listen == "" {
		time.Sleep(handOverTime)
		return context.Canceled
	}
	times := stopTimesFrom(time.Now(), d.settings.Gateway.DrainTime)
	d.exitAt.Store(&times.exit)
	d.loop.Decide(requests.Stopping{EndsAt: clock.Now().Add(time.Until(times.finish))})
	time.Sleep(time.Until(times.notice))
	// Callers' kept connections must not bring requests until the end. They are
	// left open, as a close could cross a request; each answer closes its own.
	d.loop.Decide(requests.Closing{})
	d.gateway.RefuseBodies()
	awaitIdle(times.finish, &d.gateway.InFlight, &d.tunnels)
	d.gateway.EndRequests()
	awaitIdle(time.Now().Add(endTime), &d.gateway.InFlight)
	return context.Canceled
}

// awaitIdle waits until all counts are 0, at most until a time.
func awaitIdle(until time.Time, counts ...*atomic.Int64) {
	isBusy := func(n *atomic.Int64) bool { return n.Load() != 0 }
	for time.Now().Before(until) && slices.ContainsFunc(counts, isBusy) {
		time.Sleep(idlePoll)
	}
}

// shutdownLimit returns what handlers get to write their last bytes.
func (d *Daemon) shutdownLimit() time.Duration {
	if exit := d.exitAt.Load(); exit != nil {
		return max(0, min(shutdownTime, time.Until(*exit)))
	}
	return shutdownTime
}

// stopHTTP ends a server as planned: whoever has connected is answered, and
// whoever has not is refused.
func stopHTTP(l net.Listener, server httpServer, limit func() time.Duration) {
	if sockets.RefuseNew(l) == nil {
		// Those that have connected until now are accepted meanwhile.
		time.Sleep(acceptTime)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit())
	defer cancel()
	_ = server.Shutdown(ctx) // Its error is that the time is over; Close follows.
}
