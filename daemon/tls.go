// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/pkg/errors"
)

// mutualTLS is a configuration for both ends: each shows a certificate of the
// given authorities.
func mutualTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	config, err := serverTLS(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read authorities")
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(pem) {
		return nil, errors.New("the file of authorities holds no certificate")
	}
	config.ClientCAs = config.RootCAs
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

func serverTLS(certFile, keyFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}, nil
}

// withTLS encrypts a listener where a certificate is set.
func withTLS(l net.Listener, certFile, keyFile string) (net.Listener, error) {
	if certFile == "" {
		return l, nil
	}
	config, err := serverTLS(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, config), nil
}
