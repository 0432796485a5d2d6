package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The figures of the group. Those of the engines are of the sheet of slepnis-riga; it is a smaller group with fewer experts.
const (
	ranks       = 3
	sets        = 2
	experts     = 12
	places      = 8
	spare       = 3
	passTime    = 30 * time.Millisecond
	expertLoad  = 98 * time.Millisecond
	demandShift = 2 * time.Second
	events      = 24
)

// armedMap is the map to which a rank switches at a step.
type armedMap struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// loaded is a map that a rank has copied, or copies until a time.
type loaded struct {
	version uint64
	content [][][]int
	until   time.Time
}

// rank is the engine of one rank.
type rank struct {
	number int
	id     string
	// highest is the highest version that the rank has had.
	highest uint64
	use     loaded
	next    loaded
	armed   armedMap
	held    uint64
	seq     int
	counts  []uint64
	// history holds the reports of late, for callers on other machines.
	history []snapshot
	running int
}

// snapshot is a report at a time.
type snapshot struct {
	at   time.Time
	data []byte
}

// group is a group of engines that execute each pass together.
type group struct {
	mu       sync.Mutex
	lag      time.Duration
	record   *recorder
	step     uint64
	passed   chan struct{}
	members  []*rank
	begun    time.Time
	violated bool
	// onArm is called when a rank has been armed, before the order is answered.
	onArm func(number int)
}

func newGroup(record *recorder, lag time.Duration) *group {
	g := &group{record: record, lag: lag, passed: make(chan struct{}), begun: time.Now()}
	for n := range ranks {
		content := make([][][]int, sets)
		for s := range content {
			content[s] = make([][]int, ranks)
			for e := range experts {
				content[s][e%ranks] = append(content[s][e%ranks], e)
			}
		}
		g.members = append(g.members, &rank{number: n, id: fmt.Sprintf("i-%d", n), use: loaded{content: content}, counts: make([]uint64, sets*experts)})
	}
	return g
}

// run executes a pass after the other while there is work, and keeps the reports.
func (g *group) run() {
	for {
		time.Sleep(passTime)
		g.mu.Lock()
		g.pass()
		g.mu.Unlock()
	}
}

// pass begins a pass unless a rank holds it; mu is held.
func (g *group) pass() {
	for _, r := range g.members {
		r.remember(time.Now(), g.report(r))
	}
	work := 0
	for _, r := range g.members {
		work += r.running
		if r.held == g.step+1 {
			return
		}
	}
	if work == 0 {
		return
	}
	g.step++
	for _, r := range g.members {
		if r.armed.Step == g.step {
			r.use, r.next, r.armed = r.next, loaded{}, armedMap{}
			g.record.printf("rank %d uses map %d from pass %d on", r.number, r.use.version, g.step)
		}
	}
	first := g.members[0].use
	for _, r := range g.members[1:] {
		if !g.violated && (r.use.version != first.version || !equal(r.use.content, first.content)) {
			g.violated = true
			g.record.printf("MAP is broken: pass %d begins while rank 0 has map %d and rank %d has map %d", g.step, first.version, r.number, r.use.version)
		}
	}
	// Two of the experts of each set get half of the choices; which ones changes every demandShift.
	shift := int(time.Since(g.begun) / demandShift)
	for _, r := range g.members {
		for i := range r.counts {
			r.counts[i] += 20
			if e := i % experts; e%ranks == shift%ranks && e < 2*ranks {
				r.counts[i] += 400
			}
		}
	}
	close(g.passed)
	g.passed = make(chan struct{})
}

func equal(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(x, y [][]int) bool { return slices.EqualFunc(x, y, slices.Equal[[]int]) })
}

// remember keeps a report; those that no caller can get any more are dropped.
func (r *rank) remember(at time.Time, data []byte) {
	r.history = append(r.history, snapshot{at, data})
	for len(r.history) > 2 && at.Sub(r.history[1].at) > 2*time.Second {
		r.history = r.history[1:]
	}
}

// report returns the present report of a rank; mu is held.
func (g *group) report(r *rank) []byte {
	prepared := uint64(0)
	if r.next.version != 0 && time.Now().After(r.next.until) {
		prepared = r.next.version
	}
	var armed any
	if r.armed.Step != 0 {
		armed = r.armed
	}
	data, _ := json.Marshal(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": r.seq, "waiting": 0,
		"running": r.running, "kvUsed": 0, "kvTotal": 280000, "handles": 0, "pace": 1, "size": ranks, "step": g.step, "map": r.use.version,
		"group": map[string]any{"name": "g", "epoch": 1, "rank": r.number, "state": "open"}, "prepared": prepared, "armed": armed, "held": r.held,
	})
	return data
}

// handler serves a rank: at the address of its own machine with fresh reports, and at that of the list with those of some time ago.
func (g *group) handler(r *rank, own bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dragonflydeal/report", func(w http.ResponseWriter, _ *http.Request) {
		g.mu.Lock()
		data := g.report(r)
		if !own {
			at := time.Now().Add(-g.lag)
			for _, s := range r.history {
				if !s.at.After(at) {
					data = s.data
				}
			}
			g.record.printf("report of rank %d to another machine: %s", r.number, data)
		}
		g.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	})
	mux.HandleFunc("GET /dragonflydeal/picked", func(w http.ResponseWriter, q *http.Request) {
		g.mu.Lock()
		defer g.mu.Unlock()
		answer := map[string]any{"step": g.step, "epoch": 1, "counts": r.counts}
		if q.URL.Query().Has("lists") {
			answer["map"] = r.lists(r.use)
			answer["prepared"] = r.lists(r.next)
		}
		reply(w, answer)
	})
	mux.HandleFunc("POST /dragonflydeal/order", func(w http.ResponseWriter, q *http.Request) {
		var o order
		data, _ := io.ReadAll(q.Body)
		if json.Unmarshal(data, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		g.mu.Lock()
		status := g.execute(r, &o)
		from := "its own slot"
		if !own {
			from = "another machine"
		}
		g.record.printf("rank %d, order of %s: %s version %d step %d: %d", r.number, from, o.Op, o.Version, o.Step, status)
		g.mu.Unlock()
		if o.Op == "arm" && status == http.StatusAccepted && g.onArm != nil {
			g.onArm(r.number)
		}
		w.WriteHeader(status)
	})
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", r.id) })
	mux.HandleFunc("POST /ask/", func(w http.ResponseWriter, q *http.Request) { g.stream(w, q, r) })
	return mux
}

// lists returns the experts of the rank in a map by set.
func (r *rank) lists(m loaded) any {
	if m.content == nil {
		return nil
	}
	own := make([][]int, sets)
	for s := range own {
		own[s] = m.content[s][r.number]
	}
	return map[string]any{"version": m.version, "experts": own}
}

// order is an order to an engine.
type order struct {
	Op      string    `json:"op"`
	Epoch   uint64    `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     [][][]int `json:"map"`
}

// execute carries out an order and returns the status of its answer; mu is held.
func (g *group) execute(r *rank, o *order) int {
	if o.Epoch != 0 && o.Epoch != 1 {
		return http.StatusConflict
	}
	switch o.Op {
	case "prepare":
		if o.Version <= r.highest || r.armed.Step != 0 || len(o.Map) != sets {
			return http.StatusConflict
		}
		most := 0
		for s := range o.Map {
			added := 0
			for _, e := range o.Map[s][r.number] {
				if !slices.Contains(r.use.content[s][r.number], e) {
					added++
				}
			}
			if added > spare || len(o.Map[s][r.number]) > places {
				return http.StatusConflict
			}
			most += added
		}
		r.highest = o.Version
		r.next = loaded{o.Version, o.Map, time.Now().Add(time.Duration(most) * expertLoad)}
	case "arm":
		if r.next.version != o.Version || time.Now().Before(r.next.until) || o.Step <= g.step {
			return http.StatusConflict
		}
		r.armed = armedMap{o.Version, o.Step}
	case "disarm":
		if r.use.version == o.Version {
			return http.StatusConflict
		}
		if r.armed.Version != o.Version {
			return http.StatusOK
		}
		r.armed = armedMap{}
	case "hold":
		if o.Step <= g.step || r.held != 0 {
			return http.StatusConflict
		}
		r.held = o.Step
	case "go":
		if r.held == 0 || r.held != o.Step {
			return http.StatusConflict
		}
		r.held = 0
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// stream answers a request with an event for each pass.
func (g *group) stream(w http.ResponseWriter, q *http.Request, r *rank) {
	if id := q.Header.Get("Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	g.mu.Lock()
	r.running++
	passed := g.passed
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		r.running--
	}()
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	w.Header().Set("Engine-Seal", "s."+q.Header.Get("Attempt-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range events {
		select {
		case <-passed:
		case <-q.Context().Done():
			return
		}
		g.mu.Lock()
		passed = g.passed
		g.mu.Unlock()
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n+1, n+1)
		w.(http.Flusher).Flush()
	}
}
