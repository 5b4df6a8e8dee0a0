// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog

import (
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/pack"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/core/zones"
)

// record is a write as log data. A command that was added later is held in a field of its own, of
// which only one is set. Programs that do not know the field ignore it and execute Command, which is
// then the end of a claim that nobody holds and changes nothing. A replica of such a program can
// therefore run beside others.
type record struct {
	Write
	Zone     *zones.Change      `cbor:",omitempty"`
	Order    *rollouts.Order    `cbor:",omitempty"`
	Progress *rollouts.Progress `cbor:",omitempty"`
	Adoption *rollouts.Adoption `cbor:",omitempty"`
	Revert   *rollouts.Revert   `cbor:",omitempty"`
}

// newRecord returns the record of a write.
func newRecord(w Write) record {
	r := record{Write: w}
	switch c := w.Command.(type) {
	case ChangeZone:
		r.Zone = &c.Change
	case OrderRollout:
		r.Order = &c.Order
	case AdvanceRollout:
		r.Progress = &c.Progress
	case AdoptVersion:
		r.Adoption = &c.Adoption
	case RevertRollout:
		r.Revert = &c.Revert
	default:
		return r
	}
	r.Command = EndClaim{}
	return r
}

// addedCommand returns the command held in a field of its own; nil if there is none.
func (r record) addedCommand() Command {
	switch {
	case r.Zone != nil:
		return ChangeZone{Change: *r.Zone}
	case r.Order != nil:
		return OrderRollout{Order: *r.Order}
	case r.Progress != nil:
		return AdvanceRollout{Progress: *r.Progress}
	case r.Adoption != nil:
		return AdoptVersion{Adoption: *r.Adoption}
	case r.Revert != nil:
		return RevertRollout{Revert: *r.Revert}
	}
	return nil
}

// Encode returns the write as log data.
func (w Write) Encode() []byte {
	b, err := modes.enc.Marshal(newRecord(w))
	if err != nil {
		panic(errors.Wrap(err, "catalog: encode a write"))
	}
	return pack.Bytes(b)
}

// DecodeWrite reads log data back.
func DecodeWrite(b []byte) (Write, error) {
	var r record
	data, err := pack.Unpack(b)
	if err != nil {
		return Write{}, errors.Wrap(err, "decode write")
	}
	if err := modes.dec.Unmarshal(data, &r); err != nil {
		return Write{}, errors.Wrap(err, "decode write")
	}
	w := r.Write
	if c := r.addedCommand(); c != nil {
		w.Command = c
		return w, nil
	}
	if w.Command == nil {
		return Write{}, errors.New("write without a command")
	}
	w.Command = byValue(w.Command)
	if e, ok := w.Command.(Edit); ok {
		if e.Change == nil {
			return Write{}, errors.New("edit without a change")
		}
		e.Change = byValue(e.Change)
		w.Command = e
	}
	return w, nil
}
