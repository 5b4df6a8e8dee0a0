// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/operators"
)

// connection is how commands reach the operators' ports.
type connection struct {
	addresses string
	keyFile   string
	operator  string
	ca        string
	json      bool
}

// setFlags registers the flags that all fleet commands share.
func (c *connection) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.addresses, "hosts", os.Getenv("YARDHALL_HOSTS"), "operators' ports as ip:port, separated by commas (or YARDHALL_HOSTS)")
	f.StringVar(&c.keyFile, "key-file", os.Getenv("YARDHALL_KEY_FILE"), "file with the operator key (or YARDHALL_KEY_FILE)")
	f.StringVar(&c.operator, "operator", os.Getenv("USER"), "name for the audit trail")
	f.StringVar(&c.ca, "ca", "", "file with the authorities of the ports' certificates; turns TLS on")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *connection) client() (*operators.Client, error) {
	if c.addresses == "" {
		return nil, errors.New("--hosts is missing")
	}
	key, err := os.ReadFile(c.keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "--key-file")
	}
	client := &operators.Client{
		Addresses: strings.Split(c.addresses, ","), Key: strings.TrimSpace(string(key)), Operator: c.operator,
	}
	if c.ca == "" {
		return client, nil
	}
	pem, err := os.ReadFile(c.ca)
	if err != nil {
		return nil, errors.Wrap(err, "--ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("--ca holds no certificate")
	}
	client.Scheme = "https"
	client.HTTP = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}}
	return client, nil
}

// failed prints an error and returns the exit code that tells scripts its
// kind.
func failed(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(os.Stderr, err)
	var ce *operators.CallError
	if !errors.As(err, &ce) {
		return subcommands.ExitFailure
	}
	switch {
	case ce.Status == http.StatusPreconditionFailed, ce.Detail.Code == string(catalog.Conflict):
		return exitConflict
	case ce.Detail.Code == "unknown":
		return exitUnknown
	}
	return subcommands.ExitFailure
}

func printJSON(v any) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return
	}
	_, _ = fmt.Println(string(b))
}

// printTable prints rows under a header, aligned.
func printTable(header []string, rows [][]string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}
