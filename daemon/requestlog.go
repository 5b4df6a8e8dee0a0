// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/yardhall/yardhall/common/logs"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/gateway"
)

// Lines a second for requests that went well at once, and for all others.
const (
	plainLines = 60
	oddLines   = 240
)

// requestLog writes a line for each decision on a request: one for each try
// that did not end it, and one at its end. Odd requests have a budget of their
// own, so that ordinary ones never crowd them out.
type requestLog struct {
	log   logr.Logger
	now   func() time.Time
	plain logs.Budget
	odd   logs.Budget
	// rollouts is set if lines name the requests drawn for a version being rolled out.
	rollouts bool
}

func newRequestLog(log logr.Logger) *requestLog {
	return &requestLog{
		log: log, now: time.Now,
		plain: logs.Budget{PerSecond: plainLines}, odd: logs.Budget{PerSecond: oddLines},
	}
}

func (l *requestLog) observe(o gateway.Observation) {
	budget := &l.odd
	if len(o.Attempts) == 1 && o.Verdict.Code == requests.CodeOK {
		budget = &l.plain
	}
	ok, skipped := budget.Allow(l.now())
	if skipped > 0 {
		l.log.Info("request lines skipped", "lines", skipped, "odd", budget == &l.odd)
	}
	if !ok {
		return
	}
	last := len(o.Attempts) - 1
	for i, try := range o.Attempts {
		if i < last {
			l.log.Info("try", l.tryFields(o, try)...)
		}
	}
	l.log.Info("request", l.requestFields(o)...)
}

// requestFields are how a request ended, and the decision for its last worker, if it had
// any.
func (l *requestLog) requestFields(o gateway.Observation) []any {
	fields := []any{"outcome", string(o.Verdict.Outcome), "code", string(o.Verdict.Code), "took_ms", millis(o.Duration)}
	if o.Verdict.Reason != "" {
		fields = append(fields, "reason", o.Verdict.Reason)
	}
	if o.Verdict.RetryAfter > 0 {
		fields = append(fields, "retry_after_ms", millis(o.Verdict.RetryAfter))
	}
	if o.StartupWait > 0 {
		fields = append(fields, "waited_ms", millis(o.StartupWait))
	}
	if o.TimeToFirstByte > 0 {
		fields = append(fields, "first_ms", millis(o.TimeToFirstByte))
	}
	if o.MaxEventGap > 0 {
		fields = append(fields, "pause_ms", millis(o.MaxEventGap))
	}
	if o.Request.Resumed {
		fields = append(fields, "resumes", string(o.Request.Resumes))
	}
	if mayHaveCrashed(o) {
		fields = append(fields, "parts", partsText(o.Request.Prompt))
	}
	if last := len(o.Attempts) - 1; last >= 0 {
		route := o.Attempts[last].Dispatch.Route
		fields = append(fields, "objective_ms", millis(time.Duration(route.Objective)), "max_pause_ms", millis(time.Duration(route.MaxPause)))
		fields = append(fields, l.tryFields(o, o.Attempts[last])...)
	} else {
		fields = append(fields, "request", string(o.Request.ID), "route", o.Request.Host+o.Request.Path,
			"table", o.Inputs.TableNumber, "table_age_ms", millis(o.Inputs.ConfigAge))
	}
	return fields
}

// tryFields are the decision for a worker, what it was made from, and what came
// of it.
func (l *requestLog) tryFields(o gateway.Observation, try gateway.Attempt) []any {
	d, in := try.Dispatch, try.Dispatch.Inputs
	fields := []any{
		"request", string(o.Request.ID), "route", d.Route.Name, "account", string(d.Account), "content", d.Content.String(), "try", d.Attempt,
		"worker", string(d.Worker.ID), "at", d.Worker.Address, "worker_seq", d.Worker.Seq, "worker_born", d.Worker.Born.String(),
		"load", in.Load, "load_age_ms", millis(in.LoadAge), "mean", fmt.Sprintf("%.1f", in.MeanLoad),
		"kind", string(in.Kind), "choice", in.Position, "of", in.Candidates, "table", in.TableNumber, "table_age_ms", millis(in.ConfigAge),
		"departures_age_ms", millis(in.DeparturesAge), "chosen", float64(d.DecidedAt.UnixMicro()) / microsPerSecond,
		"connected_ms", millis(try.ConnectedAfter), "sent_ms", millis(try.SentAfter),
		"result", resultText(try.Result), "try_ms", millis(try.Duration),
	}
	if in.LoadBound > 0 {
		fields = append(fields, "bound", fmt.Sprintf("%.1f", in.LoadBound), "load_aged", in.LoadAged, "load_told", in.LoadTold)
	}
	if in.Prefix != 0 {
		fields = append(fields, "prefix", fmt.Sprintf("%016x", uint64(in.Prefix)), "prefix_share", fmt.Sprintf("%.3f", in.PrefixShare), "prefix_engines", in.PrefixEngines,
			"prefix_counts_age_ms", millis(in.PrefixCountsAge), "prefix_counts_delay_ms", millis(in.PrefixCountsDelay), "prefix_counted_by", string(in.PrefixCountedBy), "prefix_frequent_ms", millis(in.PrefixFrequentFor))
	}
	fields = append(fields, connectionFields(try)...)
	if in.LastResort {
		fields = append(fields, "last_resort", true)
	}
	if in.DeclinedAgo >= 0 {
		fields = append(fields, "declined_ago_ms", millis(in.DeclinedAgo), "backoff_left_ms", millis(in.BackoffLeft))
	}
	if d.CacheFrom != "" && in.Position > 0 {
		fields = append(fields, "cache_from", d.CacheFrom)
	}
	if d.Worker.Version != "" {
		fields = append(fields, "version", string(d.Worker.Version))
	}
	if l.rollouts && in.Rollout {
		fields = append(fields, "rollout", true)
	}
	return fields
}

// connectionFields are the connection of a try and how its response was framed.
func connectionFields(try gateway.Attempt) []any {
	var fields []any
	if try.Via != "" {
		fields = append(fields, "tunneled", true, "via", string(try.Via))
	}
	if try.LocalAddress != "" {
		fields = append(fields, "conn", try.LocalAddress)
	}
	if try.Dispatch.ReportsConnection {
		fields = append(fields, "open_ms", millis(try.OpenFor))
	}
	if try.Reused {
		fields = append(fields, "reused", true)
	}
	if try.Unframed {
		fields = append(fields, "unframed", true)
	}
	if try.Skipped > 0 {
		fields = append(fields, "skipped", try.Skipped)
	}
	if try.Unidentified {
		fields = append(fields, "unidentified", true)
	}
	return fields
}

// mayHaveCrashed reports whether a worker may have crashed under a request, or it was refused for that.
func mayHaveCrashed(o gateway.Observation) bool {
	if len(o.Request.Prompt.Parts) == 0 || len(o.Attempts) == 0 {
		return o.Verdict.Code == requests.CodeCrashes
	}
	_, broken := o.Attempts[len(o.Attempts)-1].Result.(outcome.Interrupted)
	return broken || o.Verdict.Code == requests.CodeCrashes
}

// microsPerSecond converts times to the seconds in which lines give them.
const microsPerSecond = 1e6

// maxLoggedParts bounds the parts of a prompt in a line.
const maxLoggedParts = 8

// partsText returns the ids of the parts that a prompt shares with others.
func partsText(p requests.Prompt) string {
	shared := p.SharedParts()
	ids := make([]string, 0, maxLoggedParts)
	for _, part := range shared[:min(len(shared), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

// resultText says how a try ended.
func resultText(a outcome.Attempt) string {
	switch a := a.(type) {
	case outcome.Answered:
		return fmt.Sprintf("answered %d", a.Status)
	case outcome.NeverSent:
		return "never sent: " + a.Reason
	case outcome.Declined:
		if a.RetryAfter > 0 {
			return fmt.Sprintf("declined: %s, retry after %s", a.Reason, a.RetryAfter)
		}
		return "declined: " + a.Reason
	case outcome.Interrupted:
		return "broken: " + a.Reason
	case outcome.Abandoned:
		return "abandoned"
	}
	return "unknown"
}
