// Package audit implements the audit trail: each change is logged, and the latest changes are kept in memory.
package audit

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// maxChanges is the number of changes that are kept in memory.
const maxChanges = 1000

// Change is one recorded change.
type Change struct {
	// Time is when the change took effect.
	Time time.Time `json:"time"`
	// Kind is the kind of change, such as "configuration".
	Kind string `json:"kind"`
	// Values holds the attributes of the change by name.
	Values map[string]string `json:"values"`
}

// Trail logs changes and keeps the latest ones. It is safe for concurrent use.
type Trail struct {
	log *slog.Logger

	mu sync.Mutex
	// changes holds at most maxChanges elements, the oldest first.
	changes []Change
}

// NewTrail returns an empty trail that also writes to a log.
func NewTrail(log *slog.Logger) *Trail {
	return &Trail{log: log}
}

// Record logs and stores a change. The attributes alternate names and values.
func (t *Trail) Record(now time.Time, kind string, attributes ...any) {
	t.log.LogAttrs(context.Background(), slog.LevelInfo, "audit", append([]slog.Attr{slog.String("kind", kind)}, attrs(attributes)...)...)
	values := map[string]string{}
	for _, a := range attrs(attributes) {
		values[a.Key] = a.Value.String()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changes) == maxChanges {
		t.changes = t.changes[1:]
	}
	t.changes = append(t.changes, Change{Time: now, Kind: kind, Values: values})
}

func attrs(attributes []any) (out []slog.Attr) {
	for i := 0; i+1 < len(attributes); i += 2 {
		out = append(out, slog.Any(fmt.Sprint(attributes[i]), attributes[i+1]))
	}
	return out
}

// Changes returns the latest changes, the oldest first.
func (t *Trail) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Change(nil), t.changes...)
}
