// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
)

// check returns why ch cannot be applied, or nil.
func (c Config) check(ch Change) error {
	switch ch := ch.(type) {
	case PutAccount:
		return c.checkAccount(ch.Account)
	case PutClass:
		return checkClass(ch.Class)
	case PutService:
		return checkService(ch.Service)
	case PutModel:
		return c.checkModel(ch.Model)
	case PutTarget:
		return c.checkTarget(ch.Target)
	case PutHost:
		return checkHost(ch.Host)
	case PutIntent:
		return c.checkIntent(ch.Intent)
	case PutHandOver:
		return c.checkHandOver(ch.HandOver)
	case SetModels:
		return missing(c.Targets.Has(ch.Target), "target", string(ch.Target))
	case DeleteAccount:
		return missing(c.Accounts.Has(ch.ID), "account", string(ch.ID))
	case DeleteClass:
		return c.checkDeleteClass(ch.ID)
	case DeleteService:
		return c.checkDeleteService(ch.ID)
	case DeleteModel:
		return c.checkDeleteModel(ch.ID)
	case DeleteTarget:
		return missing(c.Targets.Has(ch.ID), "target", string(ch.ID))
	case DeleteHost:
		return missing(c.Hosts.Has(ch.ID), "host", string(ch.ID))
	case DeleteIntent:
		return missing(c.Intents.Has(ch.ID), "intent", string(ch.ID))
	case PutRouteTable:
		return ch.Gateway.Check()
	}
	return errors.Errorf("unknown change %T", ch)
}

func missing(present bool, kind, id string) error {
	if present {
		return nil
	}
	return errors.Errorf("no %s %q", kind, id)
}

func named(kind, id string) error {
	if id == "" {
		return errors.Errorf("%s without an id", kind)
	}
	return nil
}

const keyHashLen = 64

func (c Config) checkAccount(a Account) error {
	if err := named("account", string(a.ID)); err != nil {
		return err
	}
	if len(a.KeyHash) != keyHashLen {
		return errors.Errorf("account %q: key hash must be %d hex digits", a.ID, keyHashLen)
	}
	if owner, ok := c.keys.Get(a.KeyHash); ok && owner != a.ID {
		return errors.Errorf("account %q: key already in use", a.ID)
	}
	if a.Weight < 0 || a.MaxInFlight < 0 || a.RequestsPerSecond < 0 {
		return errors.Errorf("account %q: limits must not be negative", a.ID)
	}
	for _, class := range a.Classes {
		if !c.Classes.Has(class) {
			return errors.Errorf("account %q: no class %q", a.ID, class)
		}
	}
	return nil
}

func checkClass(class Class) error {
	if class.QueueLimit < 0 || class.MaxWait < 0 {
		return errors.Errorf("class %q: limits must not be negative", class.ID)
	}
	return named("class", string(class.ID))
}

func checkService(s Service) error {
	if s.Kind != KindEngine && s.Kind != KindPlain {
		return errors.Errorf("service %q: kind must be %q or %q", s.ID, KindEngine, KindPlain)
	}
	if s.Kind == KindEngine && s.Multiple < 1 {
		return errors.Errorf("service %q: multiple must be 1 or more", s.ID)
	}
	if s.LoadBytesPerSecond < 0 {
		return errors.Errorf("service %q: load_bytes_per_second must not be negative", s.ID)
	}
	return named("service", string(s.ID))
}

func (c Config) checkModel(m Model) error {
	if err := named("model", string(m.ID)); err != nil {
		return err
	}
	s, ok := c.Services.Get(m.Service)
	if !ok || s.Kind != KindEngine {
		return errors.Errorf("model %q: no engine service %q", m.ID, m.Service)
	}
	return nil
}

func (c Config) checkTarget(t Target) error {
	if err := named("target", string(t.ID)); err != nil {
		return err
	}
	if !c.Services.Has(t.Service) {
		return errors.Errorf("target %q: no service %q", t.ID, t.Service)
	}
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		return errors.Errorf("target %q: address %q is not ip:port", t.ID, t.Address)
	}
	if t.Zone == "" || t.Slots < 1 {
		return errors.Errorf("target %q: needs a zone and at least one slot", t.ID)
	}
	for _, m := range t.Models {
		if !c.Models.Has(m) {
			return errors.Errorf("target %q: no model %q", t.ID, m)
		}
	}
	return nil
}

func checkHost(h Host) error {
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return errors.Errorf("host %q: address %q is not ip:port", h.ID, h.Address)
	}
	if h.Zone == "" {
		return errors.Errorf("host %q: needs a zone", h.ID)
	}
	return named("host", string(h.ID))
}

func (c Config) checkIntent(in Intent) error {
	if err := named("intent", string(in.ID)); err != nil {
		return err
	}
	m, ok := c.Models.Get(in.Model)
	if !ok || m.Service != in.Service {
		return errors.Errorf("intent %q: service %q has no model %q", in.ID, in.Service, in.Model)
	}
	seen := map[ident.Zone]bool{}
	for _, r := range in.Replicas {
		if r.Count < 0 || r.Zone == "" || seen[r.Zone] {
			return errors.Errorf("intent %q: zones must be named once with a count of 0 or more", in.ID)
		}
		seen[r.Zone] = true
	}
	return nil
}

func (c Config) checkHandOver(h HandOver) error {
	if h.Percent < 0 || h.Percent > wholeShare {
		return errors.Errorf("hand-over of %q: share must be 0 to 100", h.Service)
	}
	return missing(c.Services.Has(h.Service), "service", string(h.Service))
}

func (c Config) checkDeleteClass(id ident.Class) error {
	for _, a := range c.Accounts.All() {
		if slices.Contains(a.Classes, id) {
			return errors.Errorf("class %q is in use by account %q", id, a.ID)
		}
	}
	return missing(c.Classes.Has(id), "class", string(id))
}

func (c Config) checkDeleteService(id ident.Service) error {
	for _, t := range c.Targets.All() {
		if t.Service == id {
			return errors.Errorf("service %q still has target %q", id, t.ID)
		}
	}
	return missing(c.Services.Has(id), "service", string(id))
}

func (c Config) checkDeleteModel(id ident.Model) error {
	for _, t := range c.Targets.All() {
		if slices.Contains(t.Models, id) {
			return errors.Errorf("model %q is still on target %q", id, t.ID)
		}
	}
	return missing(c.Models.Has(id), "model", string(id))
}
