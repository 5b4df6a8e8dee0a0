// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
)

// Change is one change of the configuration. The set is closed.
type Change interface{ change() }

type (
	// PutAccount creates or replaces an account.
	PutAccount struct{ Account Account }
	// DeleteAccount removes an account.
	DeleteAccount struct{ ID ident.Account }
	// PutClass creates or replaces a priority class.
	PutClass struct{ Class Class }
	// DeleteClass removes a priority class.
	DeleteClass struct{ ID ident.Class }
	// PutService creates or replaces a service.
	PutService struct{ Service Service }
	// DeleteService removes a service without targets.
	DeleteService struct{ ID ident.Service }
	// PutModel creates or replaces a model.
	PutModel struct{ Model Model }
	// DeleteModel removes a model that no engine holds.
	DeleteModel struct{ ID ident.Model }
	// PutTarget registers or replaces a target.
	PutTarget struct{ Target Target }
	// DeleteTarget removes a target.
	DeleteTarget struct{ ID ident.Target }
	// PutHost registers or replaces a host of the fleet.
	PutHost struct{ Host Host }
	// DeleteHost removes a host.
	DeleteHost struct{ ID ident.Host }
	// PutIntent states an intent; it takes effect by its confirmed plan.
	PutIntent struct{ Intent Intent }
	// DeleteIntent removes an intent; what it placed stays.
	DeleteIntent struct{ ID ident.Intent }
	// PutHandOver moves a service's share in one zone.
	PutHandOver struct{ HandOver HandOver }
	// SetModels records which models an engine holds after an order.
	SetModels struct {
		Target ident.Target
		Models []ident.Model
	}
	// PutRouteTable replaces the whole route table.
	PutRouteTable struct{ Gateway RouteTable }
	// PatchRouteTable replaces the whole route table too, by what differs from the
	// one in force.
	PatchRouteTable struct{ Patch RouteTablePatch }
)

func (PutAccount) change()      {}
func (DeleteAccount) change()   {}
func (PutClass) change()        {}
func (DeleteClass) change()     {}
func (PutService) change()      {}
func (DeleteService) change()   {}
func (PutModel) change()        {}
func (DeleteModel) change()     {}
func (PutTarget) change()       {}
func (DeleteTarget) change()    {}
func (PutHost) change()         {}
func (DeleteHost) change()      {}
func (PutIntent) change()       {}
func (DeleteIntent) change()    {}
func (PutHandOver) change()     {}
func (SetModels) change()       {}
func (PutRouteTable) change()   {}
func (PatchRouteTable) change() {}

// Tags of changes on the wire and on disk; never renumber. Private use from
// the CBOR tag registry's unassigned range (RFC 8949, 9.2).
const firstTag = 7100

// Types lists every change in tag order; new ones go at the end.
func Types() []any {
	return []any{
		PutAccount{},
		DeleteAccount{},
		PutClass{},
		DeleteClass{},
		PutService{},
		DeleteService{},
		PutModel{},
		DeleteModel{},
		PutTarget{},
		DeleteTarget{},
		PutHost{},
		DeleteHost{},
		PutIntent{},
		DeleteIntent{},
		PutHandOver{},
		SetModels{},
		PutRouteTable{},
		PatchRouteTable{},
	}
}

// RegisterTags adds the changes to a CBOR tag set.
func RegisterTags(tags cbor.TagSet) error {
	for i, v := range Types() {
		opts := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
		if err := tags.Add(opts, reflect.TypeOf(v), firstTag+uint64(i)); err != nil {
			return errors.Wrapf(err, "register tag of %T", v)
		}
	}
	return nil
}
