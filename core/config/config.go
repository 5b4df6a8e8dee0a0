// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package config is the configuration that every host of the fleet follows:
// client accounts, priority classes, services, models, targets, hosts,
// placement intents and hand-over steps.
//
// # Usage
//
// A Config is an immutable value; With applies one change and counts it:
//
//	next, err := cfg.With(config.PutClass{Class: config.Class{ID: "urgent"}})
//
// Replicas and followers apply the same changes in the same order and so hold
// equal configurations at equal versions.
package config

import (
	"slices"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// Config is one version of the configuration. The zero value is empty.
type Config struct {
	Version   Version
	Accounts  table.Table[ident.Account, Account]
	Classes   table.Table[ident.Class, Class]
	Services  table.Table[ident.Service, Service]
	Models    table.Table[ident.Model, Model]
	Targets   table.Table[ident.Target, Target]
	Hosts     table.Table[ident.Host, Host]
	Intents   table.Table[ident.Intent, Intent]
	HandOvers table.Table[string, HandOver]
	// Gateway is the route table, put in force whole. The field keeps the name that
	// documents on the wire and on disk use.
	Gateway RouteTable
	// keys finds an account by the hash of its key.
	keys table.Table[string, ident.Account]
}

// AccountByKey returns the account whose key has the given hash.
func (c Config) AccountByKey(hash string) (Account, bool) {
	id, ok := c.keys.Get(hash)
	if !ok {
		return Account{}, false
	}
	return c.Accounts.Get(id)
}

// Share returns the percentage of a service that zone z takes; 100 where no
// hand-over step was set.
func (c Config) Share(s ident.Service, z ident.Zone) int {
	h, ok := c.HandOvers.Get(HandOver{Service: s, Zone: z}.Key())
	if !ok {
		return wholeShare
	}
	return h.Percent
}

const wholeShare = 100

// With returns the configuration after ch, one version higher, or an error
// that says what is wrong with ch.
func (c Config) With(ch Change) (Config, error) {
	ch, err := c.completed(ch)
	if err != nil {
		return c, err
	}
	if err := c.check(ch); err != nil {
		return c, err
	}
	c.Version++
	switch ch := ch.(type) {
	case PutAccount:
		return c.withAccount(ch.Account), nil
	case DeleteAccount:
		old, _ := c.Accounts.Get(ch.ID)
		c.keys = c.keys.Without(old.KeyHash)
		c.Accounts = c.Accounts.Without(ch.ID)
	case PutClass:
		ch.Class.Rev = c.Version
		c.Classes = c.Classes.With(ch.Class.ID, ch.Class)
	case DeleteClass:
		c.Classes = c.Classes.Without(ch.ID)
	case PutService:
		ch.Service.Rev = c.Version
		c.Services = c.Services.With(ch.Service.ID, ch.Service)
	case DeleteService:
		c.Services = c.Services.Without(ch.ID)
	case PutModel:
		ch.Model.Rev = c.Version
		c.Models = c.Models.With(ch.Model.ID, ch.Model)
	case DeleteModel:
		c.Models = c.Models.Without(ch.ID)
	case PutTarget:
		ch.Target.Rev = c.Version
		c.Targets = c.Targets.With(ch.Target.ID, ch.Target)
	case DeleteTarget:
		c.Targets = c.Targets.Without(ch.ID)
	case PutHost:
		ch.Host.Rev = c.Version
		c.Hosts = c.Hosts.With(ch.Host.ID, ch.Host)
	case DeleteHost:
		c.Hosts = c.Hosts.Without(ch.ID)
	case PutIntent:
		ch.Intent.Rev = c.Version
		c.Intents = c.Intents.With(ch.Intent.ID, ch.Intent)
	case DeleteIntent:
		c.Intents = c.Intents.Without(ch.ID)
	case PutHandOver:
		ch.HandOver.Rev = c.Version
		c.HandOvers = c.HandOvers.With(ch.HandOver.Key(), ch.HandOver)
	case SetModels:
		t, _ := c.Targets.Get(ch.Target)
		t.Models = slices.Clone(ch.Models)
		t.Rev = c.Version
		c.Targets = c.Targets.With(t.ID, t)
	case PutRouteTable:
		c.Gateway = ch.Gateway
	}
	return c, nil
}

// completed fills in what a change may leave out: the key of an account that
// exists, which is never shown and so cannot be sent back, and what a patch takes
// from the route table in force.
func (c Config) completed(ch Change) (Change, error) {
	switch ch := ch.(type) {
	case PutAccount:
		if ch.Account.KeyHash == "" {
			old, _ := c.Accounts.Get(ch.Account.ID)
			ch.Account.KeyHash = old.KeyHash
		}
		return ch, nil
	case PatchRouteTable:
		next, err := c.Gateway.WithPatch(ch.Patch)
		return PutRouteTable{Gateway: next}, err
	}
	return ch, nil
}

func (c Config) withAccount(a Account) Config {
	if old, ok := c.Accounts.Get(a.ID); ok {
		c.keys = c.keys.Without(old.KeyHash)
	}
	a.Rev = c.Version
	c.Accounts = c.Accounts.With(a.ID, a)
	c.keys = c.keys.With(a.KeyHash, a.ID)
	return c
}

// ModelCount returns how many targets hold a model.
func (c Config) ModelCount(m ident.Model) int {
	n := 0
	for _, t := range c.Targets.All() {
		if slices.Contains(t.Models, m) {
			n++
		}
	}
	return n
}
