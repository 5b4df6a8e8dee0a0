// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package ident holds the names that every other package of the core uses for
// hosts, availability zones, client accounts, targets and requests.
//
// # Usage
//
// Each name is a distinct string type, so that a host cannot be passed where a
// target is expected:
//
//	var h ident.Host = "entry-1"
//	var z ident.Zone = "hall-a"
package ident

import (
	"strconv"
	"strings"
)

type (
	// Host names one process of the fleet; unique over the fleet.
	Host string
	// Zone names an availability zone.
	Zone string
	// Account names a client account.
	Account string
	// Target names a model engine or one worker of a plain service.
	Target string
	// Service names a plain service or a model pool.
	Service string
	// Version names the version of a target's software; empty if the target does not report it.
	Version string
	// Model names a model as callers write it, version included.
	Model string
	// Class names a priority class.
	Class string
	// Request names one caller request; unique over the fleet.
	Request string
	// PermitID names one ask of a request for a place on an engine; a request
	// that asks again has another.
	PermitID string
	// Intent names a placement intent.
	Intent string
	// Plan names a plan.
	Plan string
)

// identityMark parts a replica's address from the name of its disk.
const identityMark = "#"

// Address returns the part of a replica's name at which its host is reached.
func (h Host) Address() Host {
	address, _, _ := strings.Cut(string(h), identityMark)
	return Host(address)
}

// WithDisk returns the name of the replica at address h on the given disk.
func (h Host) WithDisk(disk string) Host { return h + identityMark + Host(disk) }

const (
	placeMark = "."
	placeBase = 36
)

// PermitIDOf names the ask with that number of a request.
func PermitIDOf(r Request, number int) PermitID {
	return PermitID(string(r) + placeMark + strconv.FormatInt(int64(number), placeBase))
}

// Request returns the request that asked for the place.
func (p PermitID) Request() Request {
	i := strings.LastIndex(string(p), placeMark)
	if i < 0 {
		return Request(p)
	}
	return Request(p[:i])
}
