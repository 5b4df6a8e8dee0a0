// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog

import (
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/core/zones"
)

// Write is one entry of the replicated log.
type Write struct {
	// ID marks a logical write; its answer carries it.
	ID string
	// Remember keeps the first answer for writes resent under the same ID.
	// Claims and orders are safe to resend without it.
	Remember bool
	// Actor is who asked: an operator, or a host of the fleet.
	Actor string
	// At is the leader's time; the catalog never lets it run backwards.
	At      time.Time
	Command Command
}

// Command is what a Write does. The set is closed.
type Command interface{ command() }

type (
	// Edit changes the configuration.
	Edit struct {
		Change config.Change
		// Guarded makes the edit depend on Rev, the object's revision that the
		// operator saw; 0 for one that must not exist yet.
		Guarded bool
		Rev     config.Version
	}
	// StateIntent asks for a plan.
	StateIntent struct {
		Intent config.Intent
		// Unusable are engines that the leader knows as down or leaving.
		Unusable []ident.Target
		// Repair is true where the system asks by itself.
		Repair bool
	}
	// Decide confirms, rejects, pauses, resumes or aborts a plan.
	Decide struct {
		Plan     ident.Plan
		Verb     Verb
		Rev      uint64
		Unusable []ident.Target
	}
	// IssueOrder gives a step its next fencing token before it is sent.
	IssueOrder struct {
		Plan ident.Plan
		Step int
	}
	// EndOrder records what became of the order with Token.
	EndOrder struct {
		Plan  ident.Plan
		Step  int
		Token uint64
		OK    bool
		Error string
	}
	// ClaimRun asks for the right to run a request that must not run twice.
	ClaimRun struct {
		Key     ClaimKey
		Created time.Time
		// Digest is the hash of the request, so that a key used for two
		// different requests is noticed.
		Digest  uint64
		Host    ident.Host
		Request ident.Request
	}
	// EndClaim records how the claimed request ended.
	EndClaim struct {
		Key     ClaimKey
		Request ident.Request
		Outcome outcome.Kind
	}
	// ChangeZone drains or restores an availability zone.
	ChangeZone struct{ zones.Change }
	// OrderRollout starts the rollout of a version.
	OrderRollout struct{ rollouts.Order }
	// AdvanceRollout is the leader's next step of a rollout.
	AdvanceRollout struct{ rollouts.Progress }
	// AdoptVersion makes a version the current one of a service without a rollout.
	AdoptVersion struct{ rollouts.Adoption }
	// RevertRollout reverts a running rollout.
	RevertRollout struct{ rollouts.Revert }
)

func (Edit) command()           {}
func (StateIntent) command()    {}
func (Decide) command()         {}
func (IssueOrder) command()     {}
func (EndOrder) command()       {}
func (ClaimRun) command()       {}
func (EndClaim) command()       {}
func (ChangeZone) command()     {}
func (OrderRollout) command()   {}
func (AdvanceRollout) command() {}
func (AdoptVersion) command()   {}
func (RevertRollout) command()  {}

// Verb is an operator's decision on a plan.
type Verb string

// Verbs of a decision.
const (
	Confirm Verb = "confirm"
	Reject  Verb = "reject"
	Pause   Verb = "pause"
	Resume  Verb = "resume"
	Abort   Verb = "abort"
)

// Result is what became of a Write.
type Result struct {
	Code   Code
	Reason string
	// Version is the configuration version after the write.
	Version config.Version
	// Plan is the plan made or decided on.
	Plan ident.Plan
	// Token is the fencing token of an issued order.
	Token uint64
	// Claim is the claim that already stands.
	Claim Claim
	// Zones is the revision of the drained zones that answers a ChangeZone.
	Zones uint64
	// Rollouts is the revision of the rollouts that answers a command about them.
	Rollouts uint64
}

// Code is the kind of a Result.
type Code string

// Codes of a Result.
const (
	OK          Code = "ok"
	Invalid     Code = "invalid"
	Conflict    Code = "conflict"
	NotFound    Code = "not_found"
	GroundMoved Code = "ground_moved"
	// Overtaken means that another order for the zone came first; the order may be sent again.
	Overtaken  Code = "overtaken"
	ClaimTaken Code = "claim_taken"
	KeyExpired Code = "key_expired"
	KeyReused  Code = "key_reused"
	// BaseMoved means that the base of a patch is not the object in force; nothing has changed, and
	// the whole object may be sent.
	BaseMoved Code = "base_moved"
	// Unsupported means that a replica or host does not support the command yet, or has it disabled;
	// the command may be sent again.
	Unsupported Code = "unsupported"
)

// Tags of commands; never renumber.
const firstTag = 7000

func commandTypes() []any {
	return []any{
		Edit{}, StateIntent{}, Decide{}, IssueOrder{}, EndOrder{}, ClaimRun{}, EndClaim{},
	}
}

type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// modes are built once from constant options and never change.
var modes = newCodec()

func newCodec() codec {
	tags := cbor.NewTagSet()
	for i, v := range commandTypes() {
		opts := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
		mustBeRegistered(tags.Add(opts, reflect.TypeOf(v), firstTag+uint64(i)))
	}
	mustBeRegistered(config.RegisterTags(tags))
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncModeWithTags(tags)
	mustBeRegistered(err)
	dec, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecModeWithTags(tags)
	mustBeRegistered(err)
	return codec{enc: enc, dec: dec}
}

const maxElements = 1 << 22

func mustBeRegistered(err error) {
	if err != nil {
		panic(errors.Wrap(err, "catalog: codec"))
	}
}

// byValue turns the pointers that the decoder puts into interfaces back into
// the values that type switches expect.
func byValue[T any](v T) T {
	if r := reflect.ValueOf(v); r.Kind() == reflect.Pointer {
		if value, ok := r.Elem().Interface().(T); ok {
			return value
		}
	}
	return v
}
