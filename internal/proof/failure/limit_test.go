package failure

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// TestWorkspaceRate sends three times a workspace's rate through one entry of three, and a little of another's.
func TestWorkspaceRate(t *testing.T) {
	is := is.New(t)
	const rate, span = 20, 6
	s := newSite(t, siteOptions{centres: 3, entries: 1, engines: 1, width: 32, change: func(c *configuration.Configuration) {
		c.Workspaces = []configuration.Workspace{{Name: "large", Rate: rate}, {Name: "small", Rate: rate}}
	}})
	var mu sync.Mutex
	var group sync.WaitGroup
	counts := map[string]map[int]int{"large": {}, "small": {}}
	ask := func(workspace string, counted bool) {
		a := s.processes["entry-c1-0"].ask(question{path: "/v1/desk", workspace: workspace, body: `{"prompt":"x","tokens":1}`})
		mu.Lock()
		defer mu.Unlock()
		if counted {
			counts[workspace][a.status]++
		}
		if a.status == http.StatusTooManyRequests {
			is.True(a.retry != "")
			is.Equal(a.problem.Outcome, "not-run")
		}
	}
	ticker := time.NewTicker(time.Second / (3 * rate))
	defer ticker.Stop()
	for i := range 3 * rate * span {
		<-ticker.C
		counted := i >= 3*rate*2
		group.Go(func() { ask("large", counted) })
		if i%30 == 0 {
			group.Go(func() { ask("small", counted) })
		}
	}
	group.Wait()
	t.Logf("large %v small %v", counts["large"], counts["small"])
	allowed := rate * (span - 2)
	is.True(counts["large"][http.StatusOK] >= allowed*7/10)
	is.True(counts["large"][http.StatusOK] <= allowed*13/10)
	is.Equal(counts["small"][http.StatusTooManyRequests], 0)
}
