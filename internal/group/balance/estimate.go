package balance

import "math"

const (
	// weight is the share of the newest report in an estimate.
	weight = 0.1
	// jump is the number of deviations beyond which a report is surprising.
	jump = 3
	// surprises is the number of surprising reports in a row, on one side, that end an estimate.
	surprises = 3
	// spread is the share of the newest report in the estimate of the noise.
	spread = 0.05
)

// estimate follows the loads of a group's experts through noise.
type estimate struct {
	// loads are shares of the whole load; they sum to about one.
	loads []float64
	// noise is the relative deviation of one expert's report from its estimate.
	noise float64
	// learned is the number of reports that went into noise.
	learned int
	// count is the number of reports of each estimate since it last began.
	count []int
	// row counts surprising reports in a row; the sign is their side.
	row []int
	// recent sums the surprising reports of the row.
	recent []float64
	// reports is the number of all reports.
	reports int
}

func newEstimate(experts int) *estimate {
	return &estimate{
		loads: make([]float64, experts), count: make([]int, experts), row: make([]int, experts), recent: make([]float64, experts),
	}
}

// add takes one report of tokens for each expert.
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
		if difference := share - s.loads[e]; s.count[e] >= warm && !s.shifting(e, difference) {
			deviation += math.Min(difference*difference, s.limit(e)*s.limit(e))
			weights += s.loads[e] * s.loads[e]
		}
		s.follow(e, share)
	}
	if weights > 0 {
		s.learn(math.Sqrt(deviation / weights))
	}
}

// shifting reports whether a report is surprising and does not contradict the one before.
func (s *estimate) shifting(e int, difference float64) bool {
	return math.Abs(difference) > s.limit(e) && float64(s.row[e])*difference >= 0
}

// limit bounds what one report adds to the noise, so that a shift is not taken for noise.
func (s *estimate) limit(e int) float64 {
	if s.noise == 0 {
		return math.Inf(1)
	}
	return jump * s.noise * s.loads[e]
}

func (s *estimate) learn(noise float64) {
	s.learned++
	s.noise += math.Max(spread, 1/float64(s.learned)) * (noise - s.noise)
}

// follow moves one estimate towards a report, and to the newest reports at once after a shift.
func (s *estimate) follow(e int, share float64) {
	s.count[e]++
	difference := share - s.loads[e]
	switch {
	case s.count[e] > warm && math.Abs(difference) > s.limit(e):
		s.surprise(e, share, difference)
	default:
		s.row[e], s.recent[e] = 0, 0
	}
	s.loads[e] += math.Max(weight, 1/float64(s.count[e])) * difference
}

// warm is the number of reports after which an estimate can be surprised.
const warm = 5

func (s *estimate) surprise(e int, share, difference float64) {
	side := 1
	if difference < 0 {
		side = -1
	}
	if s.row[e]*side < 0 {
		s.row[e], s.recent[e] = 0, 0
	}
	s.row[e] += side
	s.recent[e] += share
	if n := s.row[e] * side; n >= surprises {
		s.loads[e] = s.recent[e] / float64(n)
		s.count[e], s.row[e], s.recent[e] = n, 0, 0
	}
}

// deviation returns the standard error of one rank's time over the mean time.
func (s *estimate) deviation(p *Placement) float64 {
	n := p.Replicas(len(s.loads))
	worst := 0.0
	for _, held := range p.Ranks {
		sum := 0.0
		for _, e := range held {
			share := s.loads[e] / float64(n[e])
			sum += share * share * math.Max(weight/(2-weight), 1/float64(max(1, s.count[e])))
		}
		worst = math.Max(worst, sum)
	}
	return s.noise * math.Sqrt(worst) * float64(len(p.Ranks))
}
