// Command drive plays one case of the review against real processes on loopback.
//
//	drive CASE -root REPOSITORY -record FILE
//
// It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	cannot = 2
)

// cases are the cases by name; each file adds its own.
var cases = map[string]func(*play) int{}

// play is one run of a case.
type play struct {
	root    string
	trouble bool
	rec     *record
}

// fail ends a case that could not run.
func (p *play) fail(what string, err error) int {
	p.rec.line("cannot run: %s: %v", what, err)
	fmt.Fprintln(os.Stderr, "cannot run:", what, err)
	return cannot
}

// timeLimit is how long a case may run.
const timeLimit = 115 * time.Second

// stopInTime ends all processes and the case if it is interrupted or takes too long.
func stopInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	if f := current.Load(); f != nil {
		f.stop()
	}
	os.Exit(cannot)
}

func main() {
	root := flag.String("root", ".", "the repository")
	out := flag.String("record", "record.txt", "the record")
	flag.Parse()
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	abs, _ := filepath.Abs(*root)
	p := &play{root: abs, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	run, ok := cases[flag.Arg(0)]
	if !ok {
		os.Exit(p.fail("no case", fmt.Errorf("%q", flag.Arg(0))))
	}
	if err := loadNames(filepath.Join(abs, "review", "standin-2", "names.json")); err != nil {
		os.Exit(p.fail("names", err))
	}
	go stopInTime()
	code := run(p)
	rec.line("exit %d", code)
	os.Exit(code)
}
