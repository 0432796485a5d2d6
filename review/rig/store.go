package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a change of a key; Tombstone is set if the key was removed.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// historyTime is historyS of the settings.
const historyTime = 20 * time.Second

// change is an item of the history.
type change struct {
	item
	at time.Time
}

// store is a stand-in for the platform's store. It keeps the history of historyTime.
type store struct {
	mu sync.Mutex
	// rev is the revision of the latest change, items the state and history all changes in order.
	rev     int64
	items   map[string]item
	history []change
	// dropped is the latest revision that the history no longer has.
	dropped int64
	// changed is closed at each change, and cut when the waiting watches are cut.
	changed, cut chan struct{}
	// cuts counts the watches that were cut.
	cuts    int
	address string
}

func newStore(ip string) (*store, error) {
	s := &store{rev: 100, items: map[string]item{}, changed: make(chan struct{}), cut: make(chan struct{})}
	d, err := s.listen(ip)
	if err != nil {
		return nil, err
	}
	s.address = d.address
	return s, nil
}

// door is an address at which the store serves some machines.
type door struct {
	address string
	mu      sync.Mutex
	// refuses is set while all calls are answered with 503.
	refuses bool
	// listedAt is when the records were last listed.
	listedAt time.Time
}

// listed returns when the machines of a door last listed the records.
func (d *door) listed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listedAt
}

// refuse makes the store turn the machines of a door away with 503, or ends that.
func (d *door) refuse(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses = on
}

// listen serves the store at one more address.
func (s *store) listen(ip string) (*door, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	d := &door{address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dragonflydeal/kv-key", s.serveKey)
	mux.HandleFunc("GET /dragonflydeal/kv-range", s.serveRange)
	mux.HandleFunc("GET /dragonflydeal/kv-watch", s.serveWatch)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		refuses := d.refuses
		if strings.HasSuffix(r.URL.Path, "/kv-range") {
			d.listedAt = time.Now()
		}
		d.mu.Unlock()
		if refuses {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return d, nil
}

// put writes a key and returns the time of the ack.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: data, Rev: s.rev, CreateRev: s.rev}
	if before, ok := s.items[key]; ok {
		it.CreateRev = before.CreateRev
	}
	s.items[key] = it
	s.note(it)
	return time.Now()
}

// remove removes a key and returns the time of the ack.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.rev++
		delete(s.items, key)
		s.note(item{Key: key, Rev: s.rev, Tombstone: true})
	}
	return time.Now()
}

// note adds a change to the history and drops what is older than historyTime; mu is held.
func (s *store) note(it item) {
	s.history = append(s.history, change{it, time.Now()})
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Rev
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches cuts the watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf int64 `json:"asOf"`
	}{it, rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	list := []item{}
	s.mu.Lock()
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	reply(w, map[string]any{"items": list, "hasMore": false, "asOf": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	cut, begun := s.cut, false
	s.mu.Unlock()
	for {
		events := []item{}
		s.mu.Lock()
		for _, c := range s.history {
			if c.Rev > after && strings.HasPrefix(c.Key, prefix) {
				events = append(events, c.item)
			}
		}
		rev, changed, dropped := s.rev, s.changed, s.dropped
		s.mu.Unlock()
		if after < dropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "asOf": rev})
			return
		}
		if !begun {
			// The answer begins before there is an event, so a cut shows as its end.
			begun = true
			w.Header().Set("Content-Type", "application/json")
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": events, "asOf": rev})
			return
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			// The channel ends without an answer.
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
