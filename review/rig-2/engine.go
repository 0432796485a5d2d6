package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coldTime and coldRate are coldS and coldPerS of all services.
	coldTime = 3 * time.Second
	coldRate = 15.0
	// heartbeat is heartbeatMs.
	heartbeat = 1200 * time.Millisecond
	// slots is the number of requests that an engine runs at once.
	slots = 6
	// crashRate is the number of requests in a second, well above coldRate, at which a cold engine crashes.
	crashRate = 2 * coldRate
)

// engine is a plain server of a service, which runs each request for a fixed time.
type engine struct {
	rig               *rig
	id, service, zone string
	address           netip.AddrPort
	work              time.Duration
	// running is the number of requests in progress.
	running atomic.Int64

	// mu guards the fields below.
	mu     sync.Mutex
	server *http.Server
	// born is the start of the incarnation, and coldUntil until when it is cold. It writes no record before listedAt.
	born, coldUntil, listedAt time.Time
	// arrivals are the times of the requests that were not turned away with 421.
	arrivals []time.Time
}

// startEngine starts an engine, which is warm, and registers it in the store.
func (r *rig) startEngine(service, zone string, work time.Duration) error {
	number := len(r.engines) + 1
	ip := netip.AddrFrom4([4]byte{127, 0, 42, byte(number)})
	port, err := freePort(ip)
	if err != nil {
		return err
	}
	e := &engine{
		rig: r, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, address: netip.AddrPortFrom(ip, port), work: work,
	}
	r.engines = append(r.engines, e)
	if err := e.start(0); err != nil {
		return err
	}
	go e.beat()
	return e.register()
}

// start starts an incarnation that is cold for a time.
func (e *engine) start(cold time.Duration) error {
	l, err := net.Listen("tcp4", e.address.String())
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.coldUntil = time.Now(), time.Now().Add(cold)
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second}
	go func(server *http.Server) { _ = server.Serve(l) }(e.server)
	e.rig.note("%s starts, cold for %v", e.id, cold)
	return nil
}

// crash ends the incarnation: its channels are closed, and new ones are refused.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	_ = e.server.Close()
	e.server = nil
	e.rig.note("%s crashes", e.id)
}

// beat renews the record each heartbeat while the engine runs, if the store accepts it.
func (e *engine) beat() {
	for range time.Tick(heartbeat) {
		e.mu.Lock()
		up := e.server != nil && time.Now().After(e.listedAt)
		e.mu.Unlock()
		if up {
			_ = e.register()
		}
	}
}

// register writes the record.
func (e *engine) register() error {
	e.mu.Lock()
	left, born := max(time.Until(e.coldUntil).Milliseconds(), 0), e.born.UnixMilli()
	e.mu.Unlock()
	return e.rig.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "addr": e.address.String(), "zone": e.zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": left,
		"seq": 1, "born": born,
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.arrive() {
		e.crash()
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.running.Add(1)
	defer e.running.Add(-1)
	e.rig.note("%s runs %s", e.id, id)
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.rig.note("%s: the channel of %s was closed while it ran", e.id, id)
		return
	}
	w.Header().Set("Engine-Seal", "seal-"+id)
	fmt.Fprintf(w, "answer to %s", id)
	e.rig.note("%s has answered %s", e.id, id)
}

// arrive counts a request and reports whether it is one too many for the cold engine.
func (e *engine) arrive() (tooMany bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.arrivals = append(e.arrivals, now)
	n := 0
	for i := len(e.arrivals) - 1; i >= 0 && now.Sub(e.arrivals[i]) < time.Second; i-- {
		n++
	}
	return now.Before(e.coldUntil) && n > crashRate
}

// most returns the largest number of arrivals within a second from a time until another, and when that second began.
func (e *engine) most(from, to time.Time) (most int, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, first := range e.arrivals {
		if first.Before(from) || !first.Before(to) {
			continue
		}
		n := 0
		for _, v := range e.arrivals[i:] {
			if v.Before(to) && v.Sub(first) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, first
		}
	}
	return most, at
}
