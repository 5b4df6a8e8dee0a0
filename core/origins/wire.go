// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package origins

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

const (
	// keyBytes is the size of a key on the wire.
	keyBytes = 8
	// MaxReported bounds the streams of an encoded Report: 8 kB of keys.
	MaxReported = 1 << 10
	// maxGroups bounds the origins of a Report, maxName the bytes of a service's or version's name.
	maxGroups = 128
	maxName   = 256
)

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxGroups, MaxMapPairs: 16, MaxNestedLevels: 4,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(errors.Wrap(err, "origins: decoding options"))
	}
	return mode
}

// wireGroup is a Group as a CBOR array (RFC 8949); the order of its fields is part of the format.
type wireGroup struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
	Keys    []byte
}

// unprovedVersion is the version in reports of unproved origins. No worker has it, so hosts that do not know its meaning
// refuse such streams.
const unprovedVersion = "\x00"

// wireVersion is the version of an origin in reports.
func (o Origin) wireVersion() string {
	if o.Unproved {
		return unprovedVersion
	}
	return string(o.Version)
}

// originOf returns the origin that a report names.
func originOf(service, version string) Origin {
	if version == unprovedVersion {
		return Origin{Service: ident.Service(service), Unproved: true}
	}
	return Origin{Service: ident.Service(service), Version: ident.Version(version)}
}

// Encode returns the report in its wire format, at most MaxReported streams of it; nil if it is empty.
func (r Report) Encode() []byte {
	room := MaxReported
	wire := make([]wireGroup, 0, len(r))
	for _, g := range r[:min(len(r), maxGroups)] {
		keys := g.Keys[:min(len(g.Keys), room)]
		room -= len(keys)
		if len(keys) > 0 {
			wire = append(wire, wireGroup{Service: string(g.Origin.Service), Version: g.Origin.wireVersion(), Keys: EncodeKeys(keys)})
		}
	}
	if len(wire) == 0 {
		return nil
	}
	b, err := cbor.Marshal(wire)
	if err != nil {
		panic(errors.Wrap(err, "origins: encode"))
	}
	return b
}

// Decode reads what Encode returned.
func Decode(b []byte) (Report, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var wire []wireGroup
	if err := decoding.Unmarshal(b, &wire); err != nil {
		return nil, errors.Wrap(err, "decode origins")
	}
	out := make(Report, 0, len(wire))
	for _, w := range wire {
		if len(w.Service) > maxName || len(w.Version) > maxName {
			return nil, errors.Errorf("a name of an origin exceeds %d bytes", maxName)
		}
		out = append(out, Group{Origin: originOf(w.Service, w.Version), Keys: DecodeKeys(w.Keys)})
	}
	if n := out.Len(); n > MaxReported {
		return nil, errors.Errorf("a report of %d streams exceeds %d", n, MaxReported)
	}
	return out, nil
}

// EncodeKeys returns keys in their wire format, at most MaxReported of them.
func EncodeKeys(keys []hash.Key) []byte {
	out := make([]byte, 0, keyBytes*len(keys))
	for _, k := range keys[:min(len(keys), MaxReported)] {
		out = binary.LittleEndian.AppendUint64(out, uint64(k))
	}
	return out
}

// DecodeKeys reads what EncodeKeys returned. An incomplete key at the end is dropped.
func DecodeKeys(b []byte) []hash.Key {
	out := make([]hash.Key, 0, len(b)/keyBytes)
	for ; len(b) >= keyBytes && len(out) < MaxReported; b = b[keyBytes:] {
		out = append(out, hash.Key(binary.LittleEndian.Uint64(b)))
	}
	return out
}
