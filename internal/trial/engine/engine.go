// Package engine implements a fake model engine for trials and tests.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/route"
)

// Engine streams generated tokens and reports its load with a delay. It is safe for concurrent use.
type Engine struct {
	options Options

	mu sync.Mutex
	// running is the number of requests in progress.
	running int
	// runs counts the started runs by request ID.
	runs map[string]int
	// cache holds the digests of at most maxCachedPrefixes prompt prefixes, the most recently used first.
	cache []uint64
	// samples holds the load at each report within the last Options.Lag, the oldest first.
	samples []loadSample
	// down makes the engine close the connection of every call.
	down bool
	// poison is a text that crashes the engine if a request body has it; empty for none.
	poison string
	// crashes counts the crashes by the poison; a run that sees the count increase ends.
	crashes int
	// limit is in requests a second; nil for none.
	limit *float64
	// rest is the time that each request is told to wait, and refused the number of these requests.
	rest    time.Duration
	refused int
	// leaving is set if the engine says so in its answers.
	leaving bool
}

type loadSample struct {
	at       time.Time
	running  int
	prefixes []uint64
}

// loadReport is the JSON form of the load.
type loadReport struct {
	// Running is the number of requests in progress.
	Running int `json:"running"`
	// Prefixes are digests of cached prompt prefixes.
	Prefixes []uint64 `json:"prefixes"`
	// Limit is the number of requests a second that the engine takes, or nil.
	Limit *float64 `json:"limit,omitempty"`
}

// maxCachedPrefixes is the number of prompt prefixes in the cache of an engine.
const maxCachedPrefixes = 16

// cachePrefix adds a prompt prefix at the front of the cache or moves it there; mu is held.
func (e *Engine) cachePrefix(prefix uint64) {
	e.cache = slices.DeleteFunc(e.cache, func(v uint64) bool { return v == prefix })
	e.cache = slices.Insert(e.cache, 0, prefix)
	e.cache = e.cache[:min(len(e.cache), maxCachedPrefixes)]
}

// Options are the inputs of New.
type Options struct {
	// Step is the duration of one step, in which each running request gets one token.
	Step time.Duration
	// Lag is the age of the load report.
	Lag time.Duration
	// Poison is a text that crashes the engine if a request body has it; empty for none.
	Poison string
	// Restart is the time after which a crashed engine accepts calls again; zero means never.
	Restart time.Duration
}

// New returns an idle Engine.
func New(o Options) *Engine {
	return &Engine{options: o, runs: map[string]int{}, poison: o.Poison}
}

// generateRequest is the body of a generation call.
type generateRequest struct {
	// Prompt is the text to continue.
	Prompt string `json:"prompt"`
	// Tokens is the number of tokens to generate.
	Tokens int `json:"tokens"`
}

// Expected returns the complete answer to a prompt.
func Expected(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(tokenText(prompt, i))
	}
	return b.String()
}

func tokenText(prompt string, i int) string {
	return fmt.Sprintf("%s·%d\n", prompt, i)
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /", e.generate)
	return mux
}

// Runs returns how often a request was started.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// TotalRuns returns the number of started runs.
func (e *Engine) TotalRuns() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, v := range e.runs {
		n += v
	}
	return n
}

// StartedIDs returns the sorted IDs of the requests that were started, each as often as it was started.
func (e *Engine) StartedIDs() (ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(e.runs)) {
		ids = append(ids, slices.Repeat([]string{id}, e.runs[id])...)
	}
	return ids
}

// SetDown makes every call fail until it is reset.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

// SetLimit makes the engine name a limit in requests a second, or none if it is nil.
func (e *Engine) SetLimit(limit *float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// SetRest makes the engine turn requests away and ask for rest, or serve them if it is zero.
func (e *Engine) SetRest(rest time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rest = rest
}

// Refused returns how many requests the engine has turned away.
func (e *Engine) Refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}

// SetLeaving makes the engine say in its answers that it takes no new requests.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// speak writes what the engine says about the requests that it wants, and reports whether it turns this one away.
func (e *Engine) speak(w http.ResponseWriter) (refuses bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if e.rest <= 0 {
		return false
	}
	e.refused++
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(e.rest.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Crashes returns how often the poison crashed the engine.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// startRun starts a run unless the engine is down or crashes; epoch is the number of crashes so far.
func (e *Engine) startRun(id, body string, prefix uint64) (epoch int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return e.crashes, false
	}
	e.runs[id]++
	if e.poison != "" && strings.Contains(body, e.poison) {
		e.crash()
		return e.crashes, false
	}
	e.running++
	e.cachePrefix(prefix)
	return e.crashes, true
}

// crash takes the engine down until Options.Restart has passed; mu is held.
func (e *Engine) crash() {
	e.crashes++
	e.cache = nil
	e.down = true
	if e.options.Restart > 0 {
		time.AfterFunc(e.options.Restart, func() { e.SetDown(false) })
	}
}

func (e *Engine) endRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// interrupted reports whether the engine is down or has crashed since the start of a run; epoch is the result of
// startRun.
func (e *Engine) interrupted(epoch int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down || e.crashes != epoch
}

// generate streams one token per step.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.speak(w) {
		return
	}
	epoch, ok := e.startRun(r.Header.Get("Request-Id"), string(body), route.Prefix(r.Header.Get("Workspace"), body))
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer e.endRun()
	var q generateRequest
	if err := json.Unmarshal(body, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	ticker := time.NewTicker(e.options.Step)
	defer ticker.Stop()
	for i := range q.Tokens {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
		if e.interrupted(epoch) {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, tokenText(q.Prompt, i))
		w.(http.Flusher).Flush()
	}
}

// serveLoad reports the load as it was one lag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		panic(http.ErrAbortHandler)
	}
	e.samples = append(e.samples, loadSample{at: now, running: e.running, prefixes: slices.Clone(e.cache)})
	for len(e.samples) > 1 && now.Sub(e.samples[1].at) >= e.options.Lag {
		e.samples = e.samples[1:]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(loadReport{Running: e.samples[0].running, Prefixes: e.samples[0].prefixes, Limit: e.limit})
}
