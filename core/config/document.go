// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// Document is a whole configuration as it travels and as it is stored.
type Document struct {
	Version   Version
	Accounts  []Account
	Classes   []Class
	Services  []Service
	Models    []Model
	Targets   []Target
	Hosts     []Host
	Intents   []Intent
	HandOvers []HandOver
	Gateway   RouteTable
}

// Document returns the configuration in its transferable form.
func (c Config) Document() Document {
	return Document{
		Version: c.Version, Accounts: c.Accounts.Values(), Classes: c.Classes.Values(),
		Services: c.Services.Values(), Models: c.Models.Values(), Targets: c.Targets.Values(),
		Hosts: c.Hosts.Values(), Intents: c.Intents.Values(), HandOvers: c.HandOvers.Values(),
		Gateway: c.Gateway,
	}
}

// FromDocument returns the configuration that d describes.
func FromDocument(d Document) Config {
	c := Config{Version: d.Version, Gateway: d.Gateway}
	for _, a := range d.Accounts {
		c.Accounts = c.Accounts.With(a.ID, a)
		c.keys = c.keys.With(a.KeyHash, a.ID)
	}
	c.Classes = tableOf(d.Classes, func(v Class) ident.Class { return v.ID })
	c.Services = tableOf(d.Services, func(v Service) ident.Service { return v.ID })
	c.Models = tableOf(d.Models, func(v Model) ident.Model { return v.ID })
	c.Targets = tableOf(d.Targets, func(v Target) ident.Target { return v.ID })
	c.Hosts = tableOf(d.Hosts, func(v Host) ident.Host { return v.ID })
	c.Intents = tableOf(d.Intents, func(v Intent) ident.Intent { return v.ID })
	c.HandOvers = tableOf(d.HandOvers, func(v HandOver) string { return v.Key() })
	return c
}

func tableOf[K ~string, V any](values []V, key func(V) K) table.Table[K, V] {
	var t table.Table[K, V]
	for _, v := range values {
		t = t.With(key(v), v)
	}
	return t
}
