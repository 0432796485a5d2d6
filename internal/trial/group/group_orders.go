package group

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/balance"
	"github.com/dragonflydeal/dragonflydeal/internal/group/mapswitch"
)

// Report is the answer of an engine to a query or an order.
type Report struct {
	// Engine is the state of the expert maps.
	Engine mapswitch.Engine `json:"engine"`
	// Plan is the encoded map in use.
	Plan []byte `json:"plan"`
	// Loads counts the tokens that each expert processed, as of Options.Lag ago.
	Loads []uint64 `json:"loads"`
	// Refusal is the reason why an order was refused, or empty.
	Refusal string `json:"refusal,omitempty"`
}

// Handler returns the HTTP interface of one rank; it passes requests other than those for the group to the engine.
func (g *Group) Handler(number int, engine http.Handler) http.Handler {
	r := g.ranks[number]
	mux := http.NewServeMux()
	mux.HandleFunc("GET /group", func(w http.ResponseWriter, _ *http.Request) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.writeReport(w, r, "")
	})
	mux.HandleFunc("POST /group", func(w http.ResponseWriter, q *http.Request) {
		var o mapswitch.Order
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		refusal := g.execute(r, &o)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.writeReport(w, r, refusal)
	})
	mux.Handle("GET /", engine)
	mux.HandleFunc("POST /", func(w http.ResponseWriter, q *http.Request) {
		g.addRunning(r, 1)
		defer g.addRunning(r, -1)
		engine.ServeHTTP(w, q)
	})
	return mux
}

func (g *Group) addRunning(r *rank, change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.running += change
}

// writeReport writes the report of a rank; mu is held.
func (g *Group) writeReport(w http.ResponseWriter, r *rank, refusal string) {
	v := Report{Engine: r.Engine, Loads: g.laggedLoads(r), Refusal: refusal}
	v.Engine.Idle = r.running == 0
	v.Plan, _ = g.maps[r.Map].Encode()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// laggedLoads returns the token counts as they were one lag ago; mu is held.
func (g *Group) laggedLoads(r *rank) []uint64 {
	now := time.Now()
	tokens := make([]uint64, len(r.tokens))
	for e, v := range r.tokens {
		tokens[e] = uint64(v)
	}
	r.samples = append(r.samples, loadSample{at: now, tokens: tokens})
	for len(r.samples) > 1 && now.Sub(r.samples[1].at) >= g.options.Lag {
		r.samples = r.samples[1:]
	}
	return r.samples[0].tokens
}

// execute executes an order; it returns the reason for a refusal, or an empty string.
func (g *Group) execute(r *rank, o *mapswitch.Order) string {
	if o.Kind == mapswitch.OrderLoad {
		return g.loadMap(r, o)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Kind == mapswitch.OrderClaim {
		if g.options.Fenced {
			r.Fence++
		}
		return ""
	}
	if g.isStale(r, o) {
		return "old fencing number"
	}
	switch o.Kind {
	case mapswitch.OrderArm:
		return g.arm(r, o)
	case mapswitch.OrderCommit, mapswitch.OrderAbort:
		return g.decide(r, o)
	}
	return "unknown order"
}

// isStale reports whether an order has an old fencing number; mu is held.
func (g *Group) isStale(r *rank, o *mapswitch.Order) bool {
	return g.options.Fenced && o.Fence != r.Fence
}

// arm prepares a rank to change its map at a step, or returns the reason for a refusal; mu is held.
func (g *Group) arm(r *rank, o *mapswitch.Order) string {
	switch {
	case r.Armed != nil:
		return "another ballot is armed"
	case r.Staged != o.Map && r.Map != o.Map:
		return "the map is not loaded"
	case g.options.Hold && r.Step >= o.Step:
		return "the step has passed"
	case !g.options.Hold && r.running > 0:
		return "requests are running"
	}
	r.Armed = &mapswitch.Armed{Ballot: o.Ballot, Step: o.Step, Map: o.Map}
	return ""
}

// decide commits or aborts the armed ballot, or returns the reason for a refusal; mu is held. After a commit, engines
// that can hold change the map at the armed step, and others at once.
func (g *Group) decide(r *rank, o *mapswitch.Order) string {
	if r.Armed == nil || r.Armed.Ballot != o.Ballot || r.Armed.Committed {
		return "the ballot is not armed"
	}
	switch {
	case o.Kind == mapswitch.OrderAbort:
		r.Armed = nil
	case g.options.Hold:
		r.Decided = o.Ballot
		r.Armed = &mapswitch.Armed{Ballot: o.Ballot, Step: r.Armed.Step, Map: r.Armed.Map, Committed: true}
	default:
		r.Decided, r.Map, r.Staged, r.Armed = o.Ballot, r.Armed.Map, 0, nil
	}
	return ""
}

// loadMap loads the missing experts of a map and returns the reason for a refusal, or an empty string. The current map
// stays in use meanwhile; the fencing number is checked after the load.
func (g *Group) loadMap(r *rank, o *mapswitch.Order) string {
	p, err := balance.Decode(o.Plan)
	if err != nil {
		return err.Error()
	}
	g.mu.Lock()
	if g.loadsToRefuse > 0 {
		g.loadsToRefuse--
		g.mu.Unlock()
		return "the load is refused"
	}
	failing := g.loadsToFail > 0
	if failing {
		g.loadsToFail--
	}
	missing := g.countMissing(r, p)
	g.mu.Unlock()
	wait := time.Duration(missing) * g.options.Load
	if failing {
		time.Sleep(wait / 2)
		return "the load failed half way"
	}
	time.Sleep(wait)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isStale(r, o) {
		return "old fencing number"
	}
	g.maps[o.Map] = p
	r.Staged = o.Map
	g.expertsLoaded += missing
	return ""
}

// countMissing returns the number of experts that a rank has to load for a map.
func (g *Group) countMissing(r *rank, p *balance.Placement) (n int) {
	number := slices.Index(g.ranks, r)
	present := g.maps[r.Map].Ranks[number]
	for _, e := range p.Ranks[number] {
		if !slices.Contains(present, e) {
			n++
		}
	}
	return n
}
