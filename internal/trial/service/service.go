// Package service implements a fake request service with non-idempotent calls.
package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service counts the executions of each idempotency key. It is safe for concurrent use.
type Service struct {
	options Options

	mu sync.Mutex
	// runs counts the started executions by idempotency key.
	runs map[string]int
	// dropAnswers makes the service execute every call and close the connection without an answer.
	dropAnswers bool
}

// Options are the inputs of New.
type Options struct {
	// Delay is the duration of one call.
	Delay time.Duration
}

// New returns a Service.
func New(o Options) *Service {
	return &Service{options: o, runs: map[string]int{}}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"running":0}`)
	})
	mux.HandleFunc("POST /", s.serve)
	return mux
}

// serve executes one call; the execution is counted even if its answer is lost.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n := s.Execute(r.Header.Get("Idempotency-Key"))
	timer := time.NewTimer(s.options.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	if s.dropsAnswers() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintf(w, "done %d: %s", n, body)
}

// Execute counts one execution of a key and returns the number of its executions so far.
func (s *Service) Execute(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

func (s *Service) dropsAnswers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropAnswers
}

// SetDropAnswers makes the service execute every call and close the connection without an answer, until it is reset.
func (s *Service) SetDropAnswers(drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAnswers = drop
}

// Runs returns the number of executions of a key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// MaxRuns returns the largest number of executions of one key and the number of keys.
func (s *Service) MaxRuns() (maxRuns, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.runs {
		if key == "" {
			continue
		}
		keys++
		maxRuns = max(maxRuns, n)
	}
	return maxRuns, keys
}
