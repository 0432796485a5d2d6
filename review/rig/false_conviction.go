package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashTime is how long the crashed engines are down, formTime the time after that until the group is open again, and stallTime the
	// time after which the other ranks cut off what depends on the crashed ones.
	crashTime, formTime, stallTime = 4500 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond
	// streamEvents is the number of events of a stream, and passTime the time between two.
	streamEvents, passTime = 24, 75 * time.Millisecond
	// streamsPerSecond is the traffic at all entries together, of which hotShare is about one thing.
	streamsPerSecond, hotShare = 40, 0.28
)

// group is a group of engines that run all passes together.
type group struct {
	mu sync.Mutex
	// down is closed while the group is broken, and broken at the moment at which it breaks.
	open   bool
	broken chan struct{}
	faulty string
}

func (g *group) state() (open bool, broken chan struct{}, faulty string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.broken, g.faulty
}

// crashed breaks the group.
func (g *group) crashed(faulty string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open, g.faulty = false, faulty
	close(g.broken)
}

// formed opens the group again.
func (g *group) formed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open, g.broken = true, make(chan struct{})
}

// stream serves a stream as a rank of the group does.
func (g *group) stream(w http.ResponseWriter, r *http.Request) {
	open, broken, faulty := g.state()
	if !open {
		select {
		case <-time.After(stallTime):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Not-Run", "1")
		w.Header().Set("At-Server", faulty)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for i := range streamEvents {
		select {
		case <-time.After(passTime):
		case <-r.Context().Done():
			return
		case <-broken:
			time.Sleep(stallTime)
			panic(http.ErrAbortHandler)
		}
		if i == 0 {
			w.Header().Set("Content-Type", "text/event-stream")
			respond(w, r, http.StatusOK, "")
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i+1, i+1, r.Header.Get("Attempt-Id"))
		_ = http.NewResponseController(w).Flush()
	}
}

// falseConviction crashes the engines of one data centre while a part of the requests, from several consumers of a tenant, is about one
// thing. Proper requests that get a 4xx of the system's own afterwards break DENIED.
func falseConviction(w *world) (broken bool, err error) {
	const service = "huvo11a"
	g := &group{open: true, broken: make(chan struct{})}
	first := route("r-clue", "/lohu930/", "stream", service, 2, 8000, 500)
	first["sticky"], first["resumable"], first["gapAimMs"] = true, true, 120
	c := configuration(7, []map[string]any{first}, service)
	c["services"] = []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 258, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 12, "kvCapacity": 280000, "stride": 4, "models": []map[string]any{{"name": "m"}}, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
		"read_per_s": 61400.0, "chunk": 512, "report_lag_ms": 200.0, "sets": 4, "experts": 72, "places": 8, "spare": 3, "expertMb": 2200.0, "expertShare": 0.85, "form_ms": 600.0,
	}}}
	w.store.put("op/config", c)
	zones := []string{"riga-a", "riga-b", "riga-c"}
	number := 0
	newEngine := func(zone string) (*engine, error) {
		number++
		e, err := w.startEngine(fmt.Sprintf("i-%08x", 0x7f3a91c0+number), service, zone, 12, g.stream)
		if err == nil {
			w.store.put("servers/"+e.id, e.record())
		}
		return e, err
	}
	var crashing []*engine
	for i, zone := range zones {
		// The group has eight ranks: four in the first data centre, two in each of the others.
		for range []int{4, 2, 2}[i] {
			e, err := newEngine(zone)
			if err != nil {
				return false, err
			}
			if zone == zones[0] {
				crashing = append(crashing, e)
			}
		}
	}
	for _, zone := range zones {
		for range 2 {
			if err := w.addEntry(zone); err != nil {
				return false, err
			}
		}
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var requests, denied atomic.Int64
	wait.Go(func() { w.streams(stop, &wait, &requests, &denied) })
	time.Sleep(6 * time.Second)
	if w.trouble {
		w.note("the engines of %s crash", zones[0])
		g.crashed(crashing[0].id)
		for _, e := range crashing {
			e.crash()
		}
		// A record is removed after three heartbeats of silence.
		time.Sleep(3600 * time.Millisecond)
		for _, e := range crashing {
			w.store.remove("servers/" + e.id)
		}
		time.Sleep(crashTime - 3600*time.Millisecond)
		for range crashing {
			if _, err := newEngine(zones[0]); err != nil {
				return false, err
			}
		}
		time.Sleep(formTime)
		g.formed()
		w.note("the engines are back and the group is open")
	}
	time.Sleep(25 * time.Second)
	close(stop)
	wait.Wait()
	limit := 5 + requests.Load()/500
	w.note("%d requests, %d denied, %d allowed", requests.Load(), denied.Load(), limit)
	fmt.Printf("%d requests, %d denied, %d allowed\n", requests.Load(), denied.Load(), limit)
	return denied.Load() > limit, nil
}

// streams sends streams to all entries in turn.
func (w *world) streams(stop chan struct{}, wait *sync.WaitGroup, requests, denied *atomic.Int64) {
	ticker := time.NewTicker(time.Second / streamsPerSecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		e := w.entries[i%len(w.entries)]
		path, body := fmt.Sprintf("/lohu930/%x", i), fmt.Sprintf("question %d", i)
		// Every so many requests of each hundred are about the same thing and ask the same.
		hot := i*37%100 < int(hotShare*100)
		if hot {
			path, body = "/lohu930/2f", "Which rooms are free today?"
		}
		wait.Go(func() {
			a := w.call(e, "POST", path, body, 8*time.Second)
			requests.Add(1)
			if a.status >= 400 && a.status < 500 && a.status != http.StatusTooManyRequests && a.status != http.StatusRequestTimeout && !a.sealed {
				denied.Add(1)
			}
			text := ""
			if a.status != http.StatusOK {
				text = a.body
			}
			w.note("POST %s at %s: id %s status %d sealed %v took %d ms error %v %s", path, e.name, a.id, a.status, a.sealed, a.took.Milliseconds(), a.err, text)
		})
	}
}
