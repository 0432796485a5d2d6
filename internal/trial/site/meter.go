package site

import (
	"net/http"
	"sync"
)

// Power of each target during the power shortage, in watts: its share of the data centre's cap, its draw without
// requests, and the additional draw of each running request.
const (
	shortageShare = 400
	shortageIdle  = 100
	shortageDraw  = 100
)

// meter computes the power draw of the fake targets by data centre. It is safe for concurrent use.
type meter struct {
	mu sync.Mutex
	// targets and running count the targets and the running requests by data centre; guarded by mu.
	targets, running map[string]int
	// maxDraw holds the highest draw since the last reset by data centre; guarded by mu.
	maxDraw map[string]int
}

func newMeter() *meter {
	return &meter{targets: map[string]int{}, running: map[string]int{}, maxDraw: map[string]int{}}
}

// wrap adds a target to a data centre and counts the requests that its handler is running.
func (m *meter) wrap(centre string, handler http.Handler) http.Handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets[centre]++
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			m.addRunning(centre, 1)
			defer m.addRunning(centre, -1)
		}
		handler.ServeHTTP(w, r)
	})
}

func (m *meter) addRunning(centre string, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[centre] += count
	m.maxDraw[centre] = max(m.maxDraw[centre], m.draw(centre))
}

// draw returns the current draw of a data centre; mu is held.
func (m *meter) draw(centre string) int {
	return m.targets[centre]*shortageIdle + m.running[centre]*shortageDraw
}

// resetMax sets the highest draws to the current ones.
func (m *meter) resetMax() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for centre := range m.targets {
		m.maxDraw[centre] = m.draw(centre)
	}
}

// compareWithCap returns the number of data centres, the number of those whose highest draw was above the cap, and the
// highest draw of all.
func (m *meter) compareWithCap() (centres, overCap, maxDraw int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for centre, targets := range m.targets {
		centres++
		maxDraw = max(maxDraw, m.maxDraw[centre])
		if m.maxDraw[centre] > targets*shortageShare {
			overCap++
		}
	}
	return centres, overCap, maxDraw
}
