package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// coldOver and coldSlack are the bounds of the settings.
	coldOver, coldSlack = 1.5, 5.0
	coldWork            = 40 * time.Millisecond
	coldLoad            = 240
	// returnAfter is how long the engine is down.
	returnAfter = 2 * time.Second
)

// coldReturnWhileStoreIsDown lets an engine come back cold while the store is down. FAILBACK: it may get coldPerS x coldOver + coldSlack
// requests in a second.
func coldReturnWhileStoreIsDown(r *rig) (broken bool, err error) {
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
	x := r.engines[0]
	stop := r.load(coldLoad)
	time.Sleep(2 * time.Second)
	x.crash()
	time.Sleep(returnAfter - 200*time.Millisecond)
	if r.trouble {
		r.store.setDown(true)
	}
	time.Sleep(200 * time.Millisecond)
	if err := x.start(coldTime); err != nil {
		return false, err
	}
	r.lost.Store(0)
	_ = x.register()
	time.Sleep(coldTime + 500*time.Millisecond)
	r.store.setDown(false)
	stop()
	most, at := x.most(x.born, x.coldUntil)
	r.note("%d requests that the cold engine had begun to run were lost with it", r.lost.Load())
	r.note("%s got at most %d requests in a second while it was cold, from %.3f s after its start; allowed are %.1f", x.id, most, at.Sub(x.born).Seconds(), coldRate*coldOver+coldSlack)
	return float64(most) > coldRate*coldOver+coldSlack, nil
}

// load sends requests at a rate through all entries in turn until the returned function is called.
func (r *rig) load(rate int) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			e := r.entries[i%len(r.entries)]
			wg.Go(func() {
				if v := r.send(e.front, fmt.Sprintf("book-%d", i), "POST", "/book/x", 2*time.Second); v.status == http.StatusBadGateway {
					r.lost.Add(1)
				}
			})
		}
	})
	return func() { close(done); wg.Wait() }
}
