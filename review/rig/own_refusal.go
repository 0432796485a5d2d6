package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// ownRefusal lets an engine fail a part of the requests that it has run with 429 and without Not-Run. A 429 that reaches the consumer of
// such a request breaks REFUSED; the consumer then sends it again, as the pages say.
func ownRefusal(w *world) (broken bool, err error) {
	const service = "wuno96b"
	w.store.put("op/config", configuration(7, []map[string]any{route("r-confirm", "/puxa403/", "unsafe", service, 1, 1000, 100)}, service))
	var mu sync.Mutex
	ran := map[string]bool{}
	count := 0
	sound := work(15 * time.Millisecond)
	grey := func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[r.Header.Get("Attempt-Id")] = true
		count++
		fails := w.trouble && count%5 < 2
		mu.Unlock()
		if !fails {
			sound(rw, r)
			return
		}
		time.Sleep(15 * time.Millisecond)
		respond(rw, r, http.StatusTooManyRequests, "failed")
	}
	for i, zone := range []string{"riga-a", "riga-b", "riga-c"} {
		e, err := w.startEngine(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service, zone, 6, func(rw http.ResponseWriter, r *http.Request) {
			if i == 0 {
				grey(rw, r)
				return
			}
			mu.Lock()
			ran[r.Header.Get("Attempt-Id")] = true
			mu.Unlock()
			sound(rw, r)
		})
		if err != nil {
			return false, err
		}
		w.store.put("servers/"+e.id, e.record())
	}
	for _, zone := range []string{"riga-a", "riga-b", "riga-c"} {
		if err := w.addEntry(zone); err != nil {
			return false, err
		}
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	refused, doubled := 0, 0
	for i := range 100 {
		e := w.entries[i%len(w.entries)]
		for try := range 2 {
			a := w.call(e, "POST", "/puxa403/2f", "", time.Second)
			mu.Lock()
			hasRun := ran[a.id]
			mu.Unlock()
			w.note("order %d try %d at %s: id %s status %d sealed %v has run %v error %v", i, try, e.name, a.id, a.status, a.sealed, hasRun, a.err)
			promise := a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable || a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
			if !promise {
				if try > 0 && a.status == http.StatusOK {
					doubled++
				}
				break
			}
			if !hasRun {
				break
			}
			refused++
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.note("%d requests that had run were refused, %d orders were carried out twice", refused, doubled)
	fmt.Printf("%d refused that had run, %d orders twice\n", refused, doubled)
	return refused > 0, nil
}
