package failure

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// overloadTimeout is each caller's limit on the whole answer.
	overloadTimeout = 600 * time.Millisecond
	// overloadSpan is the time for which each load is kept up.
	overloadSpan = 4 * time.Second
	// overloadCapacity is what the targets of the overload tests can do, in requests a second:
	// 2 engines × 4 at once, each for 20 steps of 5 ms.
	overloadCapacity = 80
	// onTimeSlack covers the way back of an answer that the slot produced in time.
	onTimeSlack = 150 * time.Millisecond
)

// tally sums up what callers of one workspace got.
type tally struct {
	sent, whole, late, refused, cut, unadvised int
	// slowest is the longest time to a refusal.
	slowest time.Duration
	// advice counts the values of Retry-After.
	advice map[string]int
}

func (v *tally) add(a answer) {
	v.sent++
	switch {
	case a.whole && a.took <= overloadTimeout+onTimeSlack:
		v.whole++
	case a.whole:
		v.late++
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		v.refused++
		v.slowest = max(v.slowest, a.took)
		if _, err := strconv.Atoi(a.retry); err != nil {
			v.unadvised++
		}
		v.advice[a.retry]++
	default:
		v.cut++
	}
}

// String returns the tally as it is logged.
func (v *tally) String() string {
	return fmt.Sprintf("sent=%d whole=%d late=%d refused=%d cut=%d slowest=%v unadvised=%d advice=%v",
		v.sent, v.whole, v.late, v.refused, v.cut, v.slowest.Round(time.Millisecond), v.unadvised, v.advice)
}

// overload sends requests of each workspace at its rate for overloadSpan, whatever becomes of them.
func (s *site) overload(rates map[string]int) map[string]*tally {
	tallies := map[string]*tally{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for workspace := range rates {
		tallies[workspace] = &tally{advice: map[string]int{}}
	}
	for workspace, rate := range rates {
		group.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(rate))
			defer ticker.Stop()
			for i := range rate * int(overloadSpan/time.Second) {
				<-ticker.C
				group.Go(func() {
					p := s.processes[fmt.Sprintf("entry-c1-%d", i%s.options.entries)]
					a := p.ask(question{
						path: "/v1/desk", workspace: workspace, timeout: overloadTimeout,
						body: fmt.Sprintf(`{"prompt":"%s %d","tokens":20}`, workspace, i),
					})
					mu.Lock()
					defer mu.Unlock()
					tallies[workspace].add(a)
				})
			}
		})
	}
	group.Wait()
	return tallies
}

func TestOverload(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{
		centres: 1, entries: 3, engines: 2, width: 4, step: 5 * time.Millisecond,
		change: func(c *configuration.Configuration) {
			c.Workspaces = []configuration.Workspace{{Name: "large"}, {Name: "small"}, {Name: "urgent", Priority: 1}}
		},
	})
	var goodput []int
	for _, factor := range []int{2, 4} {
		rates := map[string]int{"small": 10, "urgent": 10, "large": factor*overloadCapacity - 20}
		tallies := s.overload(rates)
		whole := 0
		for workspace, v := range tallies {
			t.Logf("load ×%d %s: %v", factor, workspace, v)
			whole += v.whole
			is.True(v.late <= v.sent/100)
			is.True(v.cut <= v.sent/50)
			is.Equal(v.unadvised, 0)
			is.True(v.slowest < overloadTimeout)
		}
		for _, workspace := range []string{"small", "urgent"} {
			is.True(tallies[workspace].whole >= tallies[workspace].sent*9/10)
		}
		is.True(len(tallies["large"].advice) >= 2)
		goodput = append(goodput, whole)
	}
	t.Logf("goodput %v of a capacity of %d", goodput, overloadCapacity*int(overloadSpan/time.Second))
	is.True(goodput[1] >= goodput[0]*8/10)
}
