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

// accountUsage is an account's use of its limits on this host.
type accountUsage struct {
	inFlight int
	// tokens is the level of the rate limiter's token bucket at filled.
	tokens float64
	filled time.Time
}

func notRunVerdict(code Code, reason string) Verdict {
	return Verdict{Outcome: outcome.NotRun, Code: code, Reason: reason}
}

// admit resolves the account, service and class of a call and checks the account's limits. If the
// call is rejected, it returns the verdict and false.
func (t *transition) admit(c *call) (Verdict, bool) {
	if !t.ready {
		return Verdict{
			Outcome: outcome.NotRun, Code: CodeNotReady, RetryAfter: defaultRetryAfter,
			Reason: "this host has no configuration yet",
		}, false
	}
	account, ok := t.config.AccountByKey(c.request.KeyHash)
	if !ok {
		return notRunVerdict(CodeInvalidAPIKey, "the API key is not known"), false
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

// admitService resolves the request's service, through the model if one is named, and applies its
// timeout and at-most-once rules. Without a model only plain services can be called. If the zone
// takes only a share of the service, the hash of account and service decides, so that a higher
// share only adds accounts.
func (t *transition) admitService(c *call) (Verdict, bool) {
	if c.request.Model != "" {
		m, ok := t.config.Models.Get(c.request.Model)
		if !ok {
			return notRunVerdict(CodeModelNotFound, "the model "+string(c.request.Model)+" does not exist"), false
		}
		c.request.Service = m.Service
	}
	s, ok := t.config.Services.Get(c.request.Service)
	if !ok || (c.request.Model == "" && s.Kind != config.KindPlain) {
		return notRunVerdict(CodeServiceNotFound, "the service "+string(c.request.Service)+" does not exist"), false
	}
	c.service = s
	if s.Timeout > 0 {
		c.request.Deadline = earlierTime(c.request.Deadline, t.now.Add(time.Duration(s.Timeout)))
	}
	c.request.AtMostOnce = c.request.AtMostOnce || s.NotRepeatable || slices.ContainsFunc(s.OnceRoutes, func(prefix string) bool {
		return strings.HasPrefix(c.request.Path, prefix)
	})
	if share := t.config.Share(s.ID, t.settings.Zone); share < percent {
		if int(uint64(hash.Of(string(c.account.ID), string(s.ID)))%percent) >= share {
			return notRunVerdict(CodeNotHandedOver, "this service is not handed over in this zone"), false
		}
	}
	return Verdict{}, true
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// admitClass picks the request's class: the one it names, which the account must be allowed to use,
// or else the first that the account allows. An account without classes gets defaultRank.
func (t *transition) admitClass(c *call) (Verdict, bool) {
	allowed := c.account.Classes
	id := c.request.Class
	if id == "" && len(allowed) > 0 {
		id = allowed[0]
	}
	if id == "" {
		c.class = config.Class{Rank: defaultRank}
		return Verdict{}, true
	}
	class, ok := t.config.Classes.Get(id)
	if !ok || !slices.Contains(allowed, id) {
		return notRunVerdict(CodeClassNotAllowed, "the account may not use class "+string(id)), false
	}
	c.class = class
	return Verdict{}, true
}

// defaultRank is the rank of requests without a class.
const defaultRank = 1

// admitLimits checks the account's limits: requests in flight on this host, and this host's share
// of its fleet-wide request rate.
func (t *transition) admitLimits(a config.Account) (Verdict, bool) {
	use, _ := t.accounts.Get(a.ID)
	if a.MaxInFlight > 0 && use.inFlight >= a.MaxInFlight {
		return Verdict{
			Outcome: outcome.NotRun, Code: CodeLimitExceeded, RetryAfter: defaultRetryAfter,
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
			Reason: "the account exceeds its limit of requests per second",
		}, false
	}
	use.tokens--
	t.accounts = t.accounts.With(a.ID, use)
	return Verdict{}, true
}

// refilled returns the usage with the token bucket refilled; its capacity is one second of the
// rate, at least one token.
func (u accountUsage) refilled(rate float64, now time.Time) accountUsage {
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
