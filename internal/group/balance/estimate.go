package balance

import "math"

const (
	// loadSmoothing is the weight of the latest report in a load estimate.
	loadSmoothing = 0.1
	// outlierDeviations is the number of standard deviations beyond which a report is an outlier.
	outlierDeviations = 3
	// shiftOutliers is the number of consecutive outliers on the same side that count as a shift and reset an estimate.
	shiftOutliers = 3
	// noiseSmoothing is the weight of the latest report in the noise estimate.
	noiseSmoothing = 0.05
)

// estimate tracks the loads of a group's experts from noisy reports.
type estimate struct {
	// loads are shares of the total load; they sum to about one.
	loads []float64
	// noise is the relative standard deviation of an expert's reports from its estimate.
	noise float64
	// noiseSamples is the number of reports in noise.
	noiseSamples int
	// samples is the number of reports in each estimate since its last reset.
	samples []int
	// outlierRun counts consecutive outliers of each expert: positive above the estimate, negative below it.
	outlierRun []int
	// outlierSum is the sum of the loads in outlierRun.
	outlierSum []float64
	// reports is the total number of reports.
	reports int
}

func newEstimate(experts int) *estimate {
	return &estimate{
		loads: make([]float64, experts), samples: make([]int, experts), outlierRun: make([]int, experts), outlierSum: make([]float64, experts),
	}
}

// add adds one report of the tokens for each expert.
func (s *estimate) add(tokens []uint64) {
	sum := 0.0
	for _, v := range tokens {
		sum += float64(v)
	}
	if sum == 0 || len(tokens) != len(s.loads) {
		return
	}
	s.reports++
	deviation, weights := 0.0, 0.0
	for e, v := range tokens {
		share := float64(v) / sum
		if difference := share - s.loads[e]; s.samples[e] >= warmupReports && !s.mayBeShift(e, difference) {
			deviation += math.Min(difference*difference, s.outlierThreshold(e)*s.outlierThreshold(e))
			weights += s.loads[e] * s.loads[e]
		}
		s.updateLoad(e, share)
	}
	if weights > 0 {
		s.updateNoise(math.Sqrt(deviation / weights))
	}
}

// mayBeShift reports whether a report is an outlier and on the same side as the outliers before it.
func (s *estimate) mayBeShift(e int, difference float64) bool {
	return math.Abs(difference) > s.outlierThreshold(e) && float64(s.outlierRun[e])*difference >= 0
}

// outlierThreshold returns the deviation beyond which a report is an outlier. It also caps what one report adds to
// the noise, so that a shift is not mistaken for noise.
func (s *estimate) outlierThreshold(e int) float64 {
	if s.noise == 0 {
		return math.Inf(1)
	}
	return outlierDeviations * s.noise * s.loads[e]
}

func (s *estimate) updateNoise(noise float64) {
	s.noiseSamples++
	s.noise += math.Max(noiseSmoothing, 1/float64(s.noiseSamples)) * (noise - s.noise)
}

// updateLoad moves one estimate towards a report; after a shift, addOutlier resets it to the latest reports.
func (s *estimate) updateLoad(e int, share float64) {
	s.samples[e]++
	difference := share - s.loads[e]
	switch {
	case s.samples[e] > warmupReports && math.Abs(difference) > s.outlierThreshold(e):
		s.addOutlier(e, share, difference)
	default:
		s.outlierRun[e], s.outlierSum[e] = 0, 0
	}
	s.loads[e] += math.Max(loadSmoothing, 1/float64(s.samples[e])) * difference
}

// warmupReports is the number of reports in an estimate before any is treated as an outlier.
const warmupReports = 5

func (s *estimate) addOutlier(e int, share, difference float64) {
	side := 1
	if difference < 0 {
		side = -1
	}
	if s.outlierRun[e]*side < 0 {
		s.outlierRun[e], s.outlierSum[e] = 0, 0
	}
	s.outlierRun[e] += side
	s.outlierSum[e] += share
	if n := s.outlierRun[e] * side; n >= shiftOutliers {
		s.loads[e] = s.outlierSum[e] / float64(n)
		s.samples[e], s.outlierRun[e], s.outlierSum[e] = n, 0, 0
	}
}

// timeError returns the largest standard error of a rank's time, relative to the mean time.
func (s *estimate) timeError(p *Placement) float64 {
	n := p.Replicas(len(s.loads))
	worst := 0.0
	for _, held := range p.Ranks {
		sum := 0.0
		for _, e := range held {
			share := s.loads[e] / float64(n[e])
			sum += share * share * math.Max(loadSmoothing/(2-loadSmoothing), 1/float64(max(1, s.samples[e])))
		}
		worst = math.Max(worst, sum)
	}
	return s.noise * math.Sqrt(worst) * float64(len(p.Ranks))
}
