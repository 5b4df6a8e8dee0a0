// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package retryafter reads the header Retry-After (RFC 9110, 10.2.3).
//
// # Usage
//
//	wait := retryafter.Of(resp.Header, clock.Now())
//
// Seconds may have fractions, which the RFC does not know. A date counts from the answer's own
// Date, so that clocks need not agree.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Max bounds the time that one answer may ask for, so that a wrong number does not lose its sender
// for good.
const Max = time.Hour

// Of is the time that a header asks for; 0 where it asks for none, or cannot be read.
func Of(h http.Header, now time.Time) time.Duration {
	text := strings.TrimSpace(h.Get("Retry-After"))
	// A number beyond the range of float64 is returned as an infinity.
	if seconds, err := strconv.ParseFloat(text, 64); err == nil || math.IsInf(seconds, 0) {
		return bounded(seconds)
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	if date, err := http.ParseTime(h.Get("Date")); err == nil {
		now = date
	}
	return bounded(at.Sub(now).Seconds())
}

// bounded is a time in seconds as a duration; 0 where it is no time to wait.
func bounded(seconds float64) time.Duration {
	if !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, Max.Seconds()) * float64(time.Second))
}
