package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// drainWork is how long the engines of case 6 run a request: a quarter of its time limit.
	drainWork     = 2 * time.Second
	drainLimit    = 8 * time.Second
	drainRequests = 6
)

// settingsChangeInDrain sends SIGHUP to an entry that has got SIGTERM and still answers requests. LOST: none of them may end
// with its channel once it was passed on to an engine.
func settingsChangeInDrain(r *rig) (broken bool, err error) {
	if err := r.store.configure([]string{"holds"}, route("confirm", "unsafe", "holds", 1)); err != nil {
		return false, err
	}
	for range 2 {
		if err := r.startEngine("holds", "a", drainWork); err != nil {
			return false, err
		}
	}
	e, err := r.startEntry("a")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	results := make(chan result, drainRequests)
	for i := range drainRequests {
		go func() { results <- r.send(e.front, fmt.Sprintf("confirm-%d", i), "POST", "/confirm/x", drainLimit) }()
	}
	if err := r.awaitRunning(drainRequests); err != nil {
		return false, err
	}
	e.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		e.signal(syscall.SIGHUP)
	}
	for range drainRequests {
		if v := <-results; !v.whole() {
			r.note("LOST: %s was passed on to an engine and got neither an answer nor a refusal", v.id)
			broken = true
		}
	}
	return broken, nil
}

// awaitRunning waits until the engines run a number of requests.
func (r *rig) awaitRunning(want int64) error {
	for end := time.Now().Add(drainWork / 2); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		sum := int64(0)
		for _, e := range r.engines {
			sum += e.running.Load()
		}
		if sum >= want {
			return nil
		}
	}
	return fmt.Errorf("the engines do not run %d requests", want)
}
