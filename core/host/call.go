// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/routing"
)

const (
	// askTimeout is how long an owner may take to answer before the router
	// picks by its own view.
	askTimeout = 250 * time.Millisecond
	// claimTimeout bounds the wait for the right to run.
	claimTimeout = 3 * time.Second
	// maxTries bounds the attempts of one request.
	maxTries = 3
	// maxHops bounds how often an ask is sent to another group.
	maxHops = 2
	// budgetPerRequest is what each request adds to the retry budget; a retry
	// takes 1, so retries stay under this share of requests.
	budgetPerRequest = 0.1
	maxBudget        = 10
	// retryJitter bounds the random pause before a retry after a failure.
	retryJitter = 100 * time.Millisecond
	retryLater  = time.Second
	// defaultTimeout is a request's time where neither caller nor service say.
	defaultTimeout = 2 * time.Minute
	percent        = 100
)

// phase is where a call stands.
type phase uint8

const (
	phaseClaiming phase = iota
	phaseAsking
	phaseQueued
	phaseWaiting
	phaseRunning
)

// call is one caller's request in progress.
type call struct {
	req     Request
	account config.Account
	class   config.Class
	service config.Service
	phase   phase
	// wake is when the phase has lasted too long.
	wake  time.Time
	group routing.GroupID
	// owner holds the place; "" after a pick by own view.
	owner   ident.Host
	target  ident.Target
	attempt int
	hops    int
	// asks counts the asks for a place; place names the newest.
	asks  int
	place ident.Place
	tried []ident.Target
	// avoid are groups in which a target could not be reached.
	avoid []routing.GroupID
	// worst joins the outcomes of the attempts so far.
	worst   outcome.Kind
	claimed bool
}

// accountUse is what an account uses on this host.
type accountUse struct {
	inFlight int
	// tokens is the rate limit's bucket, filled at filled.
	tokens float64
	filled time.Time
}

func (t *turn) put(c call) { t.calls = t.calls.With(c.req.ID, c) }

// arrive checks a request and starts it on its way.
func (t *turn) arrive(r Request) {
	t.counters.Requests++
	t.budget = min(maxBudget, t.budget+budgetPerRequest)
	if r.Deadline.IsZero() {
		r.Deadline = t.now.Add(defaultTimeout)
	}
	c := call{req: r, worst: outcome.NotRun}
	if v, ok := t.admit(&c); !ok {
		t.refuse(c, v.unlessEarlier(c))
		return
	}
	t.useAccount(c.account.ID, 1)
	t.put(c)
	if c.req.Once && c.req.IdempotencyKey != "" {
		t.claim(c)
		return
	}
	t.ask(c)
}

func refusal(code Code, reason string) Verdict {
	return Verdict{Outcome: outcome.NotRun, Code: code, Reason: reason}
}

// unlessEarlier weakens not-run where the claim of the request's key was not
// decided: an earlier attempt under that key may have run.
func (v Verdict) unlessEarlier(c call) Verdict {
	if c.req.Once && c.req.IdempotencyKey != "" && v.Outcome == outcome.NotRun {
		v.Outcome = outcome.Unknown
	}
	return v
}

// admit resolves account, service, class and limits.
func (t *turn) admit(c *call) (Verdict, bool) {
	if !t.ready {
		return Verdict{
			Outcome: outcome.NotRun, Code: CodeNotReady, RetryAfter: retryLater,
			Reason: "this host has no configuration yet",
		}, false
	}
	account, ok := t.config.AccountByKey(c.req.KeyHash)
	if !ok {
		return refusal(CodeBadKey, "the API key is not known"), false
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

func (t *turn) admitService(c *call) (Verdict, bool) {
	if c.req.Model != "" {
		m, ok := t.config.Models.Get(c.req.Model)
		if !ok {
			return refusal(CodeNoModel, "the model "+string(c.req.Model)+" does not exist"), false
		}
		c.req.Service = m.Service
	}
	s, ok := t.config.Services.Get(c.req.Service)
	if !ok || (c.req.Model == "" && s.Kind != config.KindPlain) {
		return refusal(CodeNoService, "the service "+string(c.req.Service)+" does not exist"), false
	}
	c.service = s
	if s.Timeout > 0 {
		c.req.Deadline = earlier(c.req.Deadline, t.now.Add(time.Duration(s.Timeout)))
	}
	c.req.Once = c.req.Once || s.NotRepeatable || slices.ContainsFunc(s.OnceRoutes, func(prefix string) bool {
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

func (t *turn) admitClass(c *call) (Verdict, bool) {
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
		return refusal(CodeBadClass, "the account may not use class "+string(id)), false
	}
	c.class = class
	return Verdict{}, true
}

// defaultRank is that of requests without a class.
const defaultRank = 1

// admitLimits holds the account to its limits: requests in flight on this
// host, and this host's part of its fleet-wide rate.
func (t *turn) admitLimits(a config.Account) (Verdict, bool) {
	use, _ := t.accounts.Get(a.ID)
	if a.MaxInFlight > 0 && use.inFlight >= a.MaxInFlight {
		return Verdict{
			Outcome: outcome.NotRun, Code: CodeLimit, RetryAfter: retryLater,
			Reason: "the account has too many requests in flight",
		}, false
	}
	if a.RequestsPerSecond == 0 {
		return Verdict{}, true
	}
	rate := a.RequestsPerSecond / float64(t.aliveServing())
	use = use.refilled(rate, t.now)
	if use.tokens < 1 {
		wait := time.Duration((1 - use.tokens) / rate * float64(time.Second))
		return Verdict{
			Outcome: outcome.NotRun, Code: CodeLimit, RetryAfter: wait,
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

func (t *turn) useAccount(id ident.Account, n int) {
	use, _ := t.accounts.Get(id)
	use.inFlight += n
	t.accounts = t.accounts.With(id, use)
}

// refuse ends a request that was never admitted.
func (t *turn) refuse(c call, v Verdict) {
	t.countOutcome(v.Outcome)
	t.emit(Finish{Request: c.req.ID, Verdict: v})
}

func (t *turn) countOutcome(k outcome.Kind) {
	switch k {
	case outcome.Ran:
		t.counters.Ran++
	case outcome.NotRun:
		t.counters.NotRun++
	case outcome.Unknown:
		t.counters.Unknown++
	}
}

// finish ends an admitted call: its place is freed, its claim settled.
func (t *turn) finish(c call, v Verdict) {
	t.calls = t.calls.Without(c.req.ID)
	t.useAccount(c.account.ID, -1)
	t.leave(c)
	if c.claimed {
		t.endClaim(c, v.Outcome)
	}
	t.refuse(c, v)
}

// leave gives back what the call holds on a target or in a queue.
func (t *turn) leave(c call) {
	if c.target != "" {
		t.useTarget(c.target, -1)
	}
	if c.owner != "" {
		t.send(c.owner, FreePlace{Place: c.place})
	}
}

func (t *turn) useTarget(id ident.Target, n int) {
	have, _ := t.inFlight.Get(id)
	if have+n <= 0 {
		t.inFlight = t.inFlight.Without(id)
		return
	}
	t.inFlight = t.inFlight.With(id, have+n)
}

// claim asks the replicated state for the right to run.
func (t *turn) claim(c call) {
	c.phase = phaseClaiming
	c.wake = earlier(c.req.Deadline, t.now.Add(claimTimeout))
	t.put(c)
	t.counters.Claims++
	t.submit(catalog.Write{
		ID: "claim/" + string(c.req.ID), Actor: string(t.settings.ID),
		Command: catalog.ClaimRun{
			Key:     catalog.ClaimKey{Account: c.account.ID, Key: c.req.IdempotencyKey},
			Created: c.req.KeyCreated, Digest: c.req.Digest, Host: t.settings.ID, Request: c.req.ID,
		},
	}, c.wake)
}

// claimAnswered goes on with a call whose claim was decided.
func (t *turn) claimAnswered(id ident.Request, r catalog.Result, known bool) {
	c, ok := t.calls.Get(id)
	if !ok || c.phase != phaseClaiming {
		return
	}
	if !known {
		// Nothing was sent, and the claim, if it was taken, is given back.
		c.claimed = true
		t.finish(c, Verdict{
			Outcome: outcome.NotRun, Code: CodeNoQuorum, RetryAfter: retryLater,
			Reason: "the right to run it once could not be had in time; this attempt did not run",
		}.unlessEarlier(c))
		return
	}
	if r.Code == catalog.OK {
		c.claimed = true
		t.ask(c)
		return
	}
	t.counters.ClaimsDenied++
	t.finish(c, deniedVerdict(r))
}

// deniedVerdict tells what is known of the earlier request under the same key.
func deniedVerdict(r catalog.Result) Verdict {
	v := Verdict{Outcome: outcome.Unknown, Reason: r.Reason, Claim: &r.Claim}
	switch r.Code {
	case catalog.ClaimTaken:
		v.Code, v.Reason = CodeRunning, "a request with this key has begun and its end is not known"
		if r.Claim.Ended == outcome.Ran {
			v.Outcome, v.Code, v.Reason = outcome.Ran, CodeAlreadyRan, "a request with this key has run"
		}
	case catalog.KeyExpired:
		// An earlier attempt under this key may have run and been forgotten.
		v.Code, v.Claim = CodeKeyExpired, nil
	case catalog.KeyReused:
		v.Outcome, v.Code = outcome.NotRun, CodeKeyReused
	default:
		v.Outcome, v.Code, v.Claim = outcome.NotRun, CodeKeyInvalid, nil
	}
	return v
}

func (t *turn) endClaim(c call, k outcome.Kind) {
	t.submit(catalog.Write{
		ID: "end/" + string(c.req.ID), Actor: string(t.settings.ID),
		Command: catalog.EndClaim{
			Key:     catalog.ClaimKey{Account: c.account.ID, Key: c.req.IdempotencyKey},
			Request: c.req.ID, Outcome: k,
		},
	}, t.now.Add(endClaimTime))
}

// endClaimTime is how long the end of a claim is sent again until answered.
const endClaimTime = time.Minute

// ask finds a place for the call.
func (t *turn) ask(c call) {
	if c.service.Kind == config.KindPlain {
		t.pickPlain(c)
		return
	}
	id, ok := t.groupFor(c)
	if !ok {
		t.finish(c, t.noTarget(c))
		return
	}
	t.askGroup(c, id, false)
}

func (t *turn) noTarget(c call) Verdict {
	return Verdict{
		Outcome: c.worst, Code: CodeNoTarget, RetryAfter: retryLater,
		Reason: "no target can take the request now",
	}
}

// groupFor picks the chat's group by rendezvous, weighted by the engines that
// hold the model; groups that nobody can own are passed over.
func (t *turn) groupFor(c call) (routing.GroupID, bool) {
	best, second := routing.GroupID{}, routing.GroupID{}
	var top, next float64
	key := c.req.Chat
	if key == 0 {
		key = hash.Of(string(c.req.ID))
	}
	for _, p := range t.layout.services[c.service.ID] {
		n := p.holders[c.req.Model]
		if n == 0 || t.layout.owners[p.id] == "" || t.emptyGroup(p.id) {
			continue
		}
		score := hash.Weighted(key, p.key, float64(n))
		if slices.Contains(c.avoid, p.id) {
			if score > next {
				second, next = p.id, score
			}
			continue
		}
		if score > top {
			best, top = p.id, score
		}
	}
	if top == 0 {
		// Better a group that failed once than none.
		return second, next > 0
	}
	return best, true
}

// emptyGroup tells whether the owner last said that no engine is usable.
func (t *turn) emptyGroup(id routing.GroupID) bool {
	owner := t.layout.owners[id]
	if owner == t.settings.ID {
		g, ok := t.groups.Get(id.String())
		return ok && g.Usable() == 0
	}
	for _, l := range t.loads[id.Service] {
		if l.Group == id {
			return l.Usable == 0
		}
	}
	return false
}

func (t *turn) askGroup(c call, id routing.GroupID, final bool) {
	c.phase = phaseAsking
	c.group = id
	c.owner = t.layout.owners[id]
	c.target = ""
	c.asks++
	c.place = ident.PlaceOf(c.req.ID, c.asks)
	c.wake = earlier(c.req.Deadline, t.now.Add(askTimeout))
	t.put(c)
	t.send(c.owner, AskPlace{
		Group: id, Place: c.place, Account: c.account.ID, Class: c.class.ID, Model: c.req.Model,
		Chat: c.req.Chat, Work: c.req.Work, Within: c.req.Deadline.Sub(t.now),
		Exclude: c.tried, Final: final || c.hops >= maxHops,
	})
}

// placeAnswer goes on with a call whose group has answered. An answer that
// nobody waits for any more frees its place.
func (t *turn) placeAnswer(from ident.Host, m PlaceAnswer) {
	c, ok := t.calls.Get(m.Place.Request())
	waiting := ok && c.place == m.Place && (c.phase == phaseAsking || c.phase == phaseQueued)
	switch a := m.Answer.(type) {
	case routing.Granted:
		if !waiting {
			t.freeUnwanted(from, m, c, ok)
			return
		}
		t.dispatch(c, a.Target)
	case routing.Queued:
		if waiting {
			c.phase, c.wake = phaseQueued, c.req.Deadline
			t.put(c)
		}
	case routing.Elsewhere:
		if waiting {
			c.hops++
			t.askGroup(c, a.Group, true)
		}
	case routing.Refused:
		if waiting {
			c.owner = ""
			t.finish(c, refusedVerdict(c, a))
		}
	}
}

// freeUnwanted gives back a place that came too late, unless the call already
// runs on it (a doubled answer).
func (t *turn) freeUnwanted(from ident.Host, m PlaceAnswer, c call, ok bool) {
	if ok && c.phase == phaseRunning && c.place == m.Place && c.owner != "" {
		return
	}
	t.send(from, FreePlace{Place: m.Place})
}

func refusedVerdict(c call, a routing.Refused) Verdict {
	v := Verdict{Outcome: c.worst, Code: CodeOverloaded, RetryAfter: a.RetryAfter}
	switch a.Reason {
	case routing.ReasonNoTarget:
		v.Code, v.Reason = CodeNoTarget, "no target can take the request now"
	case routing.ReasonTimeout:
		v.Reason = "no engine became free in time"
	case routing.ReasonShed, routing.ReasonQueueFull, routing.ReasonOverBound:
		v.Reason = "too many requests wait for the engines"
	}
	return v
}

func (t *turn) notOwner(m NotOwner) {
	c, ok := t.calls.Get(m.Place.Request())
	if ok && c.phase == phaseAsking && c.place == m.Place {
		t.pickLocally(c)
	}
}

// pickLocally chooses by this host's own view, as the owner cannot be asked:
// the least loaded by own requests, no engine beyond this host's part of what
// the bound allows it.
func (t *turn) pickLocally(c call) {
	t.counters.Fallbacks++
	c.owner = ""
	var best config.Target
	lowest := -1
	for _, p := range t.layout.services[c.service.ID] {
		if p.id != c.group {
			continue
		}
		for _, target := range p.targets {
			h, _ := t.health.Get(target.ID)
			n, _ := t.inFlight.Get(target.ID)
			open := h.Usable(t.now) && target.HasModel(c.req.Model) && !slices.Contains(c.tried, target.ID)
			if open && n < t.ownPart(target) && (lowest < 0 || n < lowest) {
				best, lowest = target, n
			}
		}
	}
	if lowest < 0 {
		t.finish(c, t.noTarget(c))
		return
	}
	t.dispatch(c, best.ID)
}

// ownPart is what one host may send to a target without its owner's word.
func (t *turn) ownPart(target config.Target) int {
	return max(1, target.Slots/t.aliveServing())
}

// pickPlain chooses a worker of a plain service: the one with the fewest of
// this host's requests, workers of the own zone first.
func (t *turn) pickPlain(c call) {
	var best config.Target
	found := false
	var bestCost int
	for _, p := range t.layout.services[c.service.ID] {
		for _, target := range p.targets {
			h, _ := t.health.Get(target.ID)
			if !h.Usable(t.now) || slices.Contains(c.tried, target.ID) {
				continue
			}
			if cost := t.plainCost(target); !found || cost < bestCost {
				best, bestCost, found = target, cost, true
			}
		}
	}
	if !found {
		t.finish(c, t.noTarget(c))
		return
	}
	t.dispatch(c, best.ID)
}

// plainCost orders workers by the share of their slots in use from here; a
// worker of another zone counts as farPenalty fuller.
func (t *turn) plainCost(target config.Target) int {
	n, _ := t.inFlight.Get(target.ID)
	cost := n * percent / target.Slots
	if target.Zone != t.settings.Zone {
		cost += farPenalty
	}
	return cost
}

const farPenalty = 25

func (t *turn) dispatch(c call, id ident.Target) {
	target, ok := t.config.Targets.Get(id)
	if !ok || !t.now.Before(c.req.Deadline) {
		t.finish(c, Verdict{Outcome: c.worst, Code: CodeDeadline, Reason: "the deadline passed before a target was found"})
		return
	}
	c.phase, c.target = phaseRunning, id
	c.attempt++
	c.wake = time.Time{}
	c.tried = append(c.tried[:len(c.tried):len(c.tried)], id)
	t.useTarget(id, 1)
	t.put(c)
	t.emit(Dispatch{
		Request: c.req.ID, Attempt: c.attempt, Target: target,
		Once: c.req.Once, Rank: c.class.Rank, Deadline: c.req.Deadline,
	})
}

// attemptEnded decides what follows a try.
func (t *turn) attemptEnded(ev AttemptEnded) {
	c, ok := t.calls.Get(ev.Request)
	if !ok {
		return
	}
	if _, gone := ev.Result.(outcome.Abandoned); !gone && (c.phase != phaseRunning || c.attempt != ev.Attempt) {
		return
	}
	if c.phase == phaseRunning {
		t.learn(c.target, ev.Result)
		c.worst = outcome.Worst(c.worst, outcome.Of(ev.Result))
	}
	switch r := ev.Result.(type) {
	case outcome.Answered:
		t.finish(c, Verdict{Outcome: outcome.Ran, Code: CodeOK})
	case outcome.NeverSent:
		c.avoid = append(c.avoid[:len(c.avoid):len(c.avoid)], c.group)
		t.retry(c, Verdict{Code: CodeNoTarget, Reason: "the target could not be reached: " + r.Reason}, 0)
	case outcome.Declined:
		t.retry(c, Verdict{Code: CodeOverloaded, Reason: "the target declined: " + r.Reason}, 0)
	case outcome.Broken:
		v := Verdict{Code: CodeBroken, Reason: "the target's answer broke off: " + r.Reason}
		if c.req.Once || r.Begun {
			v.Outcome = c.worst
			t.finish(c, v)
			return
		}
		t.retry(c, v, t.jitter())
	case outcome.Abandoned:
		t.finish(c, Verdict{Outcome: c.worst, Code: CodeCallerGone, Reason: "the caller left"})
	}
}

func (t *turn) jitter() time.Duration {
	t.draws++
	r := rand.New(rand.NewPCG(t.seed, t.draws)) //nolint:gosec // Jitter must be reproducible, not secret.
	return time.Duration(r.Int64N(int64(retryJitter)))
}

// retry tries another target if tries, budget and deadline allow.
func (t *turn) retry(c call, v Verdict, pause time.Duration) {
	v.Outcome = c.worst
	v.RetryAfter = retryLater
	if c.attempt >= maxTries || t.budget < 1 || !t.now.Add(pause).Before(c.req.Deadline) {
		t.finish(c, v)
		return
	}
	t.budget--
	t.counters.Retries++
	t.leave(c)
	c.owner, c.target, c.hops = "", "", 0
	if pause == 0 {
		t.ask(c)
		return
	}
	c.phase, c.wake = phaseWaiting, t.now.Add(pause)
	t.put(c)
}

// learn takes the result of a try as a sign of the target's health.
func (t *turn) learn(id ident.Target, a outcome.Attempt) {
	h, _ := t.health.Get(id)
	was := h.Usable(t.now)
	switch a := a.(type) {
	case outcome.Answered:
		t.setHealth(id, h.WithResult(true, t.now), was)
	case outcome.Declined:
		if a.Leaving {
			t.setHealth(id, h.WithSign(true, t.now), was)
		}
	case outcome.NeverSent, outcome.Broken:
		t.setHealth(id, h.WithResult(false, t.now), was)
	case outcome.Abandoned:
	}
}

// tickCalls moves on the calls whose phase has lasted too long.
func (t *turn) tickCalls() {
	var due []call
	for _, c := range t.calls.All() {
		if !c.wake.IsZero() && !t.now.Before(c.wake) {
			due = append(due, c)
		}
	}
	for _, c := range due {
		t.wake(c)
	}
}

func (t *turn) wake(c call) {
	expired := !t.now.Before(c.req.Deadline)
	switch {
	case c.phase == phaseClaiming:
		// The write's own deadline answers it.
	case expired:
		t.finish(c, Verdict{
			Outcome: c.worst, Code: CodeDeadline, RetryAfter: retryLater, Reason: "no place was free before the deadline",
		})
	case c.phase == phaseAsking:
		// The owner is told in case the ask still arrives.
		t.note(NoteFallback, c.group.String(), string(c.owner))
		t.send(c.owner, FreePlace{Place: c.place})
		t.pickLocally(c)
		t.suspect(c.owner)
	case c.phase == phaseWaiting:
		t.ask(c)
	}
}

// reportPlaces tells a group's new owner which places this host's calls hold.
func (t *turn) reportPlaces(id routing.GroupID, owner ident.Host) {
	if owner == "" {
		return
	}
	var permits []routing.Permit
	for _, c := range t.calls.All() {
		if c.phase != phaseRunning || c.group != id {
			continue
		}
		c.owner = owner
		t.put(c)
		permits = append(permits, routing.Permit{
			Place: c.place, Target: c.target, Account: c.account.ID, Key: c.req.Chat, Work: c.req.Work,
			Router: t.settings.ID, Incarnation: t.settings.Incarnation, Until: c.req.Deadline.Add(retryLater),
		})
	}
	if len(permits) > 0 {
		t.send(owner, AdoptPlaces{Group: id, Permits: permits})
	}
}

// reask sends the asks that wait at a group's old owner to the new one.
func (t *turn) reask(id routing.GroupID) {
	for _, c := range t.calls.All() {
		if c.group == id && (c.phase == phaseAsking || c.phase == phaseQueued) {
			c.owner = ""
			t.ask(c)
		}
	}
}
