// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package operators

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/rollouts"
)

// RolloutCore is what the calls on rollouts need of the process beyond Core.
type RolloutCore interface {
	// IsReplica reports whether this host keeps the replicated state.
	IsReplica() bool
	// Confirm reports whether the state held is the newest one, as a leader says after the call
	// began.
	Confirm(ctx context.Context, limit time.Duration) bool
	// Rollouts returns the rollouts known to this host.
	Rollouts() rollouts.State
	// RolloutOrderRejected counts and logs an order that was answered with 400.
	RolloutOrderRejected(service ident.Service, reason string)
}

// readLimit bounds how long a read waits for its confirmation.
const readLimit = 1500 * time.Millisecond

// RolloutOrder asks for a rollout.
type RolloutOrder struct {
	Service ident.Service `json:"service"`
	Version ident.Version `json:"version"`
	// Duration is the time for the rollout in Go syntax, such as 12s.
	Duration string `json:"duration"`
}

// RolloutStatus describes the newest rollout of a service.
type RolloutStatus struct {
	Service ident.Service `json:"service"`
	// State is running, complete or reverted; none if the service has no rollout.
	State string `json:"state"`
	// Current is the version that serves the service; empty if it is not known.
	Current ident.Version `json:"current"`
	From    ident.Version `json:"from,omitempty"`
	Version ident.Version `json:"version,omitempty"`
	Phase   string        `json:"phase,omitempty"`
	// Share is the part of new requests that goes to Version.
	Share float64 `json:"share"`
	// Elapsed is as of the newest entry in the log, which the leader writes every second.
	Elapsed  string `json:"elapsed,omitempty"`
	Duration string `json:"duration,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// RolloutList holds the newest rollouts of all services with known versions.
type RolloutList struct {
	Revision uint64          `json:"revision"`
	Rollouts []RolloutStatus `json:"rollouts"`
}

func statusOfRollout(e rollouts.Entry) RolloutStatus {
	r := e.Rollout
	s := RolloutStatus{Service: e.Service, State: r.Phase.String(), Current: e.Current}
	if r.Phase == rollouts.None {
		return s
	}
	if r.IsRunning() {
		s.State = "running"
	}
	s.From, s.Version, s.Phase, s.Reason = r.From, r.To, r.Phase.String(), r.Reason
	s.Share = float64(r.Share) / rollouts.AllRequests
	s.Elapsed, s.Duration = r.Elapsed.Round(time.Millisecond).String(), r.Duration.String()
	return s
}

// confirmed answers a call that must not be answered from an old state; done is false if this host
// can answer it. Hosts that are not replicas have no confirmed state.
func (a *API) confirmed(c echo.Context) (done bool, err error) {
	switch {
	case !a.deps.Rollouts.IsReplica():
		return true, fail(c, http.StatusMisdirectedRequest, "no_state", "this host keeps no replicated state; ask a replica")
	case !a.deps.Rollouts.Confirm(c.Request().Context(), readLimit):
		return true, fail(c, http.StatusServiceUnavailable, "unconfirmed", "the newest state is not known here")
	}
	return false, nil
}

func (a *API) rollouts(c echo.Context) error {
	if done, err := a.confirmed(c); done {
		return err
	}
	held := a.deps.Rollouts.Rollouts()
	out := RolloutList{Revision: held.Revision, Rollouts: []RolloutStatus{}}
	for _, e := range held.Entries {
		out.Rollouts = append(out.Rollouts, statusOfRollout(e))
	}
	return c.JSON(http.StatusOK, out)
}

func (a *API) rollout(c echo.Context) error {
	if done, err := a.confirmed(c); done {
		return err
	}
	e, _ := a.deps.Rollouts.Rollouts().Of(serviceOf(c))
	if e.Rollout.Phase == rollouts.None {
		return fail(c, http.StatusNotFound, string(catalog.NotFound), "the service has no rollout")
	}
	return c.JSON(http.StatusOK, statusOfRollout(e))
}

// serviceOf returns the service in the path. The router leaves a parameter escaped if the path has
// a raw form.
func serviceOf(c echo.Context) ident.Service {
	text := c.Param("service")
	if c.Request().URL.RawPath != "" {
		if plain, err := url.PathUnescape(text); err == nil {
			text = plain
		}
	}
	return ident.Service(text)
}

func (a *API) orderRollout(c echo.Context) error {
	o, err := readOrder(c)
	if err != nil {
		return a.rejectRollout(c, o.Service, err.Error())
	}
	return a.writeRollout(c, o.Service, catalog.OrderRollout{Order: o})
}

// readOrder reads and checks an order. The service is returned also if the rest is invalid, for the
// log.
func readOrder(c echo.Context) (rollouts.Order, error) {
	body, err := readBody(c)
	if err != nil {
		return rollouts.Order{}, err
	}
	var r RolloutOrder
	if err := decode(body, &r); err != nil {
		return rollouts.Order{Service: r.Service}, err
	}
	o := rollouts.Order{Service: r.Service, To: r.Version}
	if o.Duration, err = time.ParseDuration(r.Duration); err != nil {
		return o, errors.Errorf("the duration %.40q is not a time such as 12s", r.Duration)
	}
	return o, errors.Wrap(o.Validate(), "check the order")
}

func (a *API) revertRollout(c echo.Context) error {
	service := serviceOf(c)
	return a.writeRollout(c, service, catalog.RevertRollout{Revert: rollouts.Revert{Service: service}})
}

// writeRollout writes a command. Results other than those for the operator are 503, after which the
// call may be made again.
func (a *API) writeRollout(c echo.Context, service ident.Service, cmd catalog.Command) error {
	r, known := a.submit(c, cmd)
	switch {
	case !known:
		return failUnknown(c)
	case r.Code == catalog.OK:
		return written(c, r)
	case r.Code == catalog.Invalid:
		return a.rejectRollout(c, service, r.Reason)
	case r.Code == catalog.Conflict:
		return fail(c, http.StatusConflict, string(r.Code), r.Reason)
	case r.Code == catalog.NotFound:
		return fail(c, http.StatusNotFound, string(r.Code), r.Reason)
	}
	return fail(c, http.StatusServiceUnavailable, string(r.Code), r.Reason)
}

func (a *API) rejectRollout(c echo.Context, service ident.Service, reason string) error {
	a.deps.Rollouts.RolloutOrderRejected(service, reason)
	return fail(c, http.StatusBadRequest, string(catalog.Invalid), reason)
}
