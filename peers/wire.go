// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"encoding/gob"
	"time"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// Hello is the first call of a connection. It identifies and authenticates the caller.
type Hello struct {
	From  ident.Host
	Fleet string
	Key   string
	// Boot is the incarnation of the caller's process; 0 if it is not sent.
	Boot uint64
}

// Batch carries messages from one host to another, in no particular order.
type Batch struct{ Messages []host.Message }

// Ack is the reply to a call.
type Ack struct {
	// Taken is the number of messages delivered; 1 in the reply to a Hello.
	Taken int
	// Boot is the incarnation of the called process, in the reply to a Hello.
	Boot uint64
	// sentAt is when the caller sent the call; it does not travel.
	sentAt time.Time
}

// registerTypes registers the message types with gob under names that do not depend on Go
// identifiers. Gob skips unknown fields, so that hosts of adjacent versions are compatible.
func registerTypes() {
	for _, t := range host.WireTypes() {
		gob.RegisterName(t.Name, t.Value)
	}
}
