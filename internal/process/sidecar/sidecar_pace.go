package sidecar

import (
	"math"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
)

// paceStep is the factor by which the pace of a slow engine must change for the leader to be told at once. Paces vary with each
// report.
const paceStep = 1.5

// paceLevel returns a number that changes if a pace changes by much: zero unless the engine is slow.
func paceLevel(pace float64) float64 {
	if pace < hold.SlowPace {
		return 0
	}
	return 1 + math.Round(math.Log(pace)/math.Log(paceStep))
}

// recordPace passes the pace of a rank to the planner if this slot is the leader, and logs whether the rank is slow if that has
// changed, each slot for its own rank and the leader for all; mu is held.
func (p *Process) recordPace(now time.Time, s hold.State) {
	own := p.core.State()
	if s.Group != own.Group || s.Epoch != own.Epoch || s.Rank != own.Rank && !p.core.IsLeader() {
		return
	}
	if p.planner != nil {
		p.planner.SetPace(now, s.Rank, s.Epoch, s.Pace)
	}
	slow := s.Pace >= hold.SlowPace
	if slow == p.slowRanks[s.Rank] {
		return
	}
	event := "slow"
	if slow {
		p.slowRanks[s.Rank] = true
	} else {
		delete(p.slowRanks, s.Rank)
		event = "usual"
	}
	p.metrics.paces.With("event", event).Add(1)
	p.Log.Info("pace", "event", event, "rank", s.Rank, "pace", s.Pace, "group", s.Group, "epoch", s.Epoch)
}
