package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of a small deployment, as its sheet gives them.
const (
	heartbeat   = 1200 * time.Millisecond
	contactMs   = 3000
	drainMs     = 2000
	edgeMemory  = 284 << 20
	coreMemory  = 280 << 20
	restartWait = 700 * time.Millisecond
)

// machine is one machine of the fleet with its process.
type machine struct {
	name     string
	ip       string
	core     bool
	settings string
	log      string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

// fleet is the system under test, with a folder of its own.
type fleet struct {
	root, dir string
	names     map[string]string
	http      int
	ready     int
	control   int
	peer      int
	cores     []*machine
	edges     []*machine
	rec       *record
	// links bound the rate of the entry hosts\' connections where a case sets them.
	links links
	// parts is the list of the parts of a prompt that requests bear; empty for none.
	parts string
	// stopped is set once all processes are being ended: none is started after that. starting guards it.
	starting sync.Mutex
	stopped  bool
}

// current is the fleet that runs.
var current atomic.Pointer[fleet]

// newFleet prepares a fleet of replicas and entry hosts on loopback addresses of its own.
func newFleet(root string, rec *record, cores, edges int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, rec: rec, names: names}
	current.Store(f)
	net3 := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	base := 21000 + 40*rand.IntN(200)
	f.http, f.ready, f.control, f.peer = base, base+1, base+2, base+10
	for i := range cores {
		f.cores = append(f.cores, &machine{name: fmt.Sprintf("core-%d", i+1), ip: net3 + strconv.Itoa(10+i), core: true})
	}
	for i := range edges {
		f.edges = append(f.edges, &machine{name: fmt.Sprintf("edge-%d", i+1), ip: net3 + strconv.Itoa(100+i)})
	}
	for i, m := range f.all() {
		if err := f.writeSettings(m, i, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) all() []*machine { return append(append([]*machine{}, f.cores...), f.edges...) }

// writeSettings fills the project's template with the fields of a machine.
func (f *fleet) writeSettings(m *machine, i int, bootstrap bool) error {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var seeds []any
	for _, c := range f.cores[:min(3, len(f.cores))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, f.control))
	}
	fields := map[string]any{
		"Ip": m.ip, "Zone": zones[i%len(zones)], "Seeds": seeds, "Bootstrap": bootstrap, "HeartbeatMs": heartbeat.Milliseconds(),
		"PortRange":      []any{f.peer, f.peer + 15},
		"FaultTolerance": map[string]any{"Machines": 1, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{
			"ConfigApplyMs": 2000, "RevokeMs": 5000, "RetryRatio": 0.2, "RetryExtra": 54, "CapFactor": 2, "GraceS": 8,
		},
		"Listen": map[string]any{},
	}
	listen := fields["Listen"].(map[string]any)
	if m.core {
		listen["ControlPlane"] = fmt.Sprintf("%s:%d", m.ip, f.control)
		data := filepath.Join(f.dir, m.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		fields["DataDir"] = data
	} else {
		listen["Http"] = fmt.Sprintf("%s:%d", m.ip, f.http)
		listen["Ready"] = fmt.Sprintf("%s:%d", m.ip, f.ready)
	}
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.ini"))
	if err != nil {
		return err
	}
	m.settings = filepath.Join(f.dir, m.name+".ini")
	m.log = filepath.Join(f.dir, m.name+".log")
	return os.WriteFile(m.settings, []byte(fill(string(text), fields)), 0o600)
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([A-Za-z.0-9]+)\}\}(.*?)\{\{/([A-Za-z.0-9]+)\}\}`)
	gap     = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)
)

// fill fills a template of the platform; sections do not nest in it.
func fill(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		parts := section.FindStringSubmatch(s)
		v := lookUp(fields, parts[1])
		if v == nil || v == false {
			return ""
		}
		return fill(strings.ReplaceAll(parts[2], "{{.}}", show(v)), fields)
	})
	return gap.ReplaceAllStringFunc(text, func(s string) string { return show(lookUp(fields, gap.FindStringSubmatch(s)[1])) })
}

func lookUp(v any, path string) any {
	for step := range strings.SplitSeq(path, ".") {
		switch at := v.(type) {
		case map[string]any:
			v = at[step]
		case []any:
			n, _ := strconv.Atoi(step)
			v = at[n]
		}
	}
	return v
}

func show(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case []any:
		var out []string
		for _, e := range v {
			out = append(out, show(e))
		}
		return strings.Join(out, ",")
	}
	return fmt.Sprint(v)
}

// start starts a machine's process with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	f.starting.Lock()
	defer f.starting.Unlock()
	if f.stopped {
		return errors.New("the fleet is stopped")
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.root, "target", "yardhalld"), "serve", "--settings", m.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	f.rec.line("start %s pid=%d", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		f.rec.line("end %s pid=%d %v", m.name, cmd.Process.Pid, err)
		close(ended)
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, m := range f.all() {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
}

// kill ends a machine's process at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	<-m.ended
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

func (m *machine) running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// rss returns the resident memory of a machine's process, in bytes.
func (m *machine) rss() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.pid()))
	if err != nil {
		return 0
	}
	var size, resident int64
	fmt.Sscan(string(text), &size, &resident)
	return resident * int64(os.Getpagesize())
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	f.starting.Lock()
	f.stopped = true
	f.starting.Unlock()
	for _, m := range f.all() {
		if m.cmd != nil && m.running() {
			m.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

func (f *fleet) controlAddr(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.control) }
func (f *fleet) httpAddr(m *machine) string    { return fmt.Sprintf("%s:%d", m.ip, f.http) }

// isReady asks an entry host whether it takes requests, as the platform does.
func (f *fleet) isReady(m *machine) bool {
	resp, err := quick.Get(fmt.Sprintf("http://%s:%d%s", m.ip, f.ready, f.names["ready"]))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all entry hosts are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		n := 0
		for _, m := range f.edges {
			if f.isReady(m) {
				n++
			}
		}
		if n == len(f.edges) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

var names map[string]string

func loadNames(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, &names)
}

func listen(ip string) (net.Listener, error) { return net.Listen("tcp", ip+":0") }
