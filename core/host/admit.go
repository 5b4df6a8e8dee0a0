// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"strings"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// accountUse is what an account uses on this host.
type accountUse struct {
	inFlight int
	// tokens is the rate limit's bucket, filled at filled.
	tokens float64
	filled time.Time
}

func refusal(code Code, reason string) Verdict {
	return Verdict{Outcome: outcome.NotRun, Code: code, Reason: reason}
}

// admit resolves account, service, class and limits.
func (t *transition) admit(c *call) (Verdict, bool) {
	if !t.ready {
		return Verdict{
			Outcome: outcome.NotRun, Code: CodeNotReady, RetryAfter: retryAfter,
			Reason: "this host has no configuration yet",
		}, false
	}
	account, ok := t.config.AccountByKey(c.req.KeyHash)
	if !ok {
		return refusal(CodeInvalidAPIKey, "the API key is not known"), false
	}
	c.account = account
	if v, ok := t.admitService(c); !ok {
		return v, false
	}
	if v, ok := t.admitClass(c); !ok {
		return v, false
	}
	return t.admitLimits(c.account)
}

func (t *transition) admitService(c *call) (Verdict, bool) {
	if c.req.Model != "" {
		m, ok := t.config.Models.Get(c.req.Model)
		if !ok {
			return refusal(CodeModelNotFound, "the model "+string(c.req.Model)+" does not exist"), false
		}
		c.req.Service = m.Service
	}
	s, ok := t.config.Services.Get(c.req.Service)
	if !ok || (c.req.Model == "" && s.Kind != config.KindPlain) {
		return refusal(CodeServiceNotFound, "the service "+string(c.req.Service)+" does not exist"), false
	}
	c.service = s
	if s.Timeout > 0 {
		c.req.Deadline = earlier(c.req.Deadline, t.now.Add(time.Duration(s.Timeout)))
	}
	c.req.AtMostOnce = c.req.AtMostOnce || s.NotRepeatable || slices.ContainsFunc(s.OnceRoutes, func(prefix string) bool {
		return strings.HasPrefix(c.req.Path, prefix)
	})
	if share := t.config.Share(s.ID, t.settings.Zone); share < percent {
		if int(uint64(hash.Of(string(c.account.ID), string(s.ID)))%percent) >= share {
			return refusal(CodeNotHandedOver, "this service is not handed over in this zone"), false
		}
	}
	return Verdict{}, true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (t *transition) admitClass(c *call) (Verdict, bool) {
	allowed := c.account.Classes
	id := c.req.Class
	if id == "" && len(allowed) > 0 {
		id = allowed[0]
	}
	if id == "" {
		c.class = config.Class{Rank: defaultRank}
		return Verdict{}, true
	}
	class, ok := t.config.Classes.Get(id)
	if !ok || !slices.Contains(allowed, id) {
		return refusal(CodeClassNotAllowed, "the account may not use class "+string(id)), false
	}
	c.class = class
	return Verdict{}, true
}

// defaultRank is that of requests without a class.
const defaultRank = 1

// admitLimits holds the account to its limits: requests in flight on this
// host, and this host's part of its fleet-wide rate.
func (t *transition) admitLimits(a config.Account) (Verdict, bool) {
	use, _ := t.accounts.Get(a.ID)
	if a.MaxInFlight > 0 && use.inFlight >= a.MaxInFlight {
		return Verdict{
			Outcome: outcome.NotRun, Code: CodeLimitExceeded, RetryAfter: retryAfter,
			Reason: "the account has too many requests in flight",
		}, false
	}
	if a.RequestsPerSecond == 0 {
		return Verdict{}, true
	}
	rate := a.RequestsPerSecond / float64(t.countServingHosts())
	use = use.refilled(rate, t.now)
	if use.tokens < 1 {
		wait := time.Duration((1 - use.tokens) / rate * float64(time.Second))
		return Verdict{
			Outcome: outcome.NotRun, Code: CodeLimitExceeded, RetryAfter: wait,
			Reason: "the account sends faster than its limit",
		}, false
	}
	use.tokens--
	t.accounts = t.accounts.With(a.ID, use)
	return Verdict{}, true
}

// refilled fills the bucket, which holds one second's worth.
func (u accountUse) refilled(rate float64, now time.Time) accountUse {
	burst := max(1, rate)
	if u.filled.IsZero() {
		u.tokens = burst
	} else {
		u.tokens = min(burst, u.tokens+rate*now.Sub(u.filled).Seconds())
	}
	u.filled = now
	return u
}

func (t *transition) addAccountInFlight(id ident.Account, n int) {
	use, _ := t.accounts.Get(id)
	use.inFlight += n
	t.accounts = t.accounts.With(id, use)
}
