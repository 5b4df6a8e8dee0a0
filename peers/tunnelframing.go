// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httputil" //nolint:depguard // Of its parts only the chunked coding is used.

	"github.com/pkg/errors"
)

// The bytes of a worker go through a tunnel in the chunked coding (RFC 9112, 7.1). Its last chunk says
// that the worker closed its connection in order. The end of the tunnel itself says nothing, as the
// operating system closes the connections of a killed process in order too; an answer without a length
// would look whole. The bytes to the worker need no coding: requests have a length.
//
// The host that opens a tunnel asks for the coding by tunnelFramingHeader, and the other one confirms it
// by the same header. One of an earlier version does not: through it answers without a length cannot be
// distinguished from lost ones and count as interrupted.
const (
	tunnelFramingHeader = "Yardhall-Framing"
	chunkedFraming      = "chunked"
	// tunnelWriteBuffer holds a small chunk with its size, so that both are sent at once.
	tunnelWriteBuffer = 4 << 10
)

// Tunnel is a connection to a worker through another host. Read returns io.EOF only if the worker has
// closed its connection in order.
type Tunnel struct {
	net.Conn
	answer io.Reader
	framed bool
}

// newTunnel returns the tunnel that a host has confirmed with a header; in reads from conn.
func newTunnel(conn net.Conn, in *bufio.Reader, confirmed http.Header) *Tunnel {
	if confirmed.Get(tunnelFramingHeader) == chunkedFraming {
		return &Tunnel{Conn: conn, answer: httputil.NewChunkedReader(in), framed: true}
	}
	return &Tunnel{Conn: conn, answer: unmarkedReader{in}}
}

// Read implements io.Reader.
func (t *Tunnel) Read(p []byte) (int, error) {
	return t.answer.Read(p) //nolint:wrapcheck // io.Reader returns io.EOF itself.
}

// Framed reports whether the end of the worker's connection can be distinguished from that of the tunnel.
func (t *Tunnel) Framed() bool { return t.framed }

// unmarkedReader reads from a connection whose end proves nothing.
type unmarkedReader struct{ io.Reader }

// Read implements io.Reader.
func (r unmarkedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err //nolint:wrapcheck // The caller sees the errors of the connection.
}

// agreedFraming returns the header that confirms the framing that a CONNECT request asks for; nil for none.
func agreedFraming(asked http.Header) http.Header {
	if asked.Get(tunnelFramingHeader) != chunkedFraming {
		return nil
	}
	return http.Header{tunnelFramingHeader: {chunkedFraming}}
}

// forwardAnswer copies the bytes of a worker to a host until the worker closes its connection in order.
func forwardAnswer(host io.Writer, worker io.Reader, framed bool) error {
	if !framed {
		_, err := io.Copy(plainWriter{host}, plainReader{worker})
		return errors.Wrap(err, "forward the answer")
	}
	out := bufio.NewWriterSize(host, tunnelWriteBuffer)
	chunks := httputil.NewChunkedWriter(out)
	if _, err := io.Copy(flushWriter{chunks, out}, plainReader{worker}); err != nil {
		return errors.Wrap(err, "forward the answer")
	}
	if err := chunks.Close(); err != nil {
		return errors.Wrap(err, "end the answer")
	}
	return errors.Wrap(out.Flush(), "end the answer")
}

// flushWriter flushes out after each chunk.
type flushWriter struct {
	chunks io.Writer
	out    *bufio.Writer
}

// Write implements io.Writer.
func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.chunks.Write(p)
	if err != nil {
		return n, errors.Wrap(err, "write a chunk")
	}
	return n, errors.Wrap(w.out.Flush(), "write a chunk")
}
