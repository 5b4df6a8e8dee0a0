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
	// Model names a model as callers write it, version included.
	Model string
	// Class names a priority class.
	Class string
	// Request names one caller request; unique over the fleet.
	Request string
	// Intent names a placement intent.
	Intent string
	// Plan names a plan.
	Plan string
)
