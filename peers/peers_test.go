// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/gob"
	"math/big"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/peers"
)

func options(self ident.Host) peers.Options {
	return peers.Options{Self: self, Fleet: "f", Key: "the key of the fleet", MaxMessage: 1 << 16, Counters: &peers.Counters{}}
}

// serve starts a server that counts what arrives.
func serve(t *testing.T, o peers.Options) (string, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var taken atomic.Int32
	s := peers.NewServer(o, func(from ident.Host, _ host.Message) {
		if from == "" {
			t.Error("a message of a host that has not said hello")
		}
		taken.Add(1)
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String(), &taken
}

// send sends messages until some arrive or it is clear that none will.
func send(address string, o peers.Options, m host.Message, taken *atomic.Int32) int {
	p := peers.NewPool(o)
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: address}})
	for range 15 {
		p.Send("b", m)
		time.Sleep(20 * time.Millisecond)
	}
	return int(taken.Load())
}

// arrives sends messages until one arrives, however busy the machine is.
func arrives(t *testing.T, address string, o peers.Options, m host.Message, taken *atomic.Int32) {
	t.Helper()
	p := peers.NewPool(o)
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: address}})
	before := taken.Load()
	require.Eventually(t, func() bool {
		p.Send("b", m)
		return taken.Load() > before
	}, time.Minute, 20*time.Millisecond)
}

var beat = host.PeerHeartbeat{Beat: host.Heartbeat{Host: "a", Counter: 1}}

func TestOnlyHostsOfTheFleetAreHeard(t *testing.T) {
	address, taken := serve(t, options("b"))
	wrong := options("a")
	wrong.Key = "another key of a fleet"
	require.Zero(t, send(address, wrong, beat, taken))
	other := options("a")
	other.Fleet = "restored"
	require.Zero(t, send(address, other, beat, taken))

	callWithoutHello(t, address)
	require.Zero(t, taken.Load())

	arrives(t, address, options("a"), beat, taken)
	callWithoutHello(t, address)
}

// callWithoutHello makes a call that must fail; serve fails the test where its
// message is delivered all the same.
func callWithoutHello(t *testing.T, address string) {
	t.Helper()
	c, err := rpc.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.Error(t, c.Call("F.D", peers.Batch{Messages: []host.Message{beat}}, &peers.Ack{}))
}

func TestMessagesAreBounded(t *testing.T) {
	small := options("b")
	small.MaxMessage = 4 << 10
	address, taken := serve(t, small)
	huge := host.AdoptPermits{}
	huge.Group.Zone = ident.Zone(make([]byte, 64<<10))
	require.Zero(t, send(address, options("a"), huge, taken))
	arrives(t, address, options("a"), beat, taken)
}

// authority signs certificates for one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return authority{cert, key}
}

func (a authority) config(t *testing.T, trusted authority) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(trusted.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := options("b")
	server.TLS = ours.config(t, ours)
	address, taken := serve(t, server)
	require.Zero(t, send(address, options("a"), beat, taken), "no TLS")
	stranger := options("a")
	stranger.TLS = theirs.config(t, ours)
	require.Zero(t, send(address, stranger, beat, taken), "a certificate of another authority")
	good := options("a")
	good.TLS = ours.config(t, ours)
	arrives(t, address, good, beat, taken)
}

// Two neighbouring versions of a message: the newer has one field more.
type (
	oldBeat struct{ Counter uint64 }
	newBeat struct {
		Counter uint64
		Added   string
	}
)

// TestNeighbouringVersionsUnderstandEachOther exchanges both ways a message
// that one side knows with a field more.
func TestNeighbouringVersionsUnderstandEachOther(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, gob.NewEncoder(&b).Encode(newBeat{Counter: 7, Added: "x"}))
	var old oldBeat
	require.NoError(t, gob.NewDecoder(&b).Decode(&old))
	require.EqualValues(t, 7, old.Counter)
	b.Reset()
	require.NoError(t, gob.NewEncoder(&b).Encode(oldBeat{Counter: 8}))
	var fresh newBeat
	require.NoError(t, gob.NewDecoder(&b).Decode(&fresh))
	require.EqualValues(t, 8, fresh.Counter)
}

// TestSilentHostIsCalledAnew lets the first connection take messages and answer
// none of them, as a host that lost its power without a word: the next message
// must go over a new connection, long before all calls of the old one are used.
func TestSilentHostIsCalledAnew(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	silent, stop := make(chan struct{}, 1), make(chan struct{})
	silent <- struct{}{}
	arrived := make(chan struct{}, 100)
	s := peers.NewServer(options("b"), func(ident.Host, host.Message) {
		select {
		case <-silent:
			<-stop
		default:
			arrived <- struct{}{}
		}
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		close(stop)
		_ = l.Close()
		s.Close()
	})
	o := options("a")
	p := peers.NewPool(o)
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: l.Addr().String()}})
	p.Send("b", beat)
	require.Eventually(t, func() bool { return len(silent) == 0 }, 30*time.Second, time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	p.Send("b", beat)
	select {
	case <-arrived:
	case <-time.After(30 * time.Second):
		t.Fatal("the silent connection is still used")
	}
	require.EqualValues(t, 1, o.Counters.Failed.Load())
}
