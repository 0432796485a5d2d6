package failure

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// TestWorkspaceRate sends three times the rate limit of one workspace and a tenth of another's through one of three
// entries. The first must be limited to about its rate and the second not at all.
func TestWorkspaceRate(t *testing.T) {
	is := is.New(t)
	const rate, seconds = 20, 6
	s := newSite(t, siteOptions{centres: 3, entries: 1, engines: 1, width: 32, editConfig: func(c *configuration.Configuration) {
		c.Workspaces = []configuration.Workspace{{Name: "large", Rate: rate}, {Name: "small", Rate: rate}}
	}})
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts := map[string]map[int]int{"large": {}, "small": {}}
	send := func(workspace string, counted bool) {
		a := s.processes["entry-c1-0"].send(request{path: "/v1/desk", workspace: workspace, body: `{"prompt":"x","tokens":1}`})
		mu.Lock()
		defer mu.Unlock()
		if counted {
			counts[workspace][a.status]++
		}
		if a.status == http.StatusTooManyRequests {
			is.True(a.retryAfter != "")
			is.Equal(a.problem.Outcome, "not-run")
		}
	}
	ticker := time.NewTicker(time.Second / (3 * rate))
	defer ticker.Stop()
	for i := range 3 * rate * seconds {
		<-ticker.C
		counted := i >= 3*rate*2
		wg.Go(func() { send("large", counted) })
		if i%30 == 0 {
			wg.Go(func() { send("small", counted) })
		}
	}
	wg.Wait()
	t.Logf("large %v small %v", counts["large"], counts["small"])
	allowed := rate * (seconds - 2)
	is.True(counts["large"][http.StatusOK] >= allowed*7/10)
	is.True(counts["large"][http.StatusOK] <= allowed*13/10)
	is.Equal(counts["small"][http.StatusTooManyRequests], 0)
}
