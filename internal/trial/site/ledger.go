package site

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms record microseconds up to one minute with two significant digits.
const (
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	histogramDigits  = 2
)

// ledger records the results of the callers' requests. It is safe for concurrent use.
type ledger struct {
	// began is the start of the trial.
	began time.Time

	mu sync.Mutex
	// complete, refused and errors count the answers by outcome; a 503 of an entry that is not ready counts as refused.
	complete, refused, errors int
	// wrongAnswers counts complete answers that differ from the expected bytes.
	wrongAnswers int
	// unexplainedErrors counts the errors while no fault or pause was active.
	unexplainedErrors int
	// details holds the first violations in words.
	details []string
	// keys holds the answers to each idempotency key.
	keys map[string]*keyRecord
	// served counts complete answers by the data centre of the entry.
	served map[string]int
	// faults are the time spans of cuts; the last one may be open.
	faults []timeSpan
	// pauses are the time spans in which the machine did not run this program.
	pauses []timeSpan
	// firstToken, tokenGap and callLatency hold the latencies in microseconds.
	firstToken, tokenGap, callLatency *hdrhistogram.Histogram
}

// keyRecord holds the answers to requests with one idempotency key.
type keyRecord struct {
	// notRun is set if a request with the key was answered with the outcome "not-run".
	notRun bool
	// answers holds the distinct complete answers.
	answers map[string]bool
}

// timeSpan is the time of a fault or a pause; until is zero while it lasts.
type timeSpan struct {
	from, until time.Time
}

// maxDetails bounds the number of details.
const maxDetails = 8

func newLedger(began time.Time) *ledger {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, histogramDigits) }
	return &ledger{
		began: began,
		keys:  map[string]*keyRecord{}, served: map[string]int{},
		firstToken: histogram(), tokenGap: histogram(), callLatency: histogram(),
	}
}

// beginFault records the start of a fault.
func (l *ledger) beginFault(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, timeSpan{from: now})
}

// endFault records the end of the last fault.
func (l *ledger) endFault(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[len(l.faults)-1].until = now
}

// duringFault reports whether a fault or a pause was active during a request; mu is held.
func (l *ledger) duringFault(r *apiResult) bool {
	for _, p := range slices.Concat(l.faults, l.pauses) {
		if r.ended.After(p.from) && (p.until.IsZero() || r.began.Before(p.until)) {
			return true
		}
	}
	return false
}

// answerCheck reports whether the text of an answer is correct.
type answerCheck func(text string) bool

// record records the answer to a request.
func (l *ledger) record(centre string, q apiRequest, r *apiResult, correct answerCheck) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordKey(q, r)
	switch {
	case r.complete && !correct(r.text):
		l.wrongAnswers++
		l.addDetail("wrong answer to " + q.path + ": " + excerpt(r.text))
	case r.complete:
		l.complete++
		l.served[centre]++
		l.recordLatency(r)
	case r.problem.Outcome == "not-run", r.problem.Outcome == "unknown" && r.status == http.StatusServiceUnavailable:
		l.refused++
	default:
		l.errors++
		l.recordError(q, r)
	}
}

// recordError counts a request that was neither completed nor refused, unless a fault or a pause explains it; mu is held.
func (l *ledger) recordError(q apiRequest, r *apiResult) {
	if !l.duringFault(r) {
		l.unexplainedErrors++
		l.addDetail(fmt.Sprintf("%.1fs to %.1fs: %s failed without a fault: %s %s",
			r.began.Sub(l.began).Seconds(), r.ended.Sub(l.began).Seconds(), q.path, r.problem.Outcome, r.problem.Detail))
	}
}

// recordKey records the answer to a request with an idempotency key; mu is held.
func (l *ledger) recordKey(q apiRequest, r *apiResult) {
	if q.key == "" {
		return
	}
	k := l.keys[q.key]
	if k == nil {
		k = &keyRecord{answers: map[string]bool{}}
		l.keys[q.key] = k
	}
	if r.problem.Outcome == "not-run" {
		k.notRun = true
	}
	if r.complete {
		k.answers[r.text] = true
	}
}

// recordLatency records the latencies of a complete answer; mu is held.
func (l *ledger) recordLatency(r *apiResult) {
	if r.firstToken == 0 {
		_ = l.callLatency.RecordValue(r.ended.Sub(r.began).Microseconds())
		return
	}
	_ = l.firstToken.RecordValue(r.firstToken.Microseconds())
	for _, gap := range r.tokenGaps {
		_ = l.tokenGap.RecordValue(gap.Microseconds())
	}
}

// addDetail adds a detail unless there are maxDetails; mu is held.
func (l *ledger) addDetail(text string) {
	if len(l.details) < maxDetails {
		l.details = append(l.details, text)
	}
}

// servedBy returns the numbers of complete answers so far by data centre.
func (l *ledger) servedBy() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.served)
}

// excerpt returns the start of a text as one line.
func excerpt(text string) string {
	const size = 60
	return strings.ReplaceAll(text[:min(len(text), size)], "\n", "⏎")
}
