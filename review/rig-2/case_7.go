package main

import (
	"time"
)

const (
	// powerOff is how long the power is off, and listLag the time from an engine's start until its record is written.
	powerOff = 800 * time.Millisecond
	listLag  = 800 * time.Millisecond
)

// powerCut takes the power from all machines. The engines come back cold under their IDs, and their records of before are still in the
// store. FAILBACK: each may get coldPerS x coldOver + coldSlack requests in a second.
func powerCut(r *rig) (broken bool, err error) {
	if err := r.store.configure([]string{"orders"}, route("book", "unsafe", "orders", 1)); err != nil {
		return false, err
	}
	for i := range 3 {
		if err := r.startEngine("orders", string(rune('a'+i)), coldWork); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if _, err := r.startEntry(string(rune('a' + i))); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	stop := r.load(coldLoad)
	time.Sleep(2 * time.Second)
	r.note("the power fails")
	for _, x := range r.engines {
		x.crash()
	}
	if r.trouble {
		for _, e := range r.entries {
			e.end()
		}
	}
	time.Sleep(powerOff)
	r.note("the power is back")
	r.lost.Store(0)
	for _, x := range r.engines {
		if err := x.restartCold(); err != nil {
			return false, err
		}
	}
	if r.trouble {
		for _, e := range r.entries {
			if err := e.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(coldTime + time.Second)
	stop()
	for _, x := range r.engines {
		most, at := x.mostWhileCold()
		r.note("%s got at most %d requests in a second while it was cold, from %.3f s after its start; allowed are %.1f", x.id, most, at.Seconds(), coldRate*coldOver+coldSlack)
		broken = broken || float64(most) > coldRate*coldOver+coldSlack
	}
	r.note("%d requests that an engine had begun to run were lost with it", r.lost.Load())
	return broken, nil
}

// restartCold starts an incarnation that is cold and whose record is written a time later.
func (e *engine) restartCold() error {
	e.mu.Lock()
	e.listedAt = time.Now().Add(listLag)
	e.mu.Unlock()
	if err := e.start(coldTime); err != nil {
		return err
	}
	time.AfterFunc(listLag, func() { _ = e.register() })
	return nil
}

// mostWhileCold is most for the cold time of the latest incarnation, with the time from its start.
func (e *engine) mostWhileCold() (most int, at time.Duration) {
	e.mu.Lock()
	born, until := e.born, e.coldUntil
	e.mu.Unlock()
	most, first := e.most(born, until)
	return most, first.Sub(born)
}
