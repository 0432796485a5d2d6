package balance

import (
	"math"
	"slices"
	"time"
)

// Options are the inputs of New.
type Options struct {
	// Experts is the number of experts in a layer.
	Experts int
	// Ranks is the number of ranks.
	Ranks int
	// Width is the number of experts that a rank has room for.
	Width int
	// MoveCost is the step time, in steps, that moving one expert must save.
	MoveCost float64
	// Horizon is the number of steps over which a saving counts.
	Horizon float64
	// SwitchCost is the step time, in steps, that one switch costs.
	SwitchCost float64
	// MinReports is the number of reports before the first decision.
	MinReports int
	// Pause is the shortest time between two decisions to move.
	Pause time.Duration
}

// Verdict tells what a planner thinks of the present map.
type Verdict string

// The verdicts.
const (
	// VerdictNone means that there are too few reports to judge.
	VerdictNone Verdict = "none"
	// VerdictKeep means that no move pays for itself.
	VerdictKeep Verdict = "keep"
	// VerdictMove means that a move pays for itself.
	VerdictMove Verdict = "move"
)

// Decision is the outcome of one planning.
type Decision struct {
	// Verdict tells what to do.
	Verdict Verdict
	// Placement is the new map when the verdict is to move.
	Placement *Placement
	// Moves is the number of experts to load.
	Moves int
	// Skew and Next are the predicted skews of the present and the new map.
	Skew, Next float64
}

// Planner decides for one group. It is not safe for concurrent use.
type Planner struct {
	Options
	estimate *estimate
	// stragglers is nil when ranks are taken as equally fast.
	stragglers *Stragglers
	// held is the time until which no move is planned.
	held time.Time
}

// New returns a Planner that has seen no report.
func New(o Options) *Planner {
	return &Planner{Options: o, estimate: newEstimate(o.Experts), stragglers: NewStragglers(o.Ranks)}
}

// Observe takes the tokens for each expert since the last report.
func (p *Planner) Observe(tokens []uint64) {
	p.estimate.add(tokens)
}

// ObserveTimes takes the step times of the ranks under a map; a rank without a sample has zero.
func (p *Planner) ObserveTimes(current *Placement, times []float64) {
	p.stragglers.Add(current.Times(p.estimate.loads, nil), times)
}

// Loads returns the estimated share of each expert.
func (p *Planner) Loads() []float64 {
	return slices.Clone(p.estimate.loads)
}

// margin returns the saving in skew that noise alone can promise: the expected largest of the ranks' errors.
func (p *Planner) margin(current *Placement) float64 {
	return p.estimate.deviation(current) * math.Sqrt(2*math.Log(float64(max(2, p.Ranks))))
}

// Decide plans from the present map. A move that pays for itself by less than the noise is not made.
func (p *Planner) Decide(now time.Time, current *Placement) Decision {
	if p.estimate.reports < p.MinReports {
		return Decision{Verdict: VerdictNone}
	}
	s := newSearch(current, p.estimate.loads, p.stragglers.Slowness())
	d := Decision{Verdict: VerdictKeep, Skew: s.skew(), Next: s.skew()}
	margin := p.margin(current)
	// Even a perfect map would save less than a single move costs.
	if now.Before(p.held) || (d.Skew-1-margin)*p.Horizon <= p.MoveCost+p.SwitchCost {
		return d
	}
	p.improve(s, &d, current, margin)
	if d.Verdict == VerdictMove {
		p.held = now.Add(p.Pause)
	}
	return d
}

// patience is the number of loads beyond the best sequence after which a search ends.
const patience = 16

// improve applies the best changes one by one and keeps the sequence with the largest net saving.
func (p *Planner) improve(s *search, d *Decision, current *Placement, margin float64) {
	best, cost, limit := 0.0, 0, patience
	for cost < limit {
		t, ok := s.best()
		if !ok {
			break
		}
		s.apply(t)
		cost += t.cost()
		skew := s.skew()
		net := (d.Skew-skew-margin)*p.Horizon - p.MoveCost*float64(cost) - p.SwitchCost
		if net <= best {
			continue
		}
		best, limit = net, cost+patience
		d.Verdict, d.Placement, d.Next = VerdictMove, s.Clone(), skew
	}
	d.finish(current)
}

func (d *Decision) finish(current *Placement) {
	if d.Placement == nil {
		return
	}
	for _, held := range d.Placement.Ranks {
		slices.Sort(held)
	}
	d.Moves = Moves(current, d.Placement)
}
