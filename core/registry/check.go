// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxNameLength bounds ids and names in what others say of workers, in bytes: several
	// times the longest that platforms give out.
	maxNameLength = 256
	// maxSlots is more than any worker serves at once.
	maxSlots = 1 << 20
	// maxBorn is the last millisecond of the year 9999, which is no start of a process.
	maxBorn Incarnation = 253_402_300_799_999
	// maxCold is longer than any worker needs to load its weights and warm up.
	maxCold = time.Hour
)

// Check returns why a registration describes no usable worker, or nil. Of a worker that is gone only
// the id is checked.
func (w Worker) Check() error {
	switch {
	case w.ID == "" || len(w.ID) > maxNameLength:
		return errors.New("the id is empty or too long")
	case w.State > Gone:
		return errors.Errorf("the state %d is not known", w.State)
	case w.Born < 0 || w.Born > maxBorn:
		return errors.Errorf("the start %d is no time", w.Born)
	case w.Cold < 0 || w.Cold > maxCold:
		return errors.Errorf("cold for %s", w.Cold)
	case w.State == Gone:
		return nil
	case w.Pool == "" || len(w.Pool) > maxNameLength:
		return errors.New("the service is empty or too long")
	case len(w.Zone) > maxNameLength:
		return errors.New("the zone is too long")
	case len(w.Version) > maxNameLength:
		return errors.New("the version is too long")
	case w.Slots <= 0 || w.Slots > maxSlots:
		return errors.Errorf("%d slots", w.Slots)
	}
	return checkAddress(w.Address)
}

// checkAddress returns why an address is not of the form host:port, or nil.
func checkAddress(address string) error {
	colon := strings.LastIndexByte(address, ':')
	if colon <= 0 || len(address) > maxNameLength {
		return errors.Errorf("the address %.80q is not of host and port", address)
	}
	if port, err := strconv.ParseUint(address[colon+1:], 10, 16); err != nil || port == 0 {
		return errors.Errorf("the address %.80q has no port", address)
	}
	return nil
}

// Checked returns the workers that can be used, and why the first of the others cannot;
// nil where all can. The others of a list hold beside one that does not.
func Checked(workers []Worker) ([]Worker, error) {
	var first error
	return slices.DeleteFunc(workers, func(w Worker) bool {
		err := w.Check()
		if err != nil && first == nil {
			first = errors.Wrapf(err, "worker %.80q", w.ID)
		}
		return err != nil
	}), first
}
