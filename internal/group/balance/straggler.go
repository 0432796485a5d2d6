package balance

import (
	"math"
	"slices"
)

const (
	// stragglerFloor is the number of samples before a rank is judged.
	stragglerFloor = 20
	// stragglerQuorum is the share of the ranks that must have a verdict before any is called slow.
	stragglerQuorum = 0.5
	// stragglerRatio is the slowness against the peers from which a rank is called slow.
	stragglerRatio = 1.1
	// stragglerWeight is the share of the newest sample.
	stragglerWeight = 0.05
)

// Stragglers judges ranks by the time that they take for a unit of load, against their peers.
// A slowness that all ranks share is no verdict on any of them.
type Stragglers struct {
	// ratios are smoothed times for a unit of load.
	ratios []float64
	// samples counts each rank's samples.
	samples []int
}

// NewStragglers returns a judge without samples.
func NewStragglers(ranks int) *Stragglers {
	return &Stragglers{ratios: make([]float64, ranks), samples: make([]int, ranks)}
}

// Add takes the predicted loads and the measured times of the ranks; zero times are no samples.
func (s *Stragglers) Add(loads, times []float64) {
	for r, t := range times {
		if t <= 0 || loads[r] <= 0 {
			continue
		}
		s.samples[r]++
		s.ratios[r] += math.Max(stragglerWeight, 1/float64(s.samples[r])) * (t/loads[r] - s.ratios[r])
	}
}

// Slowness returns each rank's factor: one for ordinary ranks and for those without a verdict yet.
func (s *Stragglers) Slowness() []float64 {
	slowness := make([]float64, len(s.ratios))
	var judged []float64
	for r := range slowness {
		slowness[r] = 1
		if s.samples[r] >= stragglerFloor {
			judged = append(judged, s.ratios[r])
		}
	}
	if float64(len(judged)) < stragglerQuorum*float64(len(slowness)) || len(judged) == 0 {
		return slowness
	}
	slices.Sort(judged)
	median := judged[len(judged)/2]
	for r := range slowness {
		if s.samples[r] >= stragglerFloor && s.ratios[r] > stragglerRatio*median {
			slowness[r] = s.ratios[r] / median
		}
	}
	return slowness
}
