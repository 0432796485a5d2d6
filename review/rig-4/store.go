package main

import (
	"encoding/json"
	"net/http"
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

// store is a stand-in of the platform's store. It answers at once, keeps its whole history and is linearizable.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	events  []item
	changed chan struct{}
}

func newStore() *store {
	return &store{items: map[string]item{}, changed: make(chan struct{})}
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
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
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
