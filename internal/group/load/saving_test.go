package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/group/balance"
)

// playSwitches measures switches one after the other, of which each saves its gain less a bias for as long as it is measured.
func playSwitches(s *savings, gains []float64, bias float64) (now time.Time) {
	now = start
	for i, gain := range gains {
		before, after := []*balance.Placement{{}}, []*balance.Placement{{}}
		s.begin(trackedSwitch{measuredSwitch: measuredSwitch{gain: gain, loaded: 8}, version: uint64(i + 1), before: before, after: after})
		for range int(trackTime/tick) + 2 {
			now = now.Add(tick)
			s.measure(now, uint64(i+1), tick, func(maps []*balance.Placement) float64 {
				if maps[0] == after[0] {
					return 1 - max(gain-bias, 0)
				}
				return 1
			})
		}
	}
	return now
}

// TestSwitchesThatSaveNothing checks that gains which were found to be random variation cause no switches, and that the same gains do where
// they last. Without it a group loads experts four times a second for nothing.
func TestSwitchesThatSaveNothing(t *testing.T) {
	gains := []float64{0.06, 0.09, 0.35, 0.07, 0.12, 0.06, 0.3, 0.08}
	tests := []struct {
		name string
		bias float64
		// smallWorth reports whether a switch that gains 0.06 is worth the load of two experts at a rank.
		smallWorth bool
	}{
		{"gains last", 0, true},
		{"small ones are variation", 0.07, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var s savings
			playSwitches(&s, gains, v.bias)
			e := s.expect(8)
			t.Logf("slope %.2f s, bias %.3f", e.slope, e.bias)
			is.Equal(e.worth(0.06, 100*time.Millisecond), v.smallWorth)
			is.True(e.worth(0.3, 100*time.Millisecond)) // a shift of demand is followed in any case
			is.Equal(len(s.tracked), 0)
		})
	}
}

// TestMeasuredSavingsAreForgotten checks that demand which has become steady is followed again.
func TestMeasuredSavingsAreForgotten(t *testing.T) {
	is := is.New(t)
	var s savings
	now := playSwitches(&s, []float64{0.06, 0.09, 0.35, 0.12}, 0.09)
	learned := s.expect(8).bias
	s.measure(now.Add(2*time.Minute), 4, tick, nil)
	is.True(learned > 0.05)
	is.True(s.expect(8).bias < learned/2)
}

// TestSwitchThatWasGivenUp checks that a switch whose map never came into use is not measured.
func TestSwitchThatWasGivenUp(t *testing.T) {
	is := is.New(t)
	var s savings
	s.begin(trackedSwitch{version: 4})
	s.measure(start, 3, tick, nil)
	is.Equal(len(s.tracked), 1)
	s.measure(start, 5, tick, nil)
	is.Equal(len(s.tracked), 0)
	is.Equal(s.sums.count, 0.0)
}
