// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import "github.com/yardhall/yardhall/core/ident"

// RevOf returns the revision of the object that ch touches; 0 where there is
// none.
func (c Config) RevOf(ch Change) Version {
	switch ch := ch.(type) {
	case PutAccount:
		return c.revOfAccount(ch.Account.ID)
	case DeleteAccount:
		return c.revOfAccount(ch.ID)
	case PutClass:
		return c.revOfClass(ch.Class.ID)
	case DeleteClass:
		return c.revOfClass(ch.ID)
	case PutService:
		return c.revOfService(ch.Service.ID)
	case DeleteService:
		return c.revOfService(ch.ID)
	case PutModel:
		return c.revOfModel(ch.Model.ID)
	case DeleteModel:
		return c.revOfModel(ch.ID)
	case PutTarget:
		return c.revOfTarget(ch.Target.ID)
	case SetModels:
		return c.revOfTarget(ch.Target)
	case DeleteTarget:
		return c.revOfTarget(ch.ID)
	case PutHost:
		return c.revOfHost(ch.Host.ID)
	case DeleteHost:
		return c.revOfHost(ch.ID)
	case PutIntent:
		return c.revOfIntent(ch.Intent.ID)
	case DeleteIntent:
		return c.revOfIntent(ch.ID)
	case PutHandOver:
		v, _ := c.HandOvers.Get(ch.HandOver.Key())
		return v.Rev
	case PutGateway:
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
	case PutGateway:
		return "gateway"
	}
	return ""
}

func (c Config) revOfAccount(id ident.Account) Version {
	v, _ := c.Accounts.Get(id)
	return v.Rev
}

func (c Config) revOfClass(id ident.Class) Version {
	v, _ := c.Classes.Get(id)
	return v.Rev
}

func (c Config) revOfService(id ident.Service) Version {
	v, _ := c.Services.Get(id)
	return v.Rev
}

func (c Config) revOfModel(id ident.Model) Version {
	v, _ := c.Models.Get(id)
	return v.Rev
}

func (c Config) revOfTarget(id ident.Target) Version {
	v, _ := c.Targets.Get(id)
	return v.Rev
}

func (c Config) revOfHost(id ident.Host) Version {
	v, _ := c.Hosts.Get(id)
	return v.Rev
}

func (c Config) revOfIntent(id ident.Intent) Version {
	v, _ := c.Intents.Get(id)
	return v.Rev
}
