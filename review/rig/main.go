// Command rig plays the cases of the review against the system's own programs, with stand-ins for the store, the engines and the
// consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"gone-engine":      goneEngine,
	"watch-overflow":   watchOverflow,
	"false-conviction": falseConviction,
	"own-refusal":      ownRefusal,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitFailed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		os.Exit(exitFailed)
	}()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitFailed
	case broken:
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
