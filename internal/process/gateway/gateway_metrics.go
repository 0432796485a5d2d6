package gateway

import (
	"net/http"

	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
)

// counts are the metrics of the process.
type counts struct {
	// requests counts ended requests by outcome.
	requests *metrics.Counter
	// attempts counts sendings by outcome.
	attempts *metrics.Counter
	// reads counts calls at the store, and unreadable the entries of targets that could not be decoded.
	reads, unreadable *metrics.Counter
	// datagrams counts lost and useless datagrams.
	datagrams *metrics.Counter
	// first is the time to the head of an answer, whole that to its end, and pause that between two events.
	first, whole, pause *metrics.Histogram
}

func newCounts(s *metrics.Set) *counts {
	return &counts{
		requests: s.Counter("requests"), attempts: s.Counter("attempts"), reads: s.Counter("reads"),
		unreadable: s.Counter("unreadable"), datagrams: s.Counter("datagrams"),
		first: s.Histogram("first"), whole: s.Histogram("whole"), pause: s.Histogram("pause"),
	}
}

// operators serves the metrics.
func (p *Process) operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.set)
	return mux
}
