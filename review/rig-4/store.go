package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store. It answers at once, keeps its whole history and is linearizable, but for a drill.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	events  []item
	changed chan struct{}
	// era rises with each drill, and away is set while the store is away.
	era  int
	away bool
}

func newStore() *store {
	return &store{items: map[string]item{}, changed: make(chan struct{}), era: 1}
}

// contents are what a store holds at one time.
type contents struct {
	rev    int64
	items  map[string]item
	events []item
}

// save returns a copy of what the store holds.
func (s *store) save() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return contents{s.rev, maps.Clone(s.items), slices.Clone(s.events)}
}

// leave makes the store go away: its channels are reset until it returns.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack ends the time away, with what an earlier copy holds.
func (s *store) comeBack(c contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.items, s.events, s.away = c.rev, maps.Clone(c.items), slices.Clone(c.events), false
	s.era++
}

// gone reports whether the store is away.
func (s *store) gone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	i := item{Key: key, Value: data, Rev: s.rev, CreateRev: created}
	s.items[key] = i
	s.publish(i)
}

// publish adds an event and wakes the watches; mu is held.
func (s *store) publish(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.gone() {
		reset(w)
		return
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	q := r.URL.Query()
	switch r.URL.Path {
	case "/dragonflydeal/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/dragonflydeal/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/dragonflydeal/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reset resets the channel of a call.
func reset(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf int64 `json:"asOf"`
	}{i, rev})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	reply(w, map[string]any{"items": list, "hasMore": false, "asOf": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := []item{}
		for _, i := range s.events {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				list = append(list, i)
			}
		}
		rev, changed, away := s.rev, s.changed, s.away
		s.mu.Unlock()
		switch {
		case away:
			reset(w)
			return
		case after > rev:
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(list) > 0 {
			reply(w, map[string]any{"events": list, "asOf": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": list, "asOf": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
