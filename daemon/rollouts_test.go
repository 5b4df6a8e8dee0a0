// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/gateway"
)

// TestRolloutSettingsReachTheCore guards against bounds that are not passed on, and against rollouts
// in a process whose settings do not name a share.
func TestRolloutSettingsReachTheCore(t *testing.T) {
	d := replicaDaemon(t)
	require.Zero(t, hostSettings(d.settings, d.options, 1).Rollouts)
	require.Zero(t, gatewaySettings(d.settings).RolloutLease)
	require.Nil(t, d.loop.rolloutCore())
	require.NotContains(t, d.metrics.vars.String(), "rollout")

	s := d.settings
	s.Gateway.RolloutShare, s.Gateway.RolloutSlack, s.Gateway.RolloutRevert = "0.1", "40", 4*time.Second
	require.Equal(t, rollouts.Limits{Share: 0.1, Slack: 40, Revert: 4 * time.Second}, hostSettings(s, d.options, 1).Rollouts)
	require.InDelta(t, 0.1, gatewaySettings(s).RolloutShare, 0)
	require.Equal(t, 2*time.Second, gatewaySettings(s).RolloutLease)
}

// rolloutObservation is a request that was drawn for a version, failed there and was retried.
func rolloutObservation() gateway.Observation {
	first := gateway.Attempt{Result: outcome.Interrupted{Reason: "reset"}}
	first.Dispatch.Worker.Version, first.Dispatch.Inputs = "v2", requests.Inputs{Rollout: true, DeclinedAgo: -1}
	second := gateway.Attempt{Result: outcome.Answered{Status: 200}}
	second.Dispatch.Worker.Version, second.Dispatch.Inputs.DeclinedAgo = "v1", -1
	return gateway.Observation{Attempts: []gateway.Attempt{first, second}}
}

// TestLinesNameTheVersion guards against requests of which a log does not say which version ran each
// attempt, and against rollouts in the logs of processes without them.
func TestLinesNameTheVersion(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		var l lineLog
		lines := newRequestLog(l.logger())
		lines.rollouts = enabled
		lines.observe(rolloutObservation())
		require.Len(t, l.lines, 2)
		for i, want := range []struct {
			version any
			drawn   any
		}{{"v2", true}, {"v1", nil}} {
			var line map[string]any
			require.NoError(t, json.Unmarshal([]byte(l.lines[i]), &line))
			if !enabled {
				want.drawn = nil
			}
			require.Equal(t, want.version, line["version"])
			require.Equal(t, want.drawn, line["rollout"])
		}
	}
}

// TestLinesNameTheResumedRequest guards against streams of which a log does not say that they were
// begun by another request.
func TestLinesNameTheResumedRequest(t *testing.T) {
	var l lineLog
	o := rolloutObservation()
	o.Request.ID, o.Request.Resumed, o.Request.Resumes = "second", true, "first"
	newRequestLog(l.logger()).observe(o)
	require.Contains(t, l.lines[1], `"resumes":"first"`)
	o.Request.Resumed = false
	newRequestLog(l.logger()).observe(o)
	require.NotContains(t, l.lines[3], "resumes")
}

// TestLinesOfBrokenAnswersNameTheParts guards against workers that crash under a part of prompts which no
// log names.
func TestLinesOfBrokenAnswersNameTheParts(t *testing.T) {
	var l lineLog
	o := rolloutObservation()
	o.Request.Prompt.Parts = []requests.Part{{ID: "system"}, {ID: "subject"}, {ID: "own"}}
	newRequestLog(l.logger()).observe(o)
	require.NotContains(t, l.lines[1], "parts")
	o.Attempts = o.Attempts[:1]
	newRequestLog(l.logger()).observe(o)
	require.Contains(t, l.lines[2], `"parts":"system,subject"`)
}

// TestRolloutsAreCounted guards against a host whose part in a rollout, or whose rejected orders,
// cannot be seen.
func TestRolloutsAreCounted(t *testing.T) {
	var c rolloutCounters
	c.observe(rolloutObservation())
	c.observe(gateway.Observation{})
	require.EqualValues(t, 1, c.exposed.Value())
	require.EqualValues(t, 1, c.failed.Value())

	d := replicaDaemon(t)
	var l lineLog
	d.loop.notes = newNoteLog(l.logger())
	d.loop.RolloutOrderRejected("drafter", "the duration is 0")
	require.EqualValues(t, 1, d.loop.rejectedOrders.Value())
	require.Len(t, l.lines, 1)
	require.True(t, strings.Contains(l.lines[0], `"msg":"rollout order rejected","service":"drafter","reason":"the duration is 0"`), l.lines[0])
}
