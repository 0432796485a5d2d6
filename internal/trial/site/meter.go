package site

import (
	"net/http"
	"sync"
)

// Power of each target during the shortage, in watts.
const (
	shortShare = 400
	shortIdle  = 100
	shortDraw  = 100
)

// meter measures the draw of the stand-ins by data centre. It is safe for concurrent use.
type meter struct {
	mu sync.Mutex
	// targets and running count the targets and the running requests by data centre; guarded by mu.
	targets, running map[string]int
	// most holds the highest draw since the last reset by data centre; guarded by mu.
	most map[string]int
}

func newMeter() *meter {
	return &meter{targets: map[string]int{}, running: map[string]int{}, most: map[string]int{}}
}

// wrap counts the requests at a stand-in.
func (m *meter) wrap(centre string, handler http.Handler) http.Handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets[centre]++
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			m.change(centre, 1)
			defer m.change(centre, -1)
		}
		handler.ServeHTTP(w, r)
	})
}

func (m *meter) change(centre string, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[centre] += count
	m.most[centre] = max(m.most[centre], m.draw(centre))
}

// draw returns the present draw of a data centre; mu is held.
func (m *meter) draw(centre string) int {
	return m.targets[centre]*shortIdle + m.running[centre]*shortDraw
}

// reset forgets the highest draws.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for centre := range m.targets {
		m.most[centre] = m.draw(centre)
	}
}

// above returns the number of data centres and of those whose highest draw was above the cap.
func (m *meter) above() (centres, over, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for centre, targets := range m.targets {
		centres++
		most = max(most, m.most[centre])
		if m.most[centre] > targets*shortShare {
			over++
		}
	}
	return centres, over, most
}
