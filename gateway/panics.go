// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"net/http"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
)

// recoverPanic ends a request whose handler panics apart from an attempt: the core forgets it, and the caller is answered, or its connection aborted if the
// response has begun. http.ErrAbortHandler is how a handler aborts a connection by itself.
func (c *serverCall) recoverPanic(id ident.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler { //nolint:errorlint // net/http compares it as well.
		panic(v)
	}
	c.server.observePanic(id, v)
	c.server.forget(id)
	if c.headerSent || c.relay.headerSent {
		panic(http.ErrAbortHandler)
	}
	http.Error(c.writer, "internal_error: the request may have run", http.StatusInternalServerError)
	c.headerSent = true
}

// forget ends a request in the core, if that is still possible.
func (s *Server) forget(id ident.Request) {
	defer func() {
		if v := recover(); v != nil {
			s.observePanic(id, v)
		}
	}()
	s.core.Decide(requests.Expired{Request: id})
}
