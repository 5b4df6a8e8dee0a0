// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/outcome"
)

// Verdict is the result of a request for its caller.
type Verdict struct {
	Outcome outcome.Kind
	Code    Code
	Reason  string
	// RetryAfter is the advised wait before a retry; 0 for no advice.
	RetryAfter time.Duration
	// Claim is set if an earlier request holds the claim of the same key.
	Claim *catalog.Claim
	// Answer is the stored answer of that request, if it is available.
	Answer *Answer
}

// Answer is a target's complete answer, stored for resends.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Code is the machine-readable part of a Verdict.
type Code string

// Codes of a Verdict.
const (
	CodeOK               Code = "ok"
	CodeInvalidAPIKey    Code = "invalid_api_key"
	CodeModelNotFound    Code = "model_not_found"
	CodeServiceNotFound  Code = "service_not_found"
	CodeClassNotAllowed  Code = "class_not_allowed"
	CodeLimitExceeded    Code = "rate_limit_exceeded"
	CodeOverloaded       Code = "overloaded"
	CodeNoTarget         Code = "no_target"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeTargetFailed     Code = "target_failed"
	CodeClaimUnavailable Code = "claim_unavailable"
	CodeAlreadyRan       Code = "already_ran"
	CodeAlreadyRunning   Code = "already_running"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeKeyExpired       Code = "idempotency_key_expired"
	CodeKeyInvalid       Code = "idempotency_key_invalid"
	CodeNotHandedOver    Code = "not_handed_over"
	CodeNotReady         Code = "not_ready"
	CodeDraining         Code = "draining"
	CodeCallerGone       Code = "caller_gone"
	CodeCrashesTargets   Code = "crashes_targets"
)
