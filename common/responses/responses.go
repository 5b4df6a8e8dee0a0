// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package responses decides what the head of an HTTP response is. net/http reads any three characters that parse as a number as a status, and
// the body of an interim response as the next head.
//
// # Usage
//
//	resp, err := http.ReadResponse(reader, request)
//	switch responses.KindOf(resp) {
//	case responses.Interim: // read the next head
//	case responses.Malformed: // close the connection
//	case responses.Final: // read the body
//	}
//
// An HTTP client that reads interim responses by itself calls CheckInterim for each.
package responses

import (
	"net/http"

	"github.com/pkg/errors"
)

// Kind is what a head is.
type Kind uint8

const (
	// Malformed heads have a status that HTTP does not define, or are interim ones with a body. Nothing that follows them on the connection may be
	// read.
	Malformed Kind = iota
	// Interim heads come before the final one of the same response.
	Interim
	// Final heads begin the response proper.
	Final
)

// ErrMalformed is the error of an attempt whose response has a malformed head.
var ErrMalformed = errors.New("response with a malformed head")

// Bounds of the classes of statuses (RFC 9110, 15): a status outside of them is not defined.
const (
	firstInterim = 100
	firstFinal   = 200
	firstInvalid = 600
	statusDigits = 3
)

// KindOf returns the kind of a head as read by net/http. Status 101 answers a request to upgrade the connection, and none is sent.
func KindOf(resp *http.Response) Kind {
	switch {
	case !hasThreeDigits(resp.Status) || resp.StatusCode < firstInterim || resp.StatusCode >= firstInvalid:
		return Malformed
	case resp.StatusCode >= firstFinal:
		return Final
	case CheckInterim(resp.StatusCode, resp.Header) != nil || len(resp.TransferEncoding) > 0:
		return Malformed
	}
	return Interim
}

// CheckInterim returns an error if an interim response is malformed: it must have no body (RFC 9110, 15.2).
func CheckInterim(status int, h http.Header) error {
	if status == http.StatusSwitchingProtocols || len(h["Content-Length"]) > 0 || len(h["Transfer-Encoding"]) > 0 {
		return errors.Wrapf(ErrMalformed, "status %d", status)
	}
	return nil
}

// hasThreeDigits reports whether the status line has a status of three digits.
func hasThreeDigits(status string) bool {
	if len(status) < statusDigits || len(status) > statusDigits && status[statusDigits] != ' ' {
		return false
	}
	for _, c := range status[:statusDigits] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
