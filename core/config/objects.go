// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
)

// Version counts accepted configuration changes; it never falls.
type Version uint64

// Account is one client account.
type Account struct {
	ID ident.Account `json:"id"`
	// KeyHash is the hex SHA-256 of the account's key.
	KeyHash string `json:"key_hash,omitempty"`
	// Weight is the account's part of a contended service; 1 where zero.
	Weight float64 `json:"weight,omitempty"`
	// MaxInFlight bounds its requests in flight on one host; 0 is no bound.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// RequestsPerSecond bounds its requests on the whole fleet; 0 is no bound.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Classes lists the priority classes it may ask for; the first is its
	// default. Empty allows the default class only.
	Classes []ident.Class `json:"classes,omitempty"`
	Rev     Version       `json:"rev,omitempty"`
}

// Class is a priority class. Lower ranks go first.
type Class struct {
	ID   ident.Class `json:"id"`
	Rank int         `json:"rank"`
	// QueueLimit bounds the requests waiting in one engine group.
	QueueLimit int `json:"queue_limit,omitempty"`
	// MaxWait bounds the time in a queue.
	MaxWait Duration `json:"max_wait,omitempty"`
	Rev     Version  `json:"rev,omitempty"`
}

// ServiceKind tells engines from plain services.
type ServiceKind string

// Kinds of service.
const (
	KindEngine ServiceKind = "engine"
	KindPlain  ServiceKind = "plain"
)

// Service is a pool of model engines or the workers of a plain service.
type Service struct {
	ID   ident.Service `json:"id"`
	Kind ServiceKind   `json:"kind,omitempty"`
	// Multiple bounds an engine's load to this multiple of the fleet mean.
	Multiple float64 `json:"multiple,omitempty"`
	// NotRepeatable makes every call one that must not run twice.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
	// OnceRoutes lists path prefixes whose calls must not run twice.
	OnceRoutes []string `json:"once_routes,omitempty"`
	// LoadBytesPerSecond is the weight store's rate over the whole fleet; 0 is
	// no bound.
	LoadBytesPerSecond int64 `json:"load_bytes_per_second,omitempty"`
	// Timeout bounds one call; 0 takes the daemon's default.
	Timeout Duration `json:"timeout,omitempty"`
	Rev     Version  `json:"rev,omitempty"`
}

// Model is a model version that engines can load.
type Model struct {
	ID          ident.Model   `json:"id"`
	Service     ident.Service `json:"service,omitempty"`
	WeightBytes int64         `json:"weight_bytes,omitempty"`
	Rev         Version       `json:"rev,omitempty"`
}

// Target is a model engine or one worker of a plain service.
type Target struct {
	ID      ident.Target  `json:"id"`
	Service ident.Service `json:"service,omitempty"`
	Zone    ident.Zone    `json:"zone,omitempty"`
	// Address is ip:port.
	Address string `json:"address,omitempty"`
	// Slots is how many requests it serves at once.
	Slots int `json:"slots,omitempty"`
	// MaxModels is how many models fit; 1 where zero.
	MaxModels int `json:"max_models,omitempty"`
	// ChecksFence tells whether it refuses orders with an old token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Models are the models loaded by confirmed orders or at registration.
	Models []ident.Model `json:"models,omitempty"`
	Rev    Version       `json:"rev,omitempty"`
}

// HasModel tells whether the target serves m; a plain worker serves any.
func (t Target) HasModel(m ident.Model) bool {
	for _, have := range t.Models {
		if have == m {
			return true
		}
	}
	return m == ""
}

// Host is one process of the fleet.
type Host struct {
	ID   ident.Host `json:"id"`
	Zone ident.Zone `json:"zone,omitempty"`
	// Address is the peer ip:port.
	Address string `json:"address,omitempty"`
	// Serves is true where it takes callers' requests.
	Serves bool    `json:"serves,omitempty"`
	Rev    Version `json:"rev,omitempty"`
}

// Intent says what shall be served.
type Intent struct {
	ID      ident.Intent  `json:"id"`
	Service ident.Service `json:"service,omitempty"`
	Model   ident.Model   `json:"model,omitempty"`
	// Replicas is how many engines shall hold the model, per zone.
	Replicas []ZoneReplicas `json:"replicas,omitempty"`
	// Exclude lists engines that must not be used.
	Exclude []ident.Target `json:"exclude,omitempty"`
	Rev     Version        `json:"rev,omitempty"`
}

// ZoneReplicas is one zone's share of an intent.
type ZoneReplicas struct {
	Zone  ident.Zone `json:"zone,omitempty"`
	Count int        `json:"count"`
}

// HandOver is how much of a service a zone's hosts serve through yardhall.
type HandOver struct {
	Service ident.Service `json:"service,omitempty"`
	Zone    ident.Zone    `json:"zone,omitempty"`
	// Percent is 0 (off) to 100 (whole).
	Percent int     `json:"percent"`
	Rev     Version `json:"rev,omitempty"`
}

// Key returns the table key of the hand-over step.
func (h HandOver) Key() string { return string(h.Service) + "/" + string(h.Zone) }

// Duration is a time span that reads and writes as text such as 30s.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a time such as 30s", text)
	}
	*d = Duration(v)
	return nil
}
