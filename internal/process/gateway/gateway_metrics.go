package gateway

import (
	"net/http"

	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
)

// processMetrics are the metrics of an entry.
type processMetrics struct {
	// requests counts ended requests by outcome.
	requests *metrics.Counter
	// attempts counts attempts by outcome.
	attempts *metrics.Counter
	// retries counts the retries that the budgets allowed or refused.
	retries *metrics.Counter
	// storeCalls counts calls of the store, and invalidRecords the records of targets that could not be decoded.
	storeCalls, invalidRecords *metrics.Counter
	// datagrams counts datagrams that were not sent, could not be decoded or were out of date.
	datagrams *metrics.Counter
	// lostRuns counts runs that ended without an answer by what became known of them.
	lostRuns *metrics.Counter
	// permits counts the permits that were issued to other entries, and the answers to this entry's requests for permits.
	permits *metrics.Counter
	// colds counts the targets that became cold by reason, and those that no longer are.
	colds *metrics.Counter
	// rests counts the times at which a target asked for rest.
	rests *metrics.Counter
	// paces counts how often a target became slow, and of usual pace again, and stalls how often a group stalled and ran again.
	paces, stalls *metrics.Counter
	// outages counts how often a group was down and up again, and the requests that were refused while all groups were down.
	outages *metrics.Counter
	// evacuations counts evacuated and returned data centres, and the requests that were refused because of evacuations.
	evacuations *metrics.Counter
	// seats counts the decisions on seats, and seatWait is the time that requests waited for one.
	seats    *metrics.Counter
	seatWait *metrics.Histogram
	// memory counts the bytes that are held for callers, the requests that were refused for want of them, and the large answers that
	// were passed on without being held.
	memory *metrics.Counter
	// timeToHeaders is the time from sending an attempt to the headers of its answer, duration that of a whole request,
	// and eventGap that between two events of a stream.
	timeToHeaders, duration, eventGap *metrics.Histogram
}

func newProcessMetrics(s *metrics.Set) *processMetrics {
	return &processMetrics{
		requests: s.Counter("requests"), attempts: s.Counter("attempts"), retries: s.Counter("retries"), storeCalls: s.Counter("reads"),
		invalidRecords: s.Counter("unreadable"), datagrams: s.Counter("datagrams"), lostRuns: s.Counter("runs"), permits: s.Counter("permits"), rests: s.Counter("rests"), colds: s.Counter("cold"),
		paces: s.Counter("paces"), stalls: s.Counter("stalls"), outages: s.Counter("outages"),
		evacuations: s.Counter("evacuations"), memory: s.Counter("memory"),
		seats: s.Counter("seats"), seatWait: s.Histogram("wait"),
		timeToHeaders: s.Histogram("first"), duration: s.Histogram("whole"), eventGap: s.Histogram("pause"),
	}
}

// metricsHandler returns the handler that serves the metrics.
func (p *Process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metricSet)
	return mux
}
