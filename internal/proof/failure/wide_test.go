package failure

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

// TestWideSite runs more targets than an entry watches directly. All entries must learn of all targets by digests,
// see a leaving target in time and see a killed target as lost.
func TestWideSite(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 6, engines: 66})
	streams := 0
	for i := range 66 {
		streams += s.network.workingConns(s.processes[fmt.Sprintf("desk-c1-%d", i)].settings.Listen)
	}
	t.Logf("%d heartbeat streams for 66 targets and 6 entries", streams)
	is.True(streams <= 66*4)
	for _, e := range s.config.Entries {
		a := s.processes[e.Name].send(shortRequest)
		is.True(a.complete)
		is.Equal(a.text, engine.Expected("short", 5))
	}
	began := time.Now()
	s.processes["desk-c1-0"].signal(syscall.SIGTERM)
	s.awaitState("desk-c1-0", "leaving", "gone", "lost")
	t.Logf("leaving target seen by all entries after %v", time.Since(began))
	is.True(time.Since(began) < leaveLimit)
	began = time.Now()
	s.processes["desk-c1-1"].kill()
	s.awaitState("desk-c1-1", "lost")
	t.Logf("killed target seen as lost by all entries after %v", time.Since(began))
	s.processes["desk-c1-1"].start()
	s.awaitState("desk-c1-1", "serving")
}

// awaitState waits until every entry sees a target in one of the states.
func (s *site) awaitState(target string, states ...string) {
	s.t.Helper()
	for _, e := range s.config.Entries {
		s.await(fmt.Sprintf("%s sees %s in one of the states %v", e.Name, target, states), func() bool {
			for _, v := range s.processes[e.Name].entryStatus().Targets {
				for _, state := range states {
					if v.Name == target && v.State == state {
						return true
					}
				}
			}
			return false
		})
	}
}
