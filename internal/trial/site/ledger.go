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

// Histograms hold microseconds up to a minute with two significant digits.
const (
	histogramMost   = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
)

// ledger collects what callers saw. It is safe for concurrent use.
type ledger struct {
	// began is the start of the trial.
	began time.Time

	mu sync.Mutex
	// complete, refused and errors count the answers by their ends; an entry that is not ready refuses.
	complete, refused, errors int
	// wrong counts whole answers that differ from the expected bytes.
	wrong int
	// cutOff counts answers that broke off while no fault was active.
	cutOff int
	// details holds the first reasons of broken promises.
	details []string
	// keys holds what was said of each idempotency key.
	keys map[string]*keyRecord
	// served counts complete answers by the data centre of the entry.
	served map[string]int
	// faults are the periods of cuts; the last one may be open.
	faults []period
	// pauses are the times in which this program did not get on.
	pauses []period
	// first, between and call hold the latencies in microseconds.
	first, between, call *hdrhistogram.Histogram
}

// keyRecord is what callers were told of one key.
type keyRecord struct {
	// notRun tells that a request with the key was answered "not-run".
	notRun bool
	// answers holds the different whole answers.
	answers map[string]bool
}

// period is a time with a fault.
type period struct {
	from, until time.Time
}

// maxDetails bounds the reasons that are kept.
const maxDetails = 8

func newLedger(began time.Time) *ledger {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMost, histogramDigits) }
	return &ledger{
		began: began,
		keys:  map[string]*keyRecord{}, served: map[string]int{},
		first: histogram(), between: histogram(), call: histogram(),
	}
}

// begin notes that a fault starts, and end that it is over.
func (l *ledger) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, period{from: now})
}

// end notes that the newest fault is over.
func (l *ledger) end(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[len(l.faults)-1].until = now
}

// excused reports whether a fault was active during a request; mu is held.
func (l *ledger) excused(r *reply) bool {
	for _, p := range slices.Concat(l.faults, l.pauses) {
		if r.ended.After(p.from) && (p.until.IsZero() || r.began.Before(p.until)) {
			return true
		}
	}
	return false
}

// expected reports whether an answer is right.
type expected func(text string) bool

// take notes the answer to a request.
func (l *ledger) take(centre string, q question, r *reply, right expected) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takeKey(q, r)
	switch {
	case r.whole && !right(r.text):
		l.wrong++
		l.detail("wrong answer to " + q.path + ": " + brief(r.text))
	case r.whole:
		l.complete++
		l.served[centre]++
		l.measure(r)
	case r.problem.Outcome == "not-run", r.problem.Outcome == "unknown" && r.status == http.StatusServiceUnavailable:
		l.refused++
	default:
		l.errors++
		l.broken(q, r)
	}
}

// broken notes an answer that is not whole and was not refused; mu is held.
func (l *ledger) broken(q question, r *reply) {
	if !l.excused(r) {
		l.cutOff++
		l.detail(fmt.Sprintf("%.1fs to %.1fs: %s broke off without a fault: %s %s",
			r.began.Sub(l.began).Seconds(), r.ended.Sub(l.began).Seconds(), q.path, r.problem.Outcome, r.problem.Detail))
	}
}

// takeKey notes what was said of a key; mu is held.
func (l *ledger) takeKey(q question, r *reply) {
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
	if r.whole {
		k.answers[r.text] = true
	}
}

// measure notes the latencies of a whole answer; mu is held.
func (l *ledger) measure(r *reply) {
	if r.first == 0 {
		_ = l.call.RecordValue(r.ended.Sub(r.began).Microseconds())
		return
	}
	_ = l.first.RecordValue(r.first.Microseconds())
	for _, gap := range r.gaps {
		_ = l.between.RecordValue(gap.Microseconds())
	}
}

// detail keeps a reason; mu is held.
func (l *ledger) detail(text string) {
	if len(l.details) < maxDetails {
		l.details = append(l.details, text)
	}
}

// servedBy returns the complete answers by data centre so far.
func (l *ledger) servedBy() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.served)
}

// brief returns the start of a text in one line.
func brief(text string) string {
	const size = 60
	return strings.ReplaceAll(text[:min(len(text), size)], "\n", "⏎")
}
