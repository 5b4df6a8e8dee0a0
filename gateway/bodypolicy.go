// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"cmp"
	"time"
)

// A request's body is read if its bytes fit into the memory for bodies; otherwise it waits unread, and is refused with 503
// if none comes free in time. Nothing of a refused request was run. Among waiting requests the most urgent is served
// first, then the one whose key holds the fewest bytes, then the oldest. A part of the memory takes small bodies only, so
// that large ones do not keep small requests out. A body that is being read must arrive at a minimum rate and without long
// pauses; otherwise its request ends with 408 and its memory is free again.
//
// Inputs: the memory of the process and the bytes held (bytes), the length of the body (bytes), the rank of the request (0
// is the most urgent), the key of its caller, the rate at which memory came free (bytes a second), the times at which the
// body began and last went on.
//
// Reason: a process that exceeds its memory is killed and loses all of its requests, a refused request is sent again.

const (
	// smallBody is the largest body that may take memory kept for small ones. Long prompts have 72,000 bytes.
	smallBody = 128 << 10
	// smallBodyParts is the number of parts of the memory for bodies of which one takes small bodies only.
	smallBodyParts = 4
	// DefaultMaxBodies bounds the bytes of all request bodies if the memory of the process is not known.
	DefaultMaxBodies = 48 << 20
	// bufferPercent of the memory of a process are for bodies and responses, goPercent bound all memory of the Go
	// runtime. The rest is for code and for bytes in socket buffers.
	bufferPercent = 30
	goPercent     = 75
	percent       = 100
	// maxBodyWait bounds the wait for memory: callers give up on a host that has not read a request after a second.
	// A wait takes a third of the time until the deadline at most, so that the caller can send the request again.
	maxBodyWait   = 800 * time.Millisecond
	bodyWaitParts = 3
	// certainFactor is how many times longer than the wait allowed a body is expected to wait that is refused at once. With
	// 1, callers that ignore Retry-After came so often that a host took 235 MB.
	certainFactor = 2
	// minBodyRate is the least mean rate of a body in bytes a second, once bodyAllowance has passed.
	minBodyRate = 64 << 10
	// bodyAllowance is the allowance for pauses if the configuration sets no time for heads.
	bodyAllowance = 10 * time.Second
	// minBodyRetry and maxBodyRetry bound the Retry-After of a request that is refused for memory.
	minBodyRetry = 200 * time.Millisecond
	maxBodyRetry = 5 * time.Second
	// rateWindow is the time over which the rate is measured at which memory comes free.
	rateWindow = time.Second
)

// GoMemoryLimit returns the limit of the Go runtime, in bytes, for a process that may use the given memory.
func GoMemoryLimit(memory int64) int64 { return memory / percent * goPercent }

// bufferLimits bound the bytes of all responses, of all bodies, and of the bodies in the part for small ones.
type bufferLimits struct{ responses, bodies, small int64 }

// bufferLimitsFor divides the buffers of a process with the given memory, 0 if it is not known. responses is the configured
// limit on responses; they take half of the buffers at most.
func bufferLimitsFor(memory, responses int64) bufferLimits {
	l := bufferLimits{responses: cmp.Or(responses, DefaultMaxBuffered), bodies: DefaultMaxBodies}
	if memory > 0 {
		total := memory / percent * bufferPercent
		l.responses = min(l.responses, total/2)
		l.bodies = total - l.responses
	}
	l.small = l.bodies / smallBodyParts
	return l
}

// large returns the bytes that bodies of all sizes may take.
func (l bufferLimits) large() int64 { return l.bodies - l.small }

// charge returns what a body of the given length takes. One that is larger than the memory for bodies is read while no other
// large one is held, as the configuration allows it.
func (l bufferLimits) charge(length int64) int64 { return min(length, l.large()) }

// bodyWaitLimit returns how long a request may wait for memory. deadline is zero if the caller names none.
func bodyWaitLimit(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return maxBodyWait
	}
	return min(maxBodyWait, deadline.Sub(now)/bodyWaitParts)
}

// bodyDeadline returns until when the next bytes of a body must arrive. Reading began at startedAt, and received bytes have
// arrived until now.
func bodyDeadline(startedAt time.Time, received int, allowance time.Duration, now time.Time) time.Time {
	byRate := startedAt.Add(allowance + time.Duration(received)*time.Second/minBodyRate)
	if pause := now.Add(allowance); pause.Before(byRate) {
		return pause
	}
	return byRate
}

// bodyRetryAfter returns when memory for a refused body is likely to be free: ahead are the bytes that must come free first,
// rate is that at which they do, in bytes a second, 0 if not known.
func bodyRetryAfter(ahead int64, rate float64) time.Duration {
	if rate <= 0 {
		return maxBodyWait
	}
	after := time.Duration(float64(ahead) / rate * float64(time.Second)).Round(time.Millisecond)
	return min(max(after, minBodyRetry), maxBodyRetry)
}

// isRefusedAtOnce reports whether it is certain that a body cannot be read within the wait allowed.
func isRefusedAtOnce(ahead int64, rate float64, wait time.Duration) bool {
	return rate > 0 && float64(ahead)/rate > certainFactor*wait.Seconds()
}

// bodyClaim is what a request needs of the memory for bodies.
type bodyClaim struct {
	bytes int64
	small bool
	rank  int
	key   string
}

// claimOf returns the claim of a body of the given length.
func (l bufferLimits) claimOf(length int64, rank int, key string) bodyClaim {
	return bodyClaim{bytes: l.charge(length), small: length <= smallBody, rank: rank, key: key}
}

// releaseRate measures the rate at which memory comes free while requests wait for it. The zero value knows none.
type releaseRate struct {
	since time.Time
	bytes int64
}

// withReleased returns the rate after bytes came free. Older bytes count less.
func (r releaseRate) withReleased(bytes int64, now time.Time) releaseRate {
	if r.since.IsZero() {
		return r
	}
	if elapsed := now.Sub(r.since); elapsed > 2*rateWindow {
		r.since, r.bytes = now.Add(-rateWindow), int64(float64(r.bytes)*rateWindow.Seconds()/elapsed.Seconds())
	}
	r.bytes += bytes
	return r
}

// withWaiting returns the rate once requests wait, or no longer wait, for memory.
func (r releaseRate) withWaiting(waiting bool, now time.Time) releaseRate {
	switch {
	case !waiting:
		return releaseRate{}
	case r.since.IsZero():
		return releaseRate{since: now}
	}
	return r
}

// perSecond returns the rate in bytes a second, 0 before it was measured for half of a window.
func (r releaseRate) perSecond(now time.Time) float64 {
	elapsed := now.Sub(r.since)
	if r.since.IsZero() || elapsed < rateWindow/2 {
		return 0
	}
	return float64(r.bytes) / elapsed.Seconds()
}
