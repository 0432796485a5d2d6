package main

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its latest value.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"createRev,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's store: kv-key, kv-range and kv-watch.
type store struct {
	rig     *rig
	address netip.AddrPort
	server  *http.Server

	// mu guards the fields below.
	mu       sync.Mutex
	revision int64
	items    map[string]item
	// changed is closed and replaced at each write.
	changed chan struct{}
	// down is set while the store answers nothing and accepts no write.
	down bool
}

// errDown reports a write that the store has not accepted.
var errDown = errors.New("the store is down")

// version is the version of the first configuration.
const version = 1

func newStore(r *rig) (*store, error) {
	l, err := net.Listen("tcp4", "127.0.40.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rig: r, address: netip.MustParseAddrPort(l.Addr().String()), revision: 10, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dragonflydeal/kv-key", s.unlessDown(s.key))
	mux.HandleFunc("GET /dragonflydeal/kv-range", s.unlessDown(s.list))
	mux.HandleFunc("GET /dragonflydeal/kv-watch", s.unlessDown(s.watch))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// setDown makes the store silent, or lets it answer again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.rig.note("store: silent %v", down)
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// unlessDown answers nothing while the store is down, also to calls that were waiting when it went down.
func (s *store) unlessDown(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.isDown() {
			handle(w, r)
		}
		if s.isDown() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
}

// put writes a value as JSON.
func (s *store) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	s.revision++
	created := s.items[key].CreateRev
	if created == 0 {
		created = s.revision
	}
	s.items[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Rev: s.revision, CreateRev: created}
	close(s.changed)
	s.changed = make(chan struct{})
	s.rig.note("store: %s written at revision %d", key, s.revision)
	return nil
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	v, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf int64 `json:"asOf"`
	}{v, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, map[string]any{"items": s.since(r.URL.Query().Get("prefix"), 0), "hasMore": false, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, asOf, changed := s.since(query.Get("prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": []item{}, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the items with a prefix that changed after a revision, in the order of their keys; mu is held.
func (s *store) since(prefix string, after int64) []item {
	out := []item{}
	for key, v := range s.items {
		if strings.HasPrefix(key, prefix) && v.Rev > after {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// route is a route of the configuration.
func route(name, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "kind": kind, "timeoutMs": 8000, "goalMs": 500, "priority": 1,
		"service": service, "attempts": attempts, "public": true,
	}
}

// configure writes the first configuration.
func (s *store) configure(services []string, routes ...map[string]any) error {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": coldTime.Seconds(), "coldPerS": coldRate,
		})
	}
	return s.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list, "tenants": []any{},
		"limits": map[string]int{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
