// Package metrics provides the counters and histograms of one process in the format of expvar.
// Each process has a Set of its own, so that the names of several processes in one program do not clash.
package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/kit/metrics"
)

const (
	// maxLatency is the upper end of a histogram's range.
	maxLatency = 10 * time.Minute
	// latencyDigits is the number of significant digits of a histogram.
	latencyDigits = 2
)

// Set holds the metrics of one process. It is safe for concurrent use.
type Set struct {
	// vars is not published in the program's global expvar registry.
	vars *expvar.Map
}

// NewSet returns an empty Set.
func NewSet() *Set {
	return &Set{vars: new(expvar.Map).Init()}
}

// Counter adds a counter. Its label values must come from a small set.
func (s *Set) Counter(name string) *Counter {
	m := new(expvar.Map).Init()
	s.vars.Set(name, m)
	return &Counter{values: m}
}

// Histogram adds a histogram of latencies in seconds.
func (s *Set) Histogram(name string) *Histogram {
	h := &Histogram{values: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
	s.vars.Set(name, h)
	return h
}

// Names returns the names of the metrics in alphabetical order.
func (s *Set) Names() (names []string) {
	s.vars.Do(func(v expvar.KeyValue) { names = append(names, v.Key) })
	return names
}

// ServeHTTP writes the program's global expvar variables and the set as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	separator := "{\n"
	write := func(v expvar.KeyValue) {
		fmt.Fprintf(w, "%s%q: %s", separator, v.Key, v.Value)
		separator = ",\n"
	}
	expvar.Do(write)
	s.vars.Do(write)
	fmt.Fprint(w, "\n}\n")
}

// Counter counts events by their labels.
type Counter struct {
	values *expvar.Map
	// labels are names and values, such as "outcome=complete".
	labels []string
}

var _ metrics.Counter = (*Counter)(nil)

// With implements metrics.Counter; labelValues alternates names and values.
func (c *Counter) With(labelValues ...string) metrics.Counter {
	labels := append([]string(nil), c.labels...)
	for i := 0; i+1 < len(labelValues); i += 2 {
		labels = append(labels, labelValues[i]+"="+labelValues[i+1])
	}
	return &Counter{values: c.values, labels: labels}
}

// Add implements metrics.Counter.
func (c *Counter) Add(delta float64) {
	key := "all"
	if len(c.labels) > 0 {
		key = strings.Join(c.labels, ",")
	}
	c.values.AddFloat(key, delta)
}

// Histogram records a distribution of latencies. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	// values are in microseconds; guarded by mu.
	values *hdrhistogram.Histogram
}

var _ metrics.Histogram = (*Histogram)(nil)

// With implements metrics.Histogram; labels are ignored.
func (h *Histogram) With(...string) metrics.Histogram {
	return h
}

// Observe implements metrics.Histogram with a value in seconds; values outside the range are clamped to it.
func (h *Histogram) Observe(seconds float64) {
	value := min(int64(seconds*float64(time.Second/time.Microsecond)), maxLatency.Microseconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(max(value, 0))
}

// quantiles is the JSON form of a Histogram, in seconds.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	seconds := func(microseconds int64) float64 {
		return (time.Duration(microseconds) * time.Microsecond).Seconds()
	}
	text, _ := json.Marshal(quantiles{
		Count: h.values.TotalCount(),
		P50:   seconds(h.values.ValueAtQuantile(50)),
		P95:   seconds(h.values.ValueAtQuantile(95)),
		P99:   seconds(h.values.ValueAtQuantile(99)),
		Max:   seconds(h.values.Max()),
	})
	return string(text)
}
