package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// watchInterval is the time between two checks of a waiting watch.
const watchInterval = 10 * time.Millisecond

// item is a key of the store as it is sent.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"createRev,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// contents is what the store holds at a revision.
type contents struct {
	revision int64
	items    map[string]item
	// history holds all changes in order.
	history []item
}

func (c *contents) clone() contents {
	items := make(map[string]item, len(c.items))
	for key, v := range c.items {
		items[key] = v
	}
	return contents{revision: c.revision, items: items, history: slices.Clone(c.history)}
}

// store is a stand-in for the platform's store. While it is away, its address refuses connections.
type store struct {
	address string

	mu sync.Mutex
	contents
	era int
	// late is the time after which the next write of a key is done that gets no answer, by key.
	late map[string]time.Duration
	// server is nil while the store is away.
	server *http.Server
}

// newStore starts a store at an address.
func newStore(address string) (*store, error) {
	s := &store{address: address, contents: contents{items: map[string]item{}}, era: 1, late: map[string]time.Duration{}}
	return s, s.open()
}

// open starts to serve.
func (s *store) open() error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// leave closes the store and all its connections.
func (s *store) leave() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// copyOf returns a copy of the contents.
func (s *store) copyOf() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clone()
}

// restore replaces the contents by a copy and starts a new era.
func (s *store) restore(c contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = c
	s.era++
}

// loseAnswer lets the next write of a key be done after a time, without an answer.
func (s *store) loseAnswer(key string, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late[key] = after
}

// expectsLoss reports whether the write of a key whose answer is lost is still to come.
func (s *store) expectsLoss(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.late[key]
	return ok
}

// put writes a key and reports whether the store has acknowledged that.
func (s *store) put(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return false
	}
	if wait, ok := s.late[key]; ok {
		delete(s.late, key)
		time.AfterFunc(wait, func() { s.put(key, value) })
		return false
	}
	s.revision++
	v := item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Rev: s.revision, CreateRev: s.revision}
	if before, ok := s.items[key]; ok {
		v.CreateRev = before.CreateRev
	}
	s.items[key] = v
	s.history = append(s.history, v)
	return true
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok || s.server == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.revision, Tombstone: true})
}

// serve answers the reading calls.
func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch strings.TrimPrefix(r.URL.Path, "/dragonflydeal/") {
	case "kv-key":
		s.mu.Lock()
		v, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			s.reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		s.reply(w, http.StatusOK, v)
	case "kv-range":
		s.mu.Lock()
		list := []item{}
		for key, v := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				list = append(list, v)
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		s.reply(w, http.StatusOK, map[string]any{"items": list, "hasMore": false, "asOf": asOf})
	case "kv-watch":
		s.watch(w, r)
	default:
		s.reply(w, http.StatusNotFound, map[string]any{})
	}
}

// watch answers as soon as there is a change after a revision. A revision that the store does not have gets 410.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		asOf := s.revision
		events := []item{}
		for _, v := range s.history {
			if v.Rev > after && strings.HasPrefix(v.Key, query.Get("prefix")) {
				events = append(events, v)
			}
		}
		s.mu.Unlock()
		switch {
		case after > asOf:
			s.reply(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0 || !time.Now().Before(end):
			s.reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(watchInterval):
		}
	}
}

func (s *store) reply(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
