package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// engine is a stand-in for an engine of a plain service.
type engine struct {
	id, address, zone, service string
	slots                      int
	// handle serves a request that the engine runs; its body is read already.
	handle   func(w http.ResponseWriter, r *http.Request)
	listener net.Listener
	server   *http.Server
	note     func(format string, arguments ...any)

	mu sync.Mutex
	// arrivals holds the requests that reached the engine and were not answered with 421.
	arrivals []arrival
	// conns holds the open channels.
	conns map[net.Conn]bool
}

// arrival is a request that reached an engine.
type arrival struct {
	id string
	at time.Time
}

// startEngine starts an engine.
func (w *world) startEngine(id, service, zone string, slots int, handle func(w http.ResponseWriter, r *http.Request)) (*engine, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(w.nextIP(), "0"))
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, address: l.Addr().String(), zone: zone, service: service, slots: slots, handle: handle, listener: l, note: w.note, conns: map[net.Conn]bool{}}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch state {
		case http.StateNew:
			e.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(e.conns, c)
		}
	}}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{id, time.Now()})
	e.mu.Unlock()
	e.note("engine %s gets %s", e.id, id)
	e.handle(w, r)
}

// record returns the engine's record in the store.
func (e *engine) record() map[string]any {
	return map[string]any{
		"service": e.service, "addr": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "coldLeftMs": 0, "seq": 1,
	}
}

// crash ends the engine and resets its channels.
func (e *engine) crash() {
	_ = e.listener.Close()
	e.mu.Lock()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	e.mu.Unlock()
	_ = e.server.Close()
}

// reached returns the requests that reached the engine.
func (e *engine) reached() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// respond answers a request as an engine does.
func respond(w http.ResponseWriter, r *http.Request, status int, body string) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Engine-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.WriteHeader(status)
	fmt.Fprint(w, body)
}

// work returns a handler that works for a time, unless the channel closes, and answers with success.
func work(d time.Duration) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			respond(w, r, http.StatusOK, "done "+r.Header.Get("Attempt-Id"))
		case <-r.Context().Done():
		}
	}
}
