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
	// Width is the number of experts that fit on a rank.
	Width int
	// MoveCost is the time that moving one expert must save, in steps.
	MoveCost float64
	// Horizon is the number of steps over which a saving is counted.
	Horizon float64
	// SwitchCost is the time that one switch costs, in steps.
	SwitchCost float64
	// MinReports is the number of reports required for the first decision.
	MinReports int
	// MinMoveInterval is the minimum time between two decisions to move.
	MinMoveInterval time.Duration
}

// Verdict is a planner's judgement of the current map.
type Verdict string

// The verdicts.
const (
	// VerdictNone means that there are too few reports for a decision.
	VerdictNone Verdict = "none"
	// VerdictKeep means that no move saves more than it costs.
	VerdictKeep Verdict = "keep"
	// VerdictMove means that a move saves more than it costs.
	VerdictMove Verdict = "move"
)

// Decision is the result of one planning run.
type Decision struct {
	// Verdict tells what to do.
	Verdict Verdict
	// Placement is the new map if the verdict is to move.
	Placement *Placement
	// Moves is the number of experts to load.
	Moves int
	// Skew and NextSkew are the predicted skews of the current and the new map.
	Skew, NextSkew float64
}

// Planner decides when one group moves to a new expert map. It is not safe for concurrent use.
type Planner struct {
	Options
	estimate *estimate
	// stragglers estimates how slow each rank is.
	stragglers *Stragglers
	// pausedUntil is the time before which no move is planned.
	pausedUntil time.Time
}

// New returns a Planner without reports.
func New(o Options) *Planner {
	return &Planner{Options: o, estimate: newEstimate(o.Experts), stragglers: NewStragglers(o.Ranks)}
}

// Observe adds a report: the tokens routed to each expert since the last one.
func (p *Planner) Observe(tokens []uint64) {
	p.estimate.add(tokens)
}

// ObserveTimes adds the step times of the ranks under a map; the time of a rank without a sample is zero.
func (p *Planner) ObserveTimes(current *Placement, times []float64) {
	p.stragglers.Add(current.Times(p.estimate.loads, nil), times)
}

// Loads returns the estimated load share of each expert.
func (p *Planner) Loads() []float64 {
	return slices.Clone(p.estimate.loads)
}

// noiseMargin returns the reduction of the skew that noise alone can suggest: the expected maximum of the ranks' errors.
func (p *Planner) noiseMargin(current *Placement) float64 {
	return p.estimate.timeError(current) * math.Sqrt(2*math.Log(float64(max(2, p.Ranks))))
}

// Decide plans a move from the current map. A move whose net saving lies within the noise is not made.
func (p *Planner) Decide(now time.Time, current *Placement) Decision {
	if p.estimate.reports < p.MinReports {
		return Decision{Verdict: VerdictNone}
	}
	s := newSearch(current, p.estimate.loads, p.stragglers.Slowness())
	d := Decision{Verdict: VerdictKeep, Skew: s.skew(), NextSkew: s.skew()}
	margin := p.noiseMargin(current)
	// Even a perfectly even map would save no more than a single move costs.
	if now.Before(p.pausedUntil) || (d.Skew-1-margin)*p.Horizon <= p.MoveCost+p.SwitchCost {
		return d
	}
	p.improve(s, &d, current, margin)
	if d.Verdict == VerdictMove {
		p.pausedUntil = now.Add(p.MinMoveInterval)
	}
	return d
}

// patience is the number of loaded experts without a better net saving after which a search ends.
const patience = 16

// improve applies the best changes one by one and keeps the prefix of the sequence with the largest net saving.
func (p *Planner) improve(s *search, d *Decision, current *Placement, margin float64) {
	bestNet, cost, maxCost := 0.0, 0, patience
	for cost < maxCost {
		c, ok := s.bestChange()
		if !ok {
			break
		}
		s.apply(c)
		cost += c.cost()
		skew := s.skew()
		net := (d.Skew-skew-margin)*p.Horizon - p.MoveCost*float64(cost) - p.SwitchCost
		if net <= bestNet {
			continue
		}
		bestNet, maxCost = net, cost+patience
		d.Verdict, d.Placement, d.NextSkew = VerdictMove, s.Clone(), skew
	}
	d.finish(current)
}

// finish sorts the experts of each rank and counts the moves, if a move was decided.
func (d *Decision) finish(current *Placement) {
	if d.Placement == nil {
		return
	}
	for _, held := range d.Placement.Ranks {
		slices.Sort(held)
	}
	d.Moves = Moves(current, d.Placement)
}
