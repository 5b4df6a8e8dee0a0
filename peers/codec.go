// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/gate"
)

// errTooLarge closes a connection whose peer exceeds the message size limit.
var errTooLarge = errors.New("message is too large")

// boundedReader returns at most limit bytes between two calls of reset.
type boundedReader struct {
	r         *bufio.Reader
	limit     int64
	remaining int64
}

func newBoundedReader(r io.Reader, limit int64) *boundedReader {
	return &boundedReader{r: bufio.NewReader(r), limit: limit, remaining: limit}
}

func (b *boundedReader) reset() { b.remaining = b.limit }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errTooLarge
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	return n, err // io.Reader must return io.EOF itself.
}

// ReadByte implements io.ByteReader, so that gob does not wrap the reader in a buffer of its own.
func (b *boundedReader) ReadByte() (byte, error) {
	if b.remaining <= 0 {
		return 0, errTooLarge
	}
	c, err := b.r.ReadByte()
	if err == nil {
		b.remaining--
	}
	return c, err // io.ByteReader must return io.EOF itself.
}

// gobCodec is the gob codec of net/rpc with a size limit for received messages, for clients and
// servers.
type gobCodec struct {
	// work, if not nil, limits the calls that a server reads and delivers at the same time. passes
	// are those of the calls that have not been replied to, and closed ends the wait for one.
	work   *gate.Gate
	closed <-chan struct{}
	passes chan *gate.Pass

	conn io.ReadWriteCloser
	in   *boundedReader
	dec  *gob.Decoder
	out  *bufio.Writer
	enc  *gob.Encoder
}

func newGobCodec(conn io.ReadWriteCloser, limit int64) *gobCodec {
	in := newBoundedReader(conn, limit)
	out := bufio.NewWriter(conn)
	return &gobCodec{conn: conn, in: in, passes: make(chan *gate.Pass, maxCalls+1), dec: gob.NewDecoder(in), out: out, enc: gob.NewEncoder(out)}
}

func (c *gobCodec) readHeader(h any) error {
	c.in.reset()
	return c.dec.Decode(h) // net/rpc compares with io.EOF.
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *gobCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.acquireWork(); err != nil {
		return err
	}
	return c.readHeader(r)
}

// acquireWork waits for the first byte of a call and then, where calls are limited, for a pass.
func (c *gobCodec) acquireWork() error {
	if c.work == nil {
		return nil
	}
	if _, err := c.in.r.Peek(1); err != nil {
		return err // net/rpc compares with io.EOF.
	}
	pass, ok := c.work.Enter(c.closed)
	if !ok {
		return io.EOF
	}
	// A call whose rest does not arrive must not keep others out.
	pass.EndAfter(workTimeout)
	select {
	case c.passes <- pass:
	default:
		// The caller has more calls in flight than any host makes.
		pass.Leave()
	}
	return nil
}

// releaseWork gives back the pass of a call.
func (c *gobCodec) releaseWork() {
	select {
	case pass := <-c.passes:
		pass.Leave()
	default:
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *gobCodec) ReadRequestBody(body any) error {
	return c.dec.Decode(body) // net/rpc adds the context.
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *gobCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *gobCodec) ReadResponseBody(body any) error {
	return c.dec.Decode(body) // net/rpc adds the context.
}

// WriteRequest implements rpc.ClientCodec.
func (c *gobCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// WriteResponse implements rpc.ServerCodec.
func (c *gobCodec) WriteResponse(r *rpc.Response, body any) error {
	// The client matches responses by Seq, so the name is omitted to save bytes.
	r.ServiceMethod = ""
	defer c.releaseWork()
	return c.write(r, body)
}

func (c *gobCodec) write(h, body any) error {
	if err := c.enc.Encode(h); err != nil {
		return errors.Wrap(err, "encode header")
	}
	if err := c.enc.Encode(body); err != nil {
		return errors.Wrap(err, "encode body")
	}
	return errors.Wrap(c.out.Flush(), "send")
}

// Close implements both codecs.
func (c *gobCodec) Close() error {
	for range len(c.passes) {
		c.releaseWork()
	}
	return errors.Wrap(c.conn.Close(), "close connection")
}
