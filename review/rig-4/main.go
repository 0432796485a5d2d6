// Command rig-4 plays the cases of a review with stand-ins of the users' platform against the project's own programs.
package main

import (
	"fmt"
	"os"
	"time"
)

// defaultLag is the age of an engine's report that another machine reads: some hundred milliseconds.
const defaultLag = 400 * time.Millisecond

// cannotRun is the exit status of a case that could not run.
const cannotRun = 2

func failed(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return cannotRun
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig-4 CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns the exit status.
func play(name, record string) int {
	dir, err := os.MkdirTemp("", "rig-4-")
	if err != nil {
		return failed(err)
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	file, err := os.Create(record)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = file.Close() }()
	s := &site{dir: dir, store: newStore(), record: &recorder{file: file, begun: time.Now()}}
	defer s.stop()
	if s.address, err = serveAt("127.0.0.1", s.store); err != nil {
		return failed(err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	switch name {
	case "key":
		return runKey(s, trouble)
	case "map":
		lag := defaultLag
		if text := os.Getenv("LAG"); text != "" {
			if lag, err = time.ParseDuration(text); err != nil {
				return failed(err)
			}
		}
		return runMap(s, trouble, lag)
	}
	return failed(fmt.Errorf("unknown case %q", name))
}
