package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// engine is a plain server of a service, which runs each request for a fixed time.
type engine struct {
	rig     *rig
	id      string
	address netip.AddrPort
	server  *http.Server
	work    time.Duration
	// running is the number of requests in progress.
	running atomic.Int64
}

// startEngine starts an engine and registers it in the store.
func (r *rig) startEngine(service, zone string, slots int, work time.Duration) (*engine, error) {
	number := len(r.engines) + 1
	l, err := net.Listen("tcp4", fmt.Sprintf("127.0.42.%d:0", number))
	if err != nil {
		return nil, err
	}
	e := &engine{rig: r, id: fmt.Sprintf("i-%s-%d", service, number), address: netip.MustParseAddrPort(l.Addr().String()), work: work}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	r.engines = append(r.engines, e)
	return e, r.store.put("servers/"+e.id, map[string]any{
		"service": service, "addr": e.address.String(), "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": 1,
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
