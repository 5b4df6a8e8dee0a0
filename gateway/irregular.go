// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"github.com/yardhall/yardhall/core/ident"
)

// IrregularKind says what a worker sent instead of, or beside, the response to a request.
type IrregularKind string

// Kinds of irregular bytes.
const (
	// SurplusBytes follow a whole response, or arrive on an idle connection.
	SurplusBytes IrregularKind = "surplus_bytes"
	// ForeignResponse is a response with the id of another request.
	ForeignResponse IrregularKind = "foreign_response"
	// UnidentifiedResponse is a response without a request id.
	UnidentifiedResponse IrregularKind = "unidentified_response"
	// LongHeader and LongBody exceed a limit on their size.
	LongHeader IrregularKind = "long_header"
	LongBody   IrregularKind = "long_body"
	// MalformedHead is a head with a status that HTTP does not define, an interim response with a body, or bytes that are no head.
	MalformedHead IrregularKind = "malformed_head"
	// UnmarkedRefusal is a response with a status by which hosts promise that a request was not run, and without
	// the header that says so. The worker may have run the request, so it is passed on as an answer.
	UnmarkedRefusal IrregularKind = "unmarked_refusal"
)

// Irregularity describes irregular bytes from a worker, for logs and metrics.
type Irregularity struct {
	Kind   IrregularKind
	Worker ident.Target
	// LocalAddress is this host's end of the connection.
	LocalAddress string
	// Request is the request that the connection carried last; empty if it has carried none.
	Request ident.Request
	// Reused is set if the connection had carried another request before that one.
	Reused bool
}

// reportIrregular reports irregular bytes on the connection of this attempt.
func (x *exchange) reportIrregular(kind IrregularKind) {
	x.server.observeIrregular(Irregularity{
		Kind: kind, Worker: x.dispatch.Worker.ID, LocalAddress: x.localAddress(), Request: x.dispatch.Request, Reused: x.reused,
	})
}

// reportSurplus reports bytes on an idle connection.
func (s *Server) reportSurplus(c *workerConn) {
	s.observeIrregular(Irregularity{
		Kind: SurplusBytes, Worker: c.process.id, LocalAddress: c.LocalAddr().String(), Request: c.lastRequest, Reused: true,
	})
}
