package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has reached an engine.
type arrival struct {
	engine, id string
	at         time.Time
}

// record is the log of a run, which is written to a file.
type record struct {
	mu       sync.Mutex
	file     *os.File
	began    time.Time
	arrivals []arrival
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// add writes a line with an event and pairs of keys and values.
func (r *record) add(event string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), event, pairs...)
}

func (r *record) write(at time.Time, event string, pairs ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%9.3f %s", at.Sub(r.began).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.file, line.String())
}

// arrive notes a request that has reached an engine.
func (r *record) arrive(engine, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.arrivals = append(r.arrivals, arrival{engine: engine, id: id, at: now})
	r.write(now, "arrival", "engine", engine, "id", id)
}

// between returns the IDs of the requests that have reached an engine within a time.
func (r *record) between(engine string, from, to time.Time) (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.engine == engine && a.at.After(from) && a.at.Before(to) {
			ids = append(ids, a.id)
		}
	}
	return ids
}
