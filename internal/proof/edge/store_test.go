package edge

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// evacuationPrefix is the prefix of the keys that evacuate data centres.
const evacuationPrefix = "op/evacuate/"

// store is a fake of the platform's store.
type store struct {
	mu sync.Mutex
	// values holds the encoded items by key, and revision counts changes; guarded by mu.
	values   map[string]json.RawMessage
	revision int64
	// created holds the revision at which each item was created; guarded by mu.
	created map[string]int64
	// unavailable makes all calls fail; dropEvents makes watches return no events.
	unavailable, dropEvents atomic.Bool
	// calls counts the HTTP calls of all kinds.
	calls atomic.Int64
	// delay is the time in nanoseconds by which each call is answered late.
	delay atomic.Int64
	// evacuationLists counts the lists of evacuated data centres.
	evacuationLists atomic.Int64
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.putBytes(key, data)
}

// contents are what a store holds at one time.
type contents struct {
	values   map[string]json.RawMessage
	created  map[string]int64
	revision int64
}

// save returns the present contents.
func (s *store) save() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return contents{values: maps.Clone(s.values), created: maps.Clone(s.created), revision: s.revision}
}

// restore goes back to earlier contents, as a store does that has lost its latest writes.
func (s *store) restore(c contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values, s.created, s.revision = maps.Clone(c.values), maps.Clone(c.created), c.revision
}

// putBytes writes a value as it is.
func (s *store) putBytes(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.created[key] == 0 {
		s.created[key] = s.revision
	}
	item, err := json.Marshal(map[string]any{"key": key, "value": data, "rev": s.revision, "createRev": s.created[key]})
	if err != nil {
		panic(err)
	}
	s.values[key] = item
}

// remove replaces a key by a tombstone.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.created, key)
	s.values[key] = json.RawMessage(fmt.Sprintf(`{"key":%q,"rev":%d,"tombstone":true}`, key, s.revision))
}

// storeLink is the path of one entry to the store.
type storeLink struct {
	*store
	// cutInterval is the time in nanoseconds between two cuts of the entry's watches that wait, or zero.
	cutInterval atomic.Int64
	// silent keeps the entry's watches without an answer, and refused makes them fail with a status.
	silent, refused atomic.Bool
	// watches counts the watches.
	watches atomic.Int64
}

func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/kv-watch") {
		l.watches.Add(1)
		switch {
		case l.silent.Load():
			<-r.Context().Done()
			return
		case l.refused.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	l.serve(w, r, time.Duration(l.cutInterval.Load()))
}

// serve answers a call; the watches among them are cut at an interval unless it is zero.
func (s *store) serve(w http.ResponseWriter, r *http.Request, cutInterval time.Duration) {
	s.calls.Add(1)
	time.Sleep(time.Duration(s.delay.Load()))
	if s.unavailable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch strings.TrimPrefix(r.URL.Path, "/dragonflydeal/") {
	case "kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		value, ok := s.values[query.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		fmt.Fprint(w, strings.TrimSuffix(string(value), "}")+`,"asOf":`+strconv.FormatInt(s.revision, 10)+"}")
	case "kv-range":
		if query.Get("prefix") == evacuationPrefix {
			s.evacuationLists.Add(1)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		items := []json.RawMessage{}
		for key, value := range s.values {
			if strings.HasPrefix(key, query.Get("prefix")) {
				items = append(items, value)
			}
		}
		reply(w, map[string]any{"items": items, "hasMore": false, "asOf": s.revision})
	case "kv-watch":
		s.watch(w, query.Get("prefix"), query.Get("after"), query.Get("waitMs"), cutInterval)
	}
}

func reply(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	// The client may have closed the connection.
	_, _ = w.Write(data)
}

func (s *store) watch(w http.ResponseWriter, prefix, after, wait string, cutInterval time.Duration) {
	from, _ := strconv.ParseInt(after, 10, 64)
	limit, _ := strconv.Atoi(wait)
	interval := cutInterval.Nanoseconds()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if s.unavailable.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		events := []json.RawMessage{}
		s.mu.Lock()
		for key, value := range s.values {
			var item struct{ Rev int64 }
			if err := json.Unmarshal(value, &item); err == nil && !s.dropEvents.Load() && item.Rev > from && strings.HasPrefix(key, prefix) {
				events = append(events, value)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		if len(events) > 0 || time.Since(began) > time.Duration(limit)*time.Millisecond {
			reply(w, map[string]any{"events": events, "asOf": revision})
			return
		}
		if interval > 0 {
			// The answer has begun, so that the client does not repeat the call by itself.
			_ = http.NewResponseController(w).Flush()
			if began.UnixNano()/interval != time.Now().UnixNano()/interval {
				panic(http.ErrAbortHandler)
			}
		}
	}
}
