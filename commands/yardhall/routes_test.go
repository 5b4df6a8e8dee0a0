// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
)

const tableFile = `[gateway 12]
max_body_bytes = 4096
idle_timeout = 15s
[pool text]
engine = true
[pool plain]
[route chats.example/v1/chat/]
kind = stream
timeout = 30s
pools = text:90, plain:10
resumable = true
[holder halls]
key_hashes = aa, bb
rank = 0
`

func readFile(t *testing.T, text string) ([]objectWrite, error) {
	file := filepath.Join(t.TempDir(), "objects.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return readObjects(file)
}

func TestRouteTableIsReadWhole(t *testing.T) {
	writes, err := readFile(t, tableFile)
	require.NoError(t, err)
	require.Len(t, writes, 1)
	require.Equal(t, "/v1/gateway/table", writes[0].path)
	require.Equal(t, config.RouteTable{
		Number: 12, Limits: config.Limits{MaxBodyBytes: 4096, IdleTimeout: config.Duration(15 * time.Second)},
		Pools: []config.Pool{{ID: "text", Engine: true}, {ID: "plain"}},
		Routes: []config.Route{{
			Host: "chats.example", Prefix: "/v1/chat/", Kind: config.RouteStream, Timeout: config.Duration(30 * time.Second),
			Shares: []config.Share{{Pool: "text", Weight: 90}, {Pool: "plain", Weight: 10}}, Resumable: true,
		}},
		Keys: []config.KeyOwner{{Account: "halls", KeyHashes: []string{"aa", "bb"}, Ranked: true}},
	}, writes[0].body)
}

func TestMistakesInARouteTableAreNamed(t *testing.T) {
	for text, want := range map[string]string{
		"[pool a]\n":                 "need a section [gateway NUMBER]",
		"[gateway x]\n":              "a number of 1 or more",
		"[gateway 1]\n[gateway 2]\n": "one route table",
		"[gateway 1]\nsource = x\n":  "unknown key",
		"[gateway 1]\n[route a/x/]\nkind = safe\ntimeout = 1s\npools = none\n":             `no pool "none"`,
		"[gateway 1]\n[pool a]\n[route a/x/]\nkind = safe\npools = a\n":                    "timeout must be above 0",
		"[gateway 1]\n[pool a]\n[route a/x/]\nkind = safe\ntimeout = 1s\npools = a:many\n": "is not pool:weight",
	} {
		_, err := readFile(t, text)
		require.ErrorContains(t, err, want)
	}
}
