// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// castagnoli is the CRC-32C table; it never changes.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// readFrames returns the content frames of a file and the length of a torn
// last one.
func (l *Log) readFrames(name string) ([][]byte, int64, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, 0, errors.Wrap(ErrDamaged, err.Error())
	}
	var frames [][]byte
	rest := data
	for len(rest) > 0 {
		frame, size, ok := cutFrame(rest)
		if !ok {
			if size < len(rest) {
				return nil, 0, errors.Wrapf(ErrDamaged, "%s: frame %d", filepath.Base(name), len(frames))
			}
			break
		}
		frames = append(frames, frame)
		rest = rest[size:]
	}
	l.good = int64(len(data) - len(rest))
	if len(frames) == 0 {
		return nil, 0, errors.Wrapf(ErrDamaged, "%s: no header", filepath.Base(name))
	}
	var h header
	if err := cbor.Unmarshal(frames[0], &h); err != nil {
		return nil, 0, errors.Wrapf(ErrDamaged, "%s: header: %v", filepath.Base(name), err)
	}
	if h.Format != formatVersion {
		return nil, 0, errors.Errorf("%s: format %d, want %d", filepath.Base(name), h.Format, formatVersion)
	}
	if h.Fleet != l.options.Fleet {
		return nil, 0, errors.Errorf("%s belongs to fleet %q, not %q", filepath.Base(name), h.Fleet, l.options.Fleet)
	}
	l.options.Identity = h.Identity
	return frames[1:], int64(len(rest)), nil
}

// cutFrame takes the first frame of data. Where it is not whole, size is how
// far it claims to reach.
func cutFrame(data []byte) (frame []byte, size int, ok bool) {
	if len(data) < frameHeader {
		return nil, len(data), false
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n == 0 && len(bytes.TrimLeft(data, "\x00")) == 0 {
		// A file system may leave zero bytes where a write was lost with the power. No frame is empty.
		return nil, len(data), false
	}
	if n > maxFrame || len(data) < frameHeader+n {
		return nil, len(data), false
	}
	frame = data[frameHeader : frameHeader+n]
	return frame, frameHeader + n, crc32.Checksum(frame, castagnoli) == binary.LittleEndian.Uint32(data[4:])
}

func appendFrame(b *bytes.Buffer, v any) error {
	content, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if len(content) > maxFrame {
		return errors.Errorf("frame of %d bytes", len(content))
	}
	var h [frameHeader]byte
	binary.LittleEndian.PutUint32(h[:], uint32(len(content))) //nolint:gosec // Bounded by maxFrame above.
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(content, castagnoli))
	b.Write(h[:])
	b.Write(content)
	return nil
}
