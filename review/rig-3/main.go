// Command rig-3 plays a case of the review against the programs of the system, with stand-ins for the store, the engines and the
// consumers. It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is what a case gets.
type play struct {
	// program is the path of the system's program, and folder a temporary one.
	program, folder string
	record          *record
	// trouble is not set if the case is to be played without its disruption.
	trouble bool
	// ends are called at the end, the last one first.
	ends []func()
}

func (p *play) atEnd(f func()) { p.ends = append(p.ends, f) }

func (p *play) end() {
	for i := len(p.ends) - 1; i >= 0; i-- {
		p.ends[i]()
	}
}

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*play) (broken bool, err error){
	"late": playLateWrite, "drill": playDrill,
}

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/dragonflydeal", "the system's program")
	path := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	f := cases[flag.Arg(0)]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return exitFailed
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	p := &play{program: *program, folder: folder, record: r, trouble: os.Getenv("TROUBLE") != "0"}
	p.atEnd(func() { _ = os.RemoveAll(folder) })
	defer p.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- judge(f, p) }()
	select {
	case <-stop:
		return exitFailed
	case code := <-result:
		return code
	}
}

// judge plays a case and returns the exit code.
func judge(f func(*play) (bool, error), p *play) int {
	broken, err := f(p)
	switch {
	case err != nil:
		p.record.add("failed", "error", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		p.record.add("broken")
		return exitBroken
	}
	p.record.add("held")
	return exitHeld
}
