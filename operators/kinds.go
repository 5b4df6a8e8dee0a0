// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package operators

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// object is one configured object with its revision.
type object struct {
	value any
	rev   config.Version
}

// kind is one collection of the operators' API.
type kind struct {
	list   func(c config.Config) any
	get    func(c config.Config, id string) (object, bool)
	put    func(id string, body []byte) (config.Change, error)
	remove func(id string) config.Change
}

// kindOf makes the collection of a table from its objects' changes. remove may
// be nil.
func kindOf[K ~string, V any](
	objects func(config.Config) table.Table[K, V],
	rev func(V) config.Version,
	put func(K, V) config.Change,
	remove func(K) config.Change,
) kind {
	k := kind{
		list: func(c config.Config) any { return objects(c).Values() },
		get: func(c config.Config, id string) (object, bool) {
			v, ok := objects(c).Get(K(id))
			return object{v, rev(v)}, ok
		},
		put: func(id string, body []byte) (config.Change, error) {
			var v V
			err := decode(body, &v)
			return put(K(id), v), err
		},
	}
	if remove != nil {
		k.remove = func(id string) config.Change { return remove(K(id)) }
	}
	return k
}

// kinds returns the collections by their names in paths.
func kinds() map[string]kind {
	return map[string]kind{
		"accounts": accountKind(),
		"classes": kindOf(
			func(c config.Config) table.Table[ident.Class, config.Class] { return c.Classes },
			func(v config.Class) config.Version { return v.Rev },
			func(id ident.Class, v config.Class) config.Change { v.ID = id; return config.PutClass{Class: v} },
			func(id ident.Class) config.Change { return config.DeleteClass{ID: id} },
		),
		"services": kindOf(
			func(c config.Config) table.Table[ident.Service, config.Service] { return c.Services },
			func(v config.Service) config.Version { return v.Rev },
			func(id ident.Service, v config.Service) config.Change {
				v.ID = id
				return config.PutService{Service: v}
			},
			func(id ident.Service) config.Change { return config.DeleteService{ID: id} },
		),
		"models": kindOf(
			func(c config.Config) table.Table[ident.Model, config.Model] { return c.Models },
			func(v config.Model) config.Version { return v.Rev },
			func(id ident.Model, v config.Model) config.Change { v.ID = id; return config.PutModel{Model: v} },
			func(id ident.Model) config.Change { return config.DeleteModel{ID: id} },
		),
		"targets": kindOf(
			func(c config.Config) table.Table[ident.Target, config.Target] { return c.Targets },
			func(v config.Target) config.Version { return v.Rev },
			func(id ident.Target, v config.Target) config.Change { v.ID = id; return config.PutTarget{Target: v} },
			func(id ident.Target) config.Change { return config.DeleteTarget{ID: id} },
		),
		"hosts": kindOf(
			func(c config.Config) table.Table[ident.Host, config.Host] { return c.Hosts },
			func(v config.Host) config.Version { return v.Rev },
			func(id ident.Host, v config.Host) config.Change { v.ID = id; return config.PutHost{Host: v} },
			func(id ident.Host) config.Change { return config.DeleteHost{ID: id} },
		),
		"gateway": gatewayKind(),
		"intents": intentKind(),
		"handovers": kindOf(
			func(c config.Config) table.Table[string, config.HandOver] { return c.HandOvers },
			func(v config.HandOver) config.Version { return v.Rev },
			func(_ string, v config.HandOver) config.Change { return config.PutHandOver{HandOver: v} },
			nil,
		),
	}
}

// accountKind hides the key hashes, which are nobody's business to read.
func accountKind() kind {
	k := kindOf(
		func(c config.Config) table.Table[ident.Account, config.Account] { return c.Accounts },
		func(v config.Account) config.Version { return v.Rev },
		func(id ident.Account, v config.Account) config.Change {
			v.ID = id
			return config.PutAccount{Account: v}
		},
		func(id ident.Account) config.Change { return config.DeleteAccount{ID: id} },
	)
	k.list = func(c config.Config) any {
		accounts := c.Accounts.Values()
		for i := range accounts {
			accounts[i].KeyHash = ""
		}
		return accounts
	}
	k.get = func(c config.Config, id string) (object, bool) {
		v, ok := c.Accounts.Get(ident.Account(id))
		v.KeyHash = ""
		return object{v, v.Rev}, ok
	}
	return k
}

// intentKind takes no writes: an intent comes into force by its plan.
func intentKind() kind {
	k := kindOf(
		func(c config.Config) table.Table[ident.Intent, config.Intent] { return c.Intents },
		func(v config.Intent) config.Version { return v.Rev },
		func(ident.Intent, config.Intent) config.Change { return nil },
		func(id ident.Intent) config.Change { return config.DeleteIntent{ID: id} },
	)
	k.put = func(string, []byte) (config.Change, error) {
		return nil, errors.New("an intent comes into force by its confirmed plan: POST it to /v1/plans")
	}
	return k
}

// gatewayTable is the name of the one route table.
const gatewayTable = "table"

// gatewayKind is the route table, which is replaced whole: the highest number
// prevails, and one that does not exceed it changes nothing.
func gatewayKind() kind {
	held := func(c config.Config) config.RouteTable { return c.Gateway.WithoutSource() }
	return kind{
		list: func(c config.Config) any { return held(c) },
		get: func(c config.Config, id string) (object, bool) {
			return object{held(c), config.Version(c.Gateway.Number)}, id == gatewayTable && c.Gateway.Number > 0
		},
		put: func(id string, body []byte) (config.Change, error) {
			var g config.RouteTable
			if id != gatewayTable {
				return nil, errors.Errorf("the route table is /gateway/%s", gatewayTable)
			}
			if err := decode(body, &g); err != nil {
				return nil, err
			}
			if len(g.Source) > 0 {
				return nil, errors.New("source is not taken here")
			}
			if g.Keys != nil {
				g = g.WithKeysRequired()
			}
			return config.PutRouteTable{Gateway: g}, g.Check()
		},
	}
}

func decode(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return errors.Wrap(d.Decode(v), "the body")
}
