// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhalld

import (
	"context"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/daemon"
	"github.com/yardhall/yardhall/settings"
)

// TestHangupReadsTheSettingsAnew sends this process SIGHUP, which would end it
// if nobody took it, and then the same with a file that has a mistake.
func TestHangupReadsTheSettingsAnew(t *testing.T) {
	const text = `[host]
id = 127.91.0.1:7340
zone = z
[peer]
listen = 127.91.0.1:7340
key = one long random key for the fleet
[replicas]
seeds = 127.91.0.2:8229
[gateway]
listen = 127.91.0.1:8227
drain_time = 1s
`
	file := filepath.Join(t.TempDir(), "host.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	s, err := settings.Load(file)
	require.NoError(t, err)
	lines := make(chan string, 100)
	log := funcr.New(func(_, args string) { lines <- args }, funcr.Options{})
	d, err := daemon.New(s, daemon.Options{Log: log})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	stop := reloadOnHangup(file, signals, d, log)
	hangup := func(want string) {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		for {
			select {
			case line := <-lines:
				if strings.Contains(line, want) {
					return
				}
			case <-time.After(30 * time.Second):
				t.Fatalf("no line with %q", want)
			}
		}
	}
	hangup("settings read anew")
	require.NoError(t, os.WriteFile(file, []byte(text+"unknown = 1\n"), 0o600))
	hangup("the old settings stay in force")
	stop()
	cancel()
	require.NoError(t, <-ended)
}

// settingsVariable names the settings file of a process that TestMain has serve.
const settingsVariable = "YARDHALLD_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsVariable); file != "" {
		if err := (&serveCommand{file: file}).serve(context.Background()); err != nil {
			_, _ = os.Stderr.WriteString(err.Error())
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestHangupDuringStartEndsNoProcess guards against a process that ends because it is asked to read its settings anew
// while it starts.
func TestHangupDuringStartEndsNoProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.ini")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), settingsVariable+"="+file)
	var said strings.Builder
	cmd.Stderr = &said
	require.NoError(t, cmd.Start())
	// The pipe opens once the process begins to read its settings.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.WriteString("[zoo]\nx = 1\n")
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	require.Error(t, cmd.Wait())
	require.True(t, cmd.ProcessState.Exited(), "ended by %s", cmd.ProcessState)
	require.Contains(t, said.String(), "unknown section")
}
