// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package site

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/operators"
)

// Configure enters classes, services, models, targets and one account.
func (s *Site) Configure(ctx context.Context) error {
	c := s.Operator()
	put := func(path string, body any) error {
		_, err := c.Do(ctx, operators.Request{Method: http.MethodPut, Path: "/v1/" + path, Body: body, Key: keys.New()}, nil)
		return errors.Wrap(err, path)
	}
	for i, id := range []string{ClassUrgent, ClassNormal, ClassBulk} {
		if err := put("classes/"+id, config.Class{Rank: i, QueueLimit: 256, MaxWait: config.Duration(20 * time.Second)}); err != nil {
			return err
		}
	}
	if err := put("services/"+EngineService, config.Service{Kind: config.KindEngine, Multiple: s.builder.Multiple}); err != nil {
		return err
	}
	if err := put("services/"+PlainService, config.Service{Kind: config.KindPlain, OnceRoutes: []string{"/once"}}); err != nil {
		return err
	}
	for _, m := range []string{Model, SecondModel} {
		if err := put("models/"+m, config.Model{Service: EngineService, WeightBytes: 1 << 30}); err != nil {
			return err
		}
	}
	if err := s.configureTargets(put); err != nil {
		return err
	}
	return put("accounts/"+Account, config.Account{
		KeyHash: keys.Hash(s.AccountKey), Classes: []ident.Class{ClassNormal, ClassUrgent, ClassBulk},
	})
}

func (s *Site) configureTargets(put func(path string, body any) error) error {
	slots := cmp.Or(s.builder.Engine.Slots, 32)
	for i, e := range s.Engines {
		z := ZoneName(i / s.builder.EnginesPerZone)
		err := put("targets/"+EngineName(i), config.Target{
			Service: EngineService, Zone: z, Address: e.Address(), Slots: slots, MaxModels: 2,
			ChecksFence: s.builder.Engine.ChecksFence, Models: []ident.Model{Model},
		})
		if err != nil {
			return err
		}
	}
	for i, w := range s.Workers {
		z := ZoneName(i % s.builder.Zones)
		err := put(fmt.Sprintf("targets/worker-%d", i), config.Target{
			Service: PlainService, Zone: z, Address: w.Address(), Slots: slots,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// EngineName names engine i of the site.
func EngineName(i int) string { return fmt.Sprintf("engine-%d", i) }
