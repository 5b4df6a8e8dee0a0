// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package operators

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
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

// kinds returns the collections by their names in paths.
func kinds() map[string]kind {
	return map[string]kind{
		"accounts": {
			list: func(c config.Config) any { return withoutKeys(c.Accounts.Values()) },
			get: func(c config.Config, id string) (object, bool) {
				v, ok := c.Accounts.Get(ident.Account(id))
				return object{withoutKeys([]config.Account{v})[0], v.Rev}, ok
			},
			put: func(id string, body []byte) (config.Change, error) {
				v := config.Account{}
				err := decode(body, &v)
				v.ID = ident.Account(id)
				return config.PutAccount{Account: v}, err
			},
			remove: func(id string) config.Change { return config.DeleteAccount{ID: ident.Account(id)} },
		},
		"classes": {
			list: func(c config.Config) any { return c.Classes.Values() },
			get: func(c config.Config, id string) (object, bool) {
				v, ok := c.Classes.Get(ident.Class(id))
				return object{v, v.Rev}, ok
			},
			put: func(id string, body []byte) (config.Change, error) {
				v := config.Class{}
				err := decode(body, &v)
				v.ID = ident.Class(id)
				return config.PutClass{Class: v}, err
			},
			remove: func(id string) config.Change { return config.DeleteClass{ID: ident.Class(id)} },
		},
		"services": {
			list: func(c config.Config) any { return c.Services.Values() },
			get: func(c config.Config, id string) (object, bool) {
				v, ok := c.Services.Get(ident.Service(id))
				return object{v, v.Rev}, ok
			},
			put: func(id string, body []byte) (config.Change, error) {
				v := config.Service{}
				err := decode(body, &v)
				v.ID = ident.Service(id)
				return config.PutService{Service: v}, err
			},
			remove: func(id string) config.Change { return config.DeleteService{ID: ident.Service(id)} },
		},
		"models": {
			list: func(c config.Config) any { return c.Models.Values() },
			get: func(c config.Config, id string) (object, bool) {
				v, ok := c.Models.Get(ident.Model(id))
				return object{v, v.Rev}, ok
			},
			put: func(id string, body []byte) (config.Change, error) {
				v := config.Model{}
				err := decode(body, &v)
				v.ID = ident.Model(id)
				return config.PutModel{Model: v}, err
			},
			remove: func(id string) config.Change { return config.DeleteModel{ID: ident.Model(id)} },
		},
		"targets": {
			list: func(c config.Config) any { return c.Targets.Values() },
			get: func(c config.Config, id string) (object, bool) {
				v, ok := c.Targets.Get(ident.Target(id))
				return object{v, v.Rev}, ok
			},
			put: func(id string, body []byte) (config.Change, error) {
				v := config.Target{}
				err := decode(body, &v)
				v.ID = ident.Target(id)
				return config.PutTarget{Target: v}, err
			},
			remove: func(id string) config.Change { return config.DeleteTarget{ID: ident.Target(id)} },
		},
		"hosts": {
			list: func(c config.Config) any { return c.Hosts.Values() },
			get: func(c config.Config, id string) (object, bool) {
				v, ok := c.Hosts.Get(ident.Host(id))
				return object{v, v.Rev}, ok
			},
			put: func(id string, body []byte) (config.Change, error) {
				v := config.Host{}
				err := decode(body, &v)
				v.ID = ident.Host(id)
				return config.PutHost{Host: v}, err
			},
			remove: func(id string) config.Change { return config.DeleteHost{ID: ident.Host(id)} },
		},
		"intents": {
			list: func(c config.Config) any { return c.Intents.Values() },
			get: func(c config.Config, id string) (object, bool) {
				v, ok := c.Intents.Get(ident.Intent(id))
				return object{v, v.Rev}, ok
			},
			put: func(string, []byte) (config.Change, error) {
				return nil, errors.New("an intent comes into force by its confirmed plan: POST it to /v1/plans")
			},
			remove: func(id string) config.Change { return config.DeleteIntent{ID: ident.Intent(id)} },
		},
		"handovers": {
			list: func(c config.Config) any { return c.HandOvers.Values() },
			get: func(c config.Config, id string) (object, bool) {
				v, ok := c.HandOvers.Get(id)
				return object{v, v.Rev}, ok
			},
			put: func(_ string, body []byte) (config.Change, error) {
				v := config.HandOver{}
				err := decode(body, &v)
				return config.PutHandOver{HandOver: v}, err
			},
		},
	}
}

// withoutKeys hides the key hashes, which are nobody's business to read.
func withoutKeys(accounts []config.Account) []config.Account {
	out := make([]config.Account, 0, len(accounts))
	for _, a := range accounts {
		a.KeyHash = ""
		out = append(out, a)
	}
	return out
}

func decode(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return errors.Wrap(d.Decode(v), "the body")
}
