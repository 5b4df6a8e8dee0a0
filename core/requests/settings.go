// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// Settings configure a host. Zero fields take the defaults of the settings file, except
// StartupTimeout.
type Settings struct {
	// Host is this host's name. It seeds the deterministic selections that differ between hosts.
	Host ident.Host
	Zone ident.Zone
	// KeyLease is how long a confirmed route table may be used for requests with a key. A revoked
	// key stops working within this time.
	KeyLease time.Duration
	// ZoneDrain is the time after the acknowledgement of a drain order from which nothing more is
	// sent to the zone.
	ZoneDrain time.Duration
	// RetryShare is the fraction of a pool's requests that the fleet may retry; RetryExtra is a
	// number of retries allowed in addition.
	RetryShare float64
	RetryExtra float64
	// An engine's load is bounded by LoadFactor times the mean load of its pool plus LoadSlack
	// requests.
	LoadFactor float64
	LoadSlack  float64
	// StartupTimeout is how long requests may wait for a starting host to become able to serve; 0
	// means that they do not wait.
	StartupTimeout time.Duration
	// RolloutShare is the largest share of a service's requests that a version being rolled out may
	// get before it has been judged. 0 disables rollouts: the versions of workers are ignored.
	RolloutShare float64
	// RolloutLease is how long after the as-of time of its newest confirmation a host sends requests
	// to a version being rolled out.
	RolloutLease time.Duration
}

// Defaults of Settings. All but DefaultLoadSlack and DefaultRolloutLease are also those of the settings
// file; a test compares them.
const (
	DefaultKeyLease   = 4 * time.Second
	DefaultZoneDrain  = 5 * time.Second
	DefaultRetryShare = 0.2
	DefaultRetryExtra = 20
	DefaultLoadFactor = 2.0
	// DefaultLoadSlack, in requests, lets engines keep their prefixes when the mean load is low.
	DefaultLoadSlack = 2.5
	// DefaultRolloutLease is half of the default time in which a bad version must be left.
	DefaultRolloutLease = 2500 * time.Millisecond
)

func (s Settings) withDefaults() Settings {
	s.KeyLease = cmp.Or(s.KeyLease, DefaultKeyLease)
	s.ZoneDrain = cmp.Or(s.ZoneDrain, DefaultZoneDrain)
	s.RetryShare = cmp.Or(s.RetryShare, DefaultRetryShare)
	s.RetryExtra = cmp.Or(s.RetryExtra, DefaultRetryExtra)
	s.LoadFactor = cmp.Or(s.LoadFactor, DefaultLoadFactor)
	s.LoadSlack = cmp.Or(s.LoadSlack, DefaultLoadSlack)
	s.RolloutLease = cmp.Or(s.RolloutLease, DefaultRolloutLease)
	return s
}
