// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package confirmation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/confirmation"
)

var start = time.Unix(1000, 0)

// TestRelayedConfirmationsNeverGetNewer relays a confirmation through hosts with random delays:
// it must never be later than the leader's, nor older than the delays explain.
func TestRelayedConfirmationsNeverGetNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		})
		current, now := confirmation.Confirmation{AsOf: start}, start
		for range rapid.IntRange(1, 5).Draw(t, "hosts") {
			sent := now
			now = now.Add(delay.Draw(t, "before the reply"))
			age := current.Age(now)
			now = now.Add(delay.Draw(t, "on the way"))
			current = confirmation.FromReply(sent, age)
			require.False(t, current.AsOf.After(start))
		}
		require.LessOrEqual(t, current.Age(now), 2*now.Sub(start))
	})
}

func TestLeaseStartsAtAsOfTime(t *testing.T) {
	c := confirmation.Confirmation{}
	require.False(t, c.Valid(time.Hour, start), "no confirmation yet")
	c = c.Latest(confirmation.Confirmation{AsOf: start})
	c = c.Latest(confirmation.FromReply(start, time.Second))
	require.True(t, c.Valid(time.Second, start.Add(time.Second-1)), "an older confirmation changes nothing")
	require.False(t, c.Valid(time.Second, start.Add(time.Second)))
}
