// Package engine is a stand-in for a model engine.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/route"
)

// Engine streams made-up tokens and reports its load late. It is safe for concurrent use.
type Engine struct {
	options Options

	mu sync.Mutex
	// running is the number of requests in progress.
	running int
	// runs counts the started runs by request ID.
	runs map[string]int
	// cache holds the digests of at most cacheSize prompt prefixes, the newest first.
	cache []uint64
	// reports holds the load over the last lag.
	reports []report
	// down makes every call fail by a closed connection.
	down bool
	// poison is a body whose run closes all connections; empty for none.
	poison string
	// crashes counts the runs of the poison; a run ends when the count rises after its start.
	crashes int
}

type report struct {
	at       time.Time
	running  int
	prefixes []uint64
}

// load is the load report.
type load struct {
	// Running is the number of requests in progress.
	Running int `json:"running"`
	// Prefixes are digests of cached prompt prefixes.
	Prefixes []uint64 `json:"prefixes"`
}

// cacheSize is the number of prompt prefixes that an engine keeps.
const cacheSize = 16

// remember puts a prompt prefix into the cache; mu is held.
func (e *Engine) remember(prefix uint64) {
	e.cache = slices.DeleteFunc(e.cache, func(v uint64) bool { return v == prefix })
	e.cache = slices.Insert(e.cache, 0, prefix)
	e.cache = e.cache[:min(len(e.cache), cacheSize)]
}

// Options are the inputs of New.
type Options struct {
	// Step is the time of one step, in which each running request gets one token.
	Step time.Duration
	// Lag is the age of the load report.
	Lag time.Duration
	// Poison is a body that crashes the engine; empty for none.
	Poison string
	// Restart is the time after which a crashed engine is back; zero means never.
	Restart time.Duration
}

// New returns an idle Engine.
func New(o Options) *Engine {
	return &Engine{options: o, runs: map[string]int{}, poison: o.Poison}
}

// request is the body of a generation call.
type request struct {
	// Prompt is the text to go on from.
	Prompt string `json:"prompt"`
	// Tokens is the number of tokens to generate.
	Tokens int `json:"tokens"`
}

// Expected returns the whole answer to a prompt.
func Expected(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(prompt, i))
	}
	return b.String()
}

func token(prompt string, i int) string {
	return fmt.Sprintf("%s·%d\n", prompt, i)
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", e.load)
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

// StartedIDs returns the IDs of the requests that were started, in order, each as often as it was.
func (e *Engine) StartedIDs() (ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(e.runs)) {
		ids = append(ids, slices.Repeat([]string{id}, e.runs[id])...)
	}
	return ids
}

// SetDown makes every call fail, or lets calls succeed again.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

// Crashes returns how often the poison ran.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// begin starts a run; epoch is the number of crashes before it.
func (e *Engine) begin(id, body string, prefix uint64) (epoch int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return e.crashes, false
	}
	e.runs[id]++
	if e.poison != "" && body == e.poison {
		e.crash()
		return e.crashes, false
	}
	e.running++
	e.remember(prefix)
	return e.crashes, true
}

// crash takes the engine down until its restart; mu is held.
func (e *Engine) crash() {
	e.crashes++
	e.cache = nil
	e.down = true
	if e.options.Restart > 0 {
		time.AfterFunc(e.options.Restart, func() { e.SetDown(false) })
	}
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// failed reports whether the engine went down since a run of an epoch began.
func (e *Engine) failed(epoch int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down || e.crashes != epoch
}

// generate streams one token a step.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	epoch, ok := e.begin(r.Header.Get("Request-Id"), string(body), route.Prefix(r.Header.Get("Workspace"), body))
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer e.end()
	var q request
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
		if e.failed(epoch) {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, token(q.Prompt, i))
		w.(http.Flusher).Flush()
	}
}

// load reports the number of running requests as it was one lag ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		panic(http.ErrAbortHandler)
	}
	e.reports = append(e.reports, report{at: now, running: e.running, prefixes: slices.Clone(e.cache)})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.Lag {
		e.reports = e.reports[1:]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load{Running: e.reports[0].running, Prefixes: e.reports[0].prefixes})
}
