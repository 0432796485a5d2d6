package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the interval at which engines write their records.
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in for an engine of a plain service.
type engine struct {
	id, service, zone, address string
	// work is the time that a request takes.
	work   time.Duration
	slots  int
	store  *store
	record *record
	server *http.Server
	born   int64

	mu    sync.Mutex
	state string
	// changed tells beat of a change that was written, and ended is closed at the exit.
	changed, ended chan struct{}
	// places holds a value for each request that runs.
	places chan struct{}
}

// key returns the key of the engine's record.
func (e *engine) key() string { return "servers/" + e.id }

// start serves requests and writes the record of the engine at each heartbeat.
func (e *engine) start() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.state, e.changed, e.ended, e.places, e.born = "ready", make(chan struct{}), make(chan struct{}), make(chan struct{}, e.slots), time.Now().UnixMilli()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	e.write()
	go e.beat()
	return nil
}

// beat writes the record at each heartbeat until the exit. After a change that the engine has written the next one follows a heartbeat
// later.
func (e *engine) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-e.ended:
			return
		case <-e.changed:
			t.Reset(heartbeat)
		case <-t.C:
			e.write()
		}
	}
}

// write writes the record and reports whether the store has acknowledged it.
func (e *engine) write() bool {
	state := "ready"
	if e.leaves() {
		state = "draining"
	}
	ok := e.store.put(e.key(), map[string]any{
		"service": e.service, "addr": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state, "coldLeftMs": 0, "born": e.born, "seq": time.Now().UnixMilli(),
	})
	e.record.add("beat", "engine", e.id, "state", state, "acknowledged", ok)
	return ok
}

// leaves reports whether the engine has begun to drain. It says so in all its answers.
func (e *engine) leaves() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == "draining"
}

// drain reports to the store that the engine is draining, and returns whether the store has acknowledged that.
func (e *engine) drain() bool {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	ok := e.write()
	e.changed <- struct{}{}
	return ok
}

// exit ends the engine with the requests that it runs, and removes its record.
func (e *engine) exit() {
	close(e.ended)
	_ = e.server.Close()
	e.store.remove(e.key())
	e.record.add("exit", "engine", e.id)
}

// ServeHTTP runs a request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Instance-Id", e.id)
	if e.leaves() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		e.record.add("misdirected", "engine", e.id, "id", id, "expected", expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.record.arrive(e.id, id)
	select {
	case e.places <- struct{}{}:
	default:
		e.record.add("shed", "engine", e.id, "id", id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.places }()
	e.record.add("run", "engine", e.id, "id", id)
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.record.add("broken off", "engine", e.id, "id", id)
		panic(http.ErrAbortHandler)
	}
	if e.leaves() {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Engine-Seal", "seal-"+e.id+"-"+id)
	_, _ = w.Write([]byte("done " + id + "\n"))
	e.record.add("ran", "engine", e.id, "id", id)
}
