// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// ClaimWindow is how long a claim is remembered after its key was made. A key
// older than this is refused, so forgetting a claim never allows a second run.
const ClaimWindow = 10 * time.Minute

// ClaimSkew is how far a key's time may lie ahead of the leader's.
const ClaimSkew = time.Minute

// ClaimKey is a caller's key for one logical request.
type ClaimKey struct {
	Account ident.Account
	Key     string
}

func (k ClaimKey) table() string { return string(k.Account) + "\x00" + k.Key }

// Claim is the right to run one request once.
type Claim struct {
	Key     ClaimKey
	Created time.Time
	Digest  uint64
	Host    ident.Host
	Request ident.Request
	// Ended is "" while the request may be running.
	Ended outcome.Kind
}

// claimRun grants the claim, or returns its holder.
func (c Catalog) claimRun(cmd ClaimRun) (Catalog, Result) {
	if cmd.Created.Add(ClaimWindow).Before(c.Time) {
		return c, Result{Code: KeyExpired, Reason: "the key is older than the window in which runs are remembered"}
	}
	if cmd.Created.After(c.Time.Add(ClaimSkew)) {
		return c, Result{Code: Invalid, Reason: "the key's time lies in the future"}
	}
	old, ok := c.claims.Get(cmd.Key.table())
	if ok && old.Digest != cmd.Digest {
		return c, Result{Code: KeyReused, Reason: "the key was used for another request", Claim: old}
	}
	if ok && old.Request == cmd.Request && old.Ended == "" {
		// The same attempt asks again, as its answer was lost.
		return c, Result{Code: OK, Claim: old}
	}
	if ok && (old.Ended != outcome.NotRun || old.Request == cmd.Request) {
		// Also an attempt that has ended: a late copy of its ask grants nothing.
		return c, Result{Code: ClaimTaken, Claim: old}
	}
	claim := Claim{Key: cmd.Key, Created: cmd.Created, Digest: cmd.Digest, Host: cmd.Host, Request: cmd.Request}
	if !ok {
		c.claimSeq++
		c.claimOrder = c.claimOrder.With(c.claimSeq, cmd.Key)
	}
	c.claims = c.claims.With(cmd.Key.table(), claim)
	return c, Result{Code: OK, Claim: claim}
}

func (c Catalog) endClaim(cmd EndClaim) (Catalog, Result) {
	claim, ok := c.claims.Get(cmd.Key.table())
	if !ok || claim.Request != cmd.Request {
		return c, Result{Code: NotFound, Reason: "no such claim"}
	}
	if claim.Ended != "" {
		return c, Result{Code: OK, Claim: claim}
	}
	claim.Ended = cmd.Outcome
	c.claims = c.claims.With(cmd.Key.table(), claim)
	return c, Result{Code: OK, Claim: claim}
}

// forgetClaims drops claims whose key would now be refused as too old.
func (c Catalog) forgetClaims() Catalog {
	for {
		seq, key, ok := c.claimOrder.First()
		if !ok {
			return c
		}
		claim, known := c.claims.Get(key.table())
		if known && !claim.Created.Add(ClaimWindow).Before(c.Time) {
			return c
		}
		c.claims = c.claims.Without(key.table())
		c.claimOrder = c.claimOrder.Without(seq)
	}
}
