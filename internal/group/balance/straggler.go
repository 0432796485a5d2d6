package balance

import (
	"math"
	"slices"
)

const (
	// minStragglerSamples is the number of samples required to compare a rank.
	minStragglerSamples = 20
	// stragglerQuorum is the fraction of the ranks that must have enough samples before any counts as slow.
	stragglerQuorum = 0.5
	// stragglerRatio is the ratio to the median above which a rank counts as slow.
	stragglerRatio = 1.1
	// stragglerWeight is the smoothing weight of the latest sample.
	stragglerWeight = 0.05
)

// Stragglers detects slow ranks by comparing each rank's time per unit of load with the median.
// A slowdown that affects all ranks equally makes none of them slow.
type Stragglers struct {
	// ratios is the smoothed time per unit of load of each rank.
	ratios []float64
	// samples counts the samples of each rank.
	samples []int
}

// NewStragglers returns a detector without samples.
func NewStragglers(ranks int) *Stragglers {
	return &Stragglers{ratios: make([]float64, ranks), samples: make([]int, ranks)}
}

// Add adds the predicted loads and measured times of the ranks; a zero time is not a sample.
func (s *Stragglers) Add(loads, times []float64) {
	for r, t := range times {
		if t <= 0 || loads[r] <= 0 {
			continue
		}
		s.samples[r]++
		s.ratios[r] += math.Max(stragglerWeight, 1/float64(s.samples[r])) * (t/loads[r] - s.ratios[r])
	}
}

// Slowness returns the slowdown factor of each rank: 1 for ordinary ranks and those with too few samples.
func (s *Stragglers) Slowness() []float64 {
	slowness := make([]float64, len(s.ratios))
	var sampled []float64
	for r := range slowness {
		slowness[r] = 1
		if s.samples[r] >= minStragglerSamples {
			sampled = append(sampled, s.ratios[r])
		}
	}
	if float64(len(sampled)) < stragglerQuorum*float64(len(slowness)) || len(sampled) == 0 {
		return slowness
	}
	slices.Sort(sampled)
	median := sampled[len(sampled)/2]
	for r := range slowness {
		if s.samples[r] >= minStragglerSamples && s.ratios[r] > stragglerRatio*median {
			slowness[r] = s.ratios[r] / median
		}
	}
	return slowness
}
