// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"cmp"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// ObjectKind is a kind of configured object.
type ObjectKind string

// Kinds of configured object, as the audit trail names them.
const (
	KindAccount    ObjectKind = "account"
	KindClass      ObjectKind = "class"
	KindService    ObjectKind = "service"
	KindModel      ObjectKind = "model"
	KindTarget     ObjectKind = "target"
	KindHost       ObjectKind = "host"
	KindIntent     ObjectKind = "intent"
	KindHandOver   ObjectKind = "handover"
	KindRouteTable ObjectKind = "gateway"
)

// Subject is what a change does to which object. Its parts stand in the stored audit
// trail, so they do not follow the names of types.
type Subject struct {
	Action string
	Kind   ObjectKind
	// ID is empty for the route table, of which there is one.
	ID string
}

// Object names the object in the audit trail.
func (s Subject) Object() string {
	if s.ID == "" {
		return string(s.Kind)
	}
	return string(s.Kind) + "/" + s.ID
}

// SubjectOf returns what ch does to which object.
func SubjectOf(ch Change) Subject {
	switch ch := ch.(type) {
	case PutAccount:
		return Subject{"PutAccount", KindAccount, string(ch.Account.ID)}
	case DeleteAccount:
		return Subject{"DeleteAccount", KindAccount, string(ch.ID)}
	case PutClass:
		return Subject{"PutClass", KindClass, string(ch.Class.ID)}
	case DeleteClass:
		return Subject{"DeleteClass", KindClass, string(ch.ID)}
	case PutService:
		return Subject{"PutService", KindService, string(ch.Service.ID)}
	case DeleteService:
		return Subject{"DeleteService", KindService, string(ch.ID)}
	case PutModel:
		return Subject{"PutModel", KindModel, string(ch.Model.ID)}
	case DeleteModel:
		return Subject{"DeleteModel", KindModel, string(ch.ID)}
	case PutTarget:
		return Subject{"PutTarget", KindTarget, string(ch.Target.ID)}
	case SetModels:
		return Subject{"SetModels", KindTarget, string(ch.Target)}
	case DeleteTarget:
		return Subject{"DeleteTarget", KindTarget, string(ch.ID)}
	case PutHost:
		return Subject{"PutHost", KindHost, string(ch.Host.ID)}
	case DeleteHost:
		return Subject{"DeleteHost", KindHost, string(ch.ID)}
	case PutIntent:
		return Subject{"PutIntent", KindIntent, string(ch.Intent.ID)}
	case DeleteIntent:
		return Subject{"DeleteIntent", KindIntent, string(ch.ID)}
	case PutHandOver:
		return Subject{"PutHandOver", KindHandOver, ch.HandOver.Key()}
	case PutRouteTable:
		return Subject{"PutGateway", KindRouteTable, ""}
	case PatchRouteTable:
		return Subject{"PatchGateway", KindRouteTable, ""}
	}
	return Subject{}
}

// RevOf returns the revision of the object that ch touches; 0 where there is none.
func (c Config) RevOf(ch Change) Version {
	s := SubjectOf(ch)
	switch s.Kind {
	case KindAccount:
		return revOf(c.Accounts, ident.Account(s.ID))
	case KindClass:
		return revOf(c.Classes, ident.Class(s.ID))
	case KindService:
		return revOf(c.Services, ident.Service(s.ID))
	case KindModel:
		return revOf(c.Models, ident.Model(s.ID))
	case KindTarget:
		return revOf(c.Targets, ident.Target(s.ID))
	case KindHost:
		return revOf(c.Hosts, ident.Host(s.ID))
	case KindIntent:
		return revOf(c.Intents, ident.Intent(s.ID))
	case KindHandOver:
		return revOf(c.HandOvers, s.ID)
	case KindRouteTable:
		return Version(c.Gateway.Number)
	}
	return 0
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
