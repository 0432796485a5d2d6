package pair

import (
	"flag"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "run only the schedule of this seed")
	countFlag = flag.Uint64("schedules", 30, "number of schedules of each kind of faults")
)

const callersPerSchedule = 30

// runSchedule runs the schedule of a seed to its end, checks its executions and returns the world.
func runSchedule(seed uint64, f faults) *world {
	w := newWorld(seed, f)
	for i := range callersPerSchedule {
		w.addCaller(i)
	}
	w.injectFaults()
	w.run(faultPeriod + key.Lifetime + 5*time.Minute)
	w.checkExecutions()
	return w
}

func TestSchedules(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
		// noUnknown forbids unknown outcomes.
		noUnknown bool
	}{
		{"none", faults{}, true},
		{"clocks", faults{maxClockOffset: key.MaxClockSkew / 2}, true},
		{"messages", faults{loss: 0.1, duplicate: 0.2, slow: 0.05}, false},
		{"restarts", faults{restart: 0.05, loss: 0.02}, false},
		{"pauses", faults{pause: 0.1, duplicate: 0.1, slow: 0.05}, false},
		{"cuts", faults{cut: 0.1, slow: 0.05}, false},
		{"crashes", faults{crash: 0.2}, false},
		{"overload", faults{maxServiceTime: 3 * time.Second, crash: 0.05, fewRecords: true}, false},
		{"removal", faults{removeTargets: true, loss: 0.05}, false},
		{"planned stops", faults{plannedStop: 0.05}, true},
		{"planned stops under faults", faults{plannedStop: 0.05, loss: 0.05, duplicate: 0.1, slow: 0.05, pause: 0.05, cut: 0.05, restart: 0.02}, false},
		{"kill and cut", faults{restart: 0.05, cut: 0.1}, false},
		{"all", faults{
			fewRecords: true, maxServiceTime: time.Second, loss: 0.05, duplicate: 0.1, slow: 0.05, crash: 0.05, restart: 0.03, plannedStop: 0.02, pause: 0.05, cut: 0.05, removeTargets: true, maxClockOffset: key.MaxClockSkew / 2,
		}, false},
	}
	for _, test := range tests {
		t.Run(strings.ReplaceAll(test.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			outcomes := map[string]int{}
			keys := 0
			for seed := uint64(1); seed <= *countFlag; seed++ {
				if *seedFlag != 0 {
					seed = *seedFlag
				}
				w := runSchedule(seed, test.faults)
				for _, text := range w.violations {
					t.Errorf("seed %d: %s", seed, text)
				}
				for outcome, n := range maps.All(w.outcomes) {
					outcomes[outcome] += n
				}
				keys += len(w.executions)
				if t.Failed() || *seedFlag != 0 {
					break
				}
			}
			if test.noUnknown && outcomes["unknown"] > 0 {
				t.Errorf("%d outcomes are unknown without a fault that explains them", outcomes["unknown"])
			}
			t.Logf("%d schedules, %d keys executed, callers were told %v", *countFlag, keys, outcomes)
		})
	}
}
