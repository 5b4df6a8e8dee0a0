// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
)

func with(t *testing.T, c config.Config, changes ...config.Change) config.Config {
	for _, ch := range changes {
		next, err := c.With(ch)
		require.NoError(t, err)
		require.Equal(t, c.Version+1, next.Version)
		c = next
	}
	return c
}

func TestAccountKeepsItsKeyAndLosesTheOldOne(t *testing.T) {
	first, second := strings.Repeat("a", 64), strings.Repeat("b", 64)
	c := with(t, config.Config{}, config.PutAccount{Account: config.Account{ID: "x", KeyHash: first}})
	c = with(t, c, config.PutAccount{Account: config.Account{ID: "x", Weight: 3}})
	a, ok := c.AccountByKey(first)
	require.True(t, ok)
	require.InDelta(t, 3, a.Weight, 0)
	c = with(t, c, config.PutAccount{Account: config.Account{ID: "x", KeyHash: second}})
	_, ok = c.AccountByKey(first)
	require.False(t, ok)
	_, err := c.With(config.PutAccount{Account: config.Account{ID: "y", KeyHash: second}})
	require.ErrorContains(t, err, "already in use")
	c = with(t, c, config.DeleteAccount{ID: "x"})
	_, ok = c.AccountByKey(second)
	require.False(t, ok)
}

// TestBadChangesAreRefusedWhole gives changes that must leave no trace.
func TestBadChangesAreRefusedWhole(t *testing.T) {
	c := with(t, config.Config{},
		config.PutClass{Class: config.Class{ID: "c"}},
		config.PutService{Service: config.Service{ID: "s", Kind: config.KindEngine, Multiple: 1}},
		config.PutModel{Model: config.Model{ID: "m", Service: "s"}},
		config.PutTarget{Target: config.Target{ID: "t", Service: "s", Zone: "z", Address: "127.0.0.1:1", Slots: 1, Models: []ident.Model{"m"}}},
		config.PutAccount{Account: config.Account{ID: "a", KeyHash: strings.Repeat("a", 64), Classes: []ident.Class{"c"}}},
	)
	for _, ch := range []config.Change{
		config.PutAccount{Account: config.Account{ID: "b", KeyHash: "short"}},
		config.PutAccount{Account: config.Account{ID: "a", Classes: []ident.Class{"none"}}},
		config.PutService{Service: config.Service{ID: "s2", Kind: "other"}},
		config.PutService{Service: config.Service{ID: "s2", Kind: config.KindEngine, Multiple: 0.5}},
		config.PutTarget{Target: config.Target{ID: "t2", Service: "s", Zone: "z", Address: "engine.example:1", Slots: 1}},
		config.PutTarget{Target: config.Target{ID: "t2", Service: "none", Zone: "z", Address: "127.0.0.1:1", Slots: 1}},
		config.PutIntent{Intent: config.Intent{ID: "i", Service: "s", Model: "none"}},
		config.PutIntent{Intent: config.Intent{ID: "i", Service: "s", Model: "m", Replicas: []config.ZoneReplicas{{Zone: "z"}, {Zone: "z"}}}},
		config.PutHandOver{HandOver: config.HandOver{Service: "s", Zone: "z", Percent: 101}},
		config.PutHost{Host: config.Host{ID: "h", Zone: "z", Address: "localhost:1"}},
		config.DeleteClass{ID: "c"},
		config.DeleteService{ID: "s"},
		config.DeleteModel{ID: "m"},
		config.DeleteTarget{ID: "none"},
		config.DeleteAccount{ID: "none"},
	} {
		next, err := c.With(ch)
		require.Error(t, err, "%#v", ch)
		require.Equal(t, c.Document(), next.Document())
	}
	require.Equal(t, c.Document(), config.FromDocument(c.Document()).Document())
}
