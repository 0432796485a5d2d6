// Command rig-2 plays the scripts of the second review: a store, engines and consumers as our pages describe them, around the
// project's own programs as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripts by the name of their folder.
var cases = map[string]func(r *rig) (broken bool, err error){
	"6": settingsChangeInDrain,
	"7": powerCut,
	"8": coldReturnWhileStoreIsDown,
	"9": channelsLeftIdle,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		return exitNotRun
	}
	r, err := newRig(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		r.note("not run: stopped")
		r.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.note("not run: %v", err)
		return exitNotRun
	case broken:
		r.note("result: the rule is broken")
		return exitBroken
	}
	r.note("result: the rule holds")
	return exitHeld
}
