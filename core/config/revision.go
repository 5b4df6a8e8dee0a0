// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"cmp"

	"github.com/yardhall/yardhall/core/table"
)

// RevOf returns the revision of the object that ch touches; 0 where there is
// none.
func (c Config) RevOf(ch Change) Version {
	switch ch := ch.(type) {
	case PutAccount:
		return revOf(c.Accounts, ch.Account.ID)
	case DeleteAccount:
		return revOf(c.Accounts, ch.ID)
	case PutClass:
		return revOf(c.Classes, ch.Class.ID)
	case DeleteClass:
		return revOf(c.Classes, ch.ID)
	case PutService:
		return revOf(c.Services, ch.Service.ID)
	case DeleteService:
		return revOf(c.Services, ch.ID)
	case PutModel:
		return revOf(c.Models, ch.Model.ID)
	case DeleteModel:
		return revOf(c.Models, ch.ID)
	case PutTarget:
		return revOf(c.Targets, ch.Target.ID)
	case SetModels:
		return revOf(c.Targets, ch.Target)
	case DeleteTarget:
		return revOf(c.Targets, ch.ID)
	case PutHost:
		return revOf(c.Hosts, ch.Host.ID)
	case DeleteHost:
		return revOf(c.Hosts, ch.ID)
	case PutIntent:
		return revOf(c.Intents, ch.Intent.ID)
	case DeleteIntent:
		return revOf(c.Intents, ch.ID)
	case PutHandOver:
		return revOf(c.HandOvers, ch.HandOver.Key())
	case PutGateway, PatchGateway:
		return Version(c.Gateway.Number)
	}
	return 0
}

// ObjectOf names the object that ch touches, for the audit trail.
func ObjectOf(ch Change) string {
	switch ch := ch.(type) {
	case PutAccount:
		return "account/" + string(ch.Account.ID)
	case DeleteAccount:
		return "account/" + string(ch.ID)
	case PutClass:
		return "class/" + string(ch.Class.ID)
	case DeleteClass:
		return "class/" + string(ch.ID)
	case PutService:
		return "service/" + string(ch.Service.ID)
	case DeleteService:
		return "service/" + string(ch.ID)
	case PutModel:
		return "model/" + string(ch.Model.ID)
	case DeleteModel:
		return "model/" + string(ch.ID)
	case PutTarget:
		return "target/" + string(ch.Target.ID)
	case SetModels:
		return "target/" + string(ch.Target)
	case DeleteTarget:
		return "target/" + string(ch.ID)
	case PutHost:
		return "host/" + string(ch.Host.ID)
	case DeleteHost:
		return "host/" + string(ch.ID)
	case PutIntent:
		return "intent/" + string(ch.Intent.ID)
	case DeleteIntent:
		return "intent/" + string(ch.ID)
	case PutHandOver:
		return "handover/" + ch.HandOver.Key()
	case PutGateway, PatchGateway:
		return "gateway"
	}
	return ""
}

// revised is an object that knows the version of its last change.
type revised interface{ revision() Version }

// revOf returns the revision of the object with that key; 0 where there is
// none.
func revOf[K cmp.Ordered, V revised](objects table.Table[K, V], key K) Version {
	v, _ := objects.Get(key)
	return v.revision()
}

func (a Account) revision() Version  { return a.Rev }
func (c Class) revision() Version    { return c.Rev }
func (s Service) revision() Version  { return s.Rev }
func (m Model) revision() Version    { return m.Rev }
func (t Target) revision() Version   { return t.Rev }
func (h Host) revision() Version     { return h.Rev }
func (i Intent) revision() Version   { return i.Rev }
func (h HandOver) revision() Version { return h.Rev }
