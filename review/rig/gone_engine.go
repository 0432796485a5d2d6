package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// drainTime is drainMs of the settings.
	drainTime = 3 * time.Second
	// cutInterval is the time between two cuts of the watches that wait.
	cutInterval = time.Second
	// serveOn is how long the engine serves on after its record was removed.
	serveOn = 12 * time.Second
)

// goneEngine removes the record of an engine that serves on, as engines do that never report draining, while the store cuts waiting
// watches. Requests that reach the engine later than drainMs after the ack break DRAIN.
func goneEngine(w *world) (broken bool, err error) {
	const service = "wuno96b"
	w.store.put("op/config", configuration(7, []map[string]any{
		route("r-confirm", "/puxa403/", "unsafe", service, 1, 1000, 100), route("r-release", "/cufi504/", "safe", service, 2, 1000, 100),
	}, service))
	var engines []*engine
	for i, zone := range []string{"riga-a", "riga-b", "riga-c"} {
		e, err := w.startEngine(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service, zone, 6, work(15*time.Millisecond))
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		w.store.put("servers/"+e.id, e.record())
	}
	for _, zone := range []string{"riga-a", "riga-a", "riga-b", "riga-b", "riga-c", "riga-c"} {
		if err := w.addEntry(zone); err != nil {
			return false, err
		}
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	w.traffic(stop, &wait)
	if w.trouble {
		wait.Go(func() { w.cutRegularly(stop) })
	}
	time.Sleep(5 * time.Second)
	leaving := engines[0]
	ack := w.store.remove("servers/" + leaving.id)
	w.note("record of engine %s removed", leaving.id)
	time.Sleep(serveOn)
	leaving.crash()
	w.note("engine %s has ended", leaving.id)
	time.Sleep(time.Second)
	close(stop)
	wait.Wait()
	late := 0
	for _, a := range leaving.reached() {
		if after := a.at.Sub(ack); after > drainTime {
			late++
			w.note("request %s reached engine %s %d ms after the ack", a.id, leaving.id, after.Milliseconds())
		}
	}
	w.note("%d watches were cut, %d requests reached the engine later than %v after the ack", w.store.cuts, late, drainTime)
	fmt.Printf("%d watches cut, %d late requests\n", w.store.cuts, late)
	return late > 0, nil
}

// cutRegularly cuts the watches that wait at regular times.
func (w *world) cutRegularly(stop chan struct{}) {
	ticker := time.NewTicker(cutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.store.cutWatches()
		}
	}
}

// traffic sends requests to each entry, ten a second in turn of both kinds.
func (w *world) traffic(stop chan struct{}, wait *sync.WaitGroup) {
	for _, e := range w.entries {
		wait.Go(func() {
			ticker := time.NewTicker(100 * time.Millisecond)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				wait.Go(func() {
					method, path := "GET", "/cufi504/fi50/2f"
					if i%2 == 0 {
						method, path = "POST", "/puxa403/2f"
					}
					a := w.call(e, method, path, "", time.Second)
					w.note("%s %s at %s: id %s status %d sealed %v took %d ms error %v", method, path, e.name, a.id, a.status, a.sealed, a.took.Milliseconds(), a.err)
				})
			}
		})
	}
}
