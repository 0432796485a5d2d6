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
	// overloadTimeout is each caller's time limit for the complete answer.
	overloadTimeout = 600 * time.Millisecond
	// overloadSpan is the duration of each load.
	overloadSpan = 4 * time.Second
	// overloadCapacity is the throughput of the targets in requests a second: 2 engines run 4 requests at once,
	// each for 20 steps of 5 ms.
	overloadCapacity = 80
	// deliverySlack covers the transfer to the caller of an answer that the slot produced in time.
	deliverySlack = 150 * time.Millisecond
)

// tally counts the answers to the callers of one workspace.
type tally struct {
	sent, complete, pastDeadline, refused, truncated, withoutRetryAfter int
	// slowestRefusal is the longest time to a refusal.
	slowestRefusal time.Duration
	// retryAfter counts the values of Retry-After.
	retryAfter map[string]int
}

func (v *tally) add(a answer) {
	v.sent++
	switch {
	case a.complete && a.took <= overloadTimeout+deliverySlack:
		v.complete++
	case a.complete:
		v.pastDeadline++
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		v.refused++
		v.slowestRefusal = max(v.slowestRefusal, a.took)
		if _, err := strconv.Atoi(a.retryAfter); err != nil {
			v.withoutRetryAfter++
		}
		v.retryAfter[a.retryAfter]++
	default:
		v.truncated++
	}
}

// String formats the tally for the test log.
func (v *tally) String() string {
	return fmt.Sprintf("sent=%d complete=%d past-deadline=%d refused=%d truncated=%d slowest-refusal=%v without-retry-after=%d retry-after=%v",
		v.sent, v.complete, v.pastDeadline, v.refused, v.truncated, v.slowestRefusal.Round(time.Millisecond), v.withoutRetryAfter, v.retryAfter)
}

// sendOverload sends requests of each workspace at a fixed rate for overloadSpan, whether or not earlier ones were
// answered.
func (s *site) sendOverload(rates map[string]int) map[string]*tally {
	tallies := map[string]*tally{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for workspace := range rates {
		tallies[workspace] = &tally{retryAfter: map[string]int{}}
	}
	for workspace, rate := range rates {
		wg.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(rate))
			defer ticker.Stop()
			for i := range rate * int(overloadSpan/time.Second) {
				<-ticker.C
				wg.Go(func() {
					p := s.processes[fmt.Sprintf("entry-c1-%d", i%s.options.entries)]
					a := p.send(request{
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
	wg.Wait()
	return tallies
}

func TestOverload(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{
		centres: 1, entries: 3, engines: 2, width: 4, step: 5 * time.Millisecond,
		editConfig: func(c *configuration.Configuration) {
			c.Workspaces = []configuration.Workspace{{Name: "large"}, {Name: "small"}, {Name: "urgent", Priority: 1}}
		},
	})
	var goodput []int
	for _, factor := range []int{2, 4} {
		rates := map[string]int{"small": 10, "urgent": 10, "large": factor*overloadCapacity - 20}
		tallies := s.sendOverload(rates)
		complete := 0
		for workspace, v := range tallies {
			t.Logf("load ×%d %s: %v", factor, workspace, v)
			complete += v.complete
			is.True(v.pastDeadline <= v.sent/100)
			is.True(v.truncated <= v.sent/50)
			is.Equal(v.withoutRetryAfter, 0)
			is.True(v.slowestRefusal < overloadTimeout)
		}
		for _, workspace := range []string{"small", "urgent"} {
			is.True(tallies[workspace].complete >= tallies[workspace].sent*9/10)
		}
		is.True(len(tallies["large"].retryAfter) >= 2)
		goodput = append(goodput, complete)
	}
	t.Logf("goodput %v of a capacity of %d", goodput, overloadCapacity*int(overloadSpan/time.Second))
	is.True(goodput[1] >= goodput[0]*8/10)
}
