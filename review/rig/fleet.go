package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the daemons; each has a loopback address of its own.
const (
	httpPort    = 8227
	readyPort   = 8220
	controlPort = 8229
	peerPort    = 7340
	relayPort   = 7355
	workerPort  = 8080
)

var zoneNames = []string{"hall-a", "hall-b", "hall-c"}

// node is one daemon.
type node struct {
	name, ip, zone string
	core           bool
	settings       string
	data           string
	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{}
}

// fleet are the daemons of one run.
type fleet struct {
	rec     *record
	dir     string
	root    string
	prefix  string
	run     []string
	form    string
	cores   []*node
	edges   []*node
	version int
	workers []*worker
}

// newFleet lays out three core machines and the given number of edge machines over three zones.
func newFleet(rec *record, root, dir string, edges int) (*fleet, error) {
	form, err := os.ReadFile(filepath.Join(root, "deploy", "settings.ini"))
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, root: root, dir: dir, form: string(form)}
	if f.run, err = commandOf(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	if f.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	for i := range 3 {
		f.cores = append(f.cores, f.newNode(fmt.Sprintf("core-%d", i+1), i+1, zoneNames[i], true))
	}
	for i := range edges {
		f.edges = append(f.edges, f.newNode(fmt.Sprintf("edge-%d", i+1), 11+i, zoneNames[i%3], false))
	}
	return f, nil
}

// commandOf returns the command of the deploy file, which is the same for both roles.
func commandOf(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(text)
	if m == nil {
		return nil, fmt.Errorf("no command in %s", path)
	}
	return strings.Fields(string(m[1])), nil
}

// freePrefix returns the first three numbers of loopback addresses on which the ports are free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, controlPort))
		if err == nil {
			_ = l.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (f *fleet) newNode(name string, number int, zone string, core bool) *node {
	n := &node{name: name, ip: fmt.Sprintf("%s.%d", f.prefix, number), zone: zone, core: core}
	n.settings = filepath.Join(f.dir, name+".ini")
	if core {
		n.data = filepath.Join(f.dir, name+"-data")
	}
	return n
}

// at returns an address of the node.
func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// writeSettings fills the template of the deploy file for a node.
func (f *fleet) writeSettings(n *node, bootstrap bool) error {
	seeds := make([]string, 0, len(f.cores))
	for _, c := range f.cores {
		seeds = append(seeds, c.at(controlPort))
	}
	values := map[string]string{
		"Ip": n.ip, "Zone": n.zone, "PortRange.0": fmt.Sprint(peerPort), "PortRange.1": fmt.Sprint(relayPort),
		"Seeds": strings.Join(seeds, ","), "FaultTolerance.Machines": "1", "HeartbeatMs": "1200",
		"Bounds.ConfigApplyMs": "2000", "Bounds.RevokeMs": "5000", "Bounds.RetryRatio": "0.2", "Bounds.RetryExtra": "54",
		"Bounds.CapFactor": "2", "Bounds.GraceS": "8",
	}
	if n.core {
		values["DataDir"], values["Listen.ControlPlane"] = n.data, n.at(controlPort)
	} else {
		values["Listen.Http"], values["Listen.Ready"] = n.at(httpPort), n.at(readyPort)
	}
	if bootstrap {
		values["Bootstrap"] = "true"
	}
	return os.WriteFile(n.settings, []byte(fill(f.form, values)), 0o600)
}

var (
	section = regexp.MustCompile(`\{\{#([A-Za-z.0-9]+)\}\}(.*?)\{\{/[A-Za-z.0-9]+\}\}`)
	gap     = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)
)

// fill fills the gaps of a template as the platform does for plain values.
func fill(form string, values map[string]string) string {
	form = section.ReplaceAllStringFunc(form, func(s string) string {
		m := section.FindStringSubmatch(s)
		value, ok := values[m[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", value)
	})
	return gap.ReplaceAllStringFunc(form, func(s string) string { return values[gap.FindStringSubmatch(s)[1]] })
}

// start starts a daemon with the command of the deploy file.
func (f *fleet) start(n *node, bootstrap bool) error {
	if err := f.writeSettings(n, bootstrap); err != nil {
		return err
	}
	if n.data != "" {
		if err := os.MkdirAll(n.data, 0o700); err != nil {
			return err
		}
	}
	args := append([]string(nil), f.run...)
	args[len(args)-1] = n.settings
	logFile, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(filepath.Join(f.root, args[0]), args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	f.rec.say("process %s starts", n.name)
	return nil
}

// signal sends a signal to a daemon that the rig started.
func (f *fleet) signal(n *node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	select {
	case <-n.ended:
		return
	default:
	}
	f.rec.say("signal %v to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

// kill ends a daemon by SIGKILL and waits until it has ended.
func (f *fleet) kill(n *node) {
	f.signal(n, syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (f *fleet) all() []*node { return append(append([]*node(nil), f.cores...), f.edges...) }

func (f *fleet) startAll() error {
	for _, n := range f.all() {
		if err := f.start(n, true); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) stopAll() {
	for _, n := range f.all() {
		f.signal(n, syscall.SIGCONT)
		f.kill(n)
	}
}

// put sends a configuration as the operator does until it is acknowledged.
func (f *fleet) put(config map[string]any, limit time.Duration) error {
	f.version += 7
	config["Version"] = f.version
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		status, err := call(http.MethodPut, "http://"+f.cores[i%len(f.cores)].at(controlPort)+names.ConfigPath, body)
		if err == nil && status == http.StatusOK {
			f.rec.say("configuration %d is acknowledged", f.version)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged", f.version)
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call without a retry.
func call(method, url string, body []byte) (int, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// ready reports whether an edge says that it is ready.
func (n *node) ready() bool {
	status, err := call(http.MethodGet, "http://"+n.at(readyPort)+names.ReadyPath, nil)
	return err == nil && status == http.StatusOK
}

// awaitReady waits until all edges are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, n := range f.edges {
		for !n.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
