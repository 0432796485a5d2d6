package load

import (
	"math"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/balance"
)

const (
	// trackTime is the time after a switch in which its saving is measured. Demand shifts every few seconds.
	trackTime = 3 * time.Second
	// savingHalfLife is the age at which the weight of a measured switch has decayed to half.
	savingHalfLife = 10 * time.Second
	// minSlope and maxSlope bound, in seconds, what each part of a step's time that a switch gains beyond the bias is found to save.
	minSlope, maxSlope = 0.1, 4.0
	// maxBias bounds the bias, so that demand which has become steady is still followed.
	maxBias = 0.2
	// assumedWeight is the weight of each of assumedSwitches.
	assumedWeight = 0.25
	// copySlowdown is the part by which passes take longer while a rank loads experts.
	copySlowdown = 0.15
)

// assumedSwitches are switches that count beside the measured ones, each with assumedWeight.
var assumedSwitches = []measuredSwitch{{gain: 0.05, saved: 0.05}, {gain: 0.3, saved: 0.55}}

// savings measures what switches save. The gain that a plan expects is what it would have saved for the counts of the past: demand
// shifts, and since the plan is the best of many for these counts, a part of its gain is random variation. So the saving of a
// switch is taken as slope * (gain - bias), both fitted to the switches of the latest time.
//
// The load that it answers: demand that shifts every few seconds and varies with each request, where following the variation costs
// more than it saves.
type savings struct {
	// sums are those of the measured switches, with exponential decay by savingHalfLife, as of decayedAt.
	sums      savingSums
	decayedAt time.Time
	// tracked are the switches whose saving is being measured.
	tracked []trackedSwitch
}

// measuredSwitch is the planned gain of a switch as a part of the time of a step, its measured saving in seconds, and the number of experts
// that it loaded.
type measuredSwitch struct {
	gain, saved, loaded float64
}

// trackedSwitch is a switch whose saving is being measured.
type trackedSwitch struct {
	measuredSwitch
	version       uint64
	before, after []*balance.Placement
	// since is when the map was first seen in use, or zero.
	since time.Time
}

// savingSums are the sums of a linear regression of savings over gains.
type savingSums struct {
	count, gain, saved, gainSquared, product, loaded float64
}

func (s *savingSums) add(m measuredSwitch, weight float64) {
	s.count += weight
	s.gain += weight * m.gain
	s.saved += weight * m.saved
	s.gainSquared += weight * m.gain * m.gain
	s.product += weight * m.gain * m.saved
	s.loaded += weight * m.loaded
}

func (s *savingSums) scale(f float64) {
	for _, v := range []*float64{&s.count, &s.gain, &s.saved, &s.gainSquared, &s.product, &s.loaded} {
		*v *= f
	}
}

// expectation is what switches are expected to save.
type expectation struct {
	// slope is in seconds, bias a part of the time of a step, and loaded the usual number of loaded experts.
	slope, bias, loaded float64
}

// expect returns what switches are expected to save, given the number of experts that one is assumed to load while few were measured.
func (s *savings) expect(assumedLoaded float64) expectation {
	sums := s.sums
	for _, m := range assumedSwitches {
		m.loaded = assumedLoaded
		sums.add(m, assumedWeight)
	}
	gain, saved := sums.gain/sums.count, sums.saved/sums.count
	slope := (sums.product/sums.count - gain*saved) / (sums.gainSquared/sums.count - gain*gain)
	slope = min(max(slope, minSlope), maxSlope)
	return expectation{slope: slope, bias: min(max(gain-saved/slope, 0), maxBias), loaded: sums.loaded / sums.count}
}

// worth reports whether a switch with a gain saves more than it costs, given the longest time for which a rank loads experts.
func (e expectation) worth(gain float64, loading time.Duration) bool {
	return e.slope*(gain-e.bias) > copySlowdown*loading.Seconds()
}

// gainForExpert returns the gain that an expert must bring to be worth its load.
func (e expectation) gainForExpert(loading time.Duration) float64 {
	return copySlowdown*loading.Seconds()/e.slope + e.bias/e.loaded
}

// begin tracks a switch from its map to another.
func (s *savings) begin(t trackedSwitch) {
	s.tracked = append(s.tracked, t)
}

// measure adds what the tracked switches have saved since the previous call, given the map in use and a function that returns the
// time of a step under a map for the demand since then, which is zero if there was too little.
func (s *savings) measure(now time.Time, version uint64, elapsed time.Duration, stepTime func(maps []*balance.Placement) float64) {
	s.sums.scale(math.Exp2(-max(now.Sub(s.decayedAt), 0).Seconds() / savingHalfLife.Seconds()))
	s.decayedAt = now
	for i := range s.tracked {
		t := &s.tracked[i]
		if t.since.IsZero() && t.version == version {
			t.since = now
			continue
		}
		if t.since.IsZero() {
			continue
		}
		if before := stepTime(t.before); before > 0 {
			t.saved += (before - stepTime(t.after)) / before * elapsed.Seconds()
		}
	}
	s.tracked = slices.DeleteFunc(s.tracked, func(t trackedSwitch) bool {
		if t.since.IsZero() {
			// Another map came into use, or the switch was given up.
			return t.version < version
		}
		if now.Sub(t.since) < trackTime {
			return false
		}
		s.sums.add(t.measuredSwitch, 1)
		return true
	})
}

// expect returns what switches of a group of the given size are expected to save. While few were measured, one is assumed to load half of
// what its ranks may.
func (p *Planner) expect(size int) expectation {
	return p.savings.expect(float64(p.rankLoads()*size) / 2)
}

// gain returns the part of the time of a step that the switch is to save.
func (d *Decision) gain() float64 {
	return (d.StepTime - d.NextStepTime) / d.StepTime
}

// Bias returns the gain below which a switch is expected to save nothing, since the plan fits random variation of the counts.
func (d *Decision) Bias() float64 {
	return d.expected.bias
}

// rankLoads returns the largest number of experts that a rank loads.
func (d *Decision) rankLoads() (most int) {
	loads := make([]int, len(d.Map[0]))
	for s, m := range d.before {
		for r, held := range d.after[s].Ranks {
			loads[r] += balance.CountMissing(held, m.Ranks[r])
		}
	}
	return slices.Max(loads)
}
