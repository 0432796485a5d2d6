package failure

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

// longBody requests an answer that takes about 1.5 s.
const longBody = `{"prompt":"hold","tokens":300}`

const longTokens = 300

// askWithFault sends a request, causes a fault when the first text of the stream arrives, and returns the answer
// as read to its end.
func askWithFault(entry *process, fault func()) answer {
	fired := false
	return entry.send(request{path: "/v1/desk", body: longBody, onText: func(string) {
		if !fired {
			fired = true
			fault()
		}
	}})
}

func TestStreamSurvives(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *site)
	}{
		{"silent connection", func(s *site) { s.network.blackhole(s.processes["desk-c1-0"].settings.Listen) }},
		{"short cut", func(s *site) {
			s.network.partition(1, 1)
			time.AfterFunc(300*time.Millisecond, s.network.heal)
		}},
		{"short cut one way", func(s *site) {
			s.network.partitionOneWay(1, 1)
			time.AfterFunc(300*time.Millisecond, s.network.heal)
		}},
		{"delay", func(s *site) { s.network.setDelay(20 * time.Millisecond) }},
		{"frozen slot", func(s *site) {
			s.processes["desk-c1-0"].freeze()
			time.AfterFunc(300*time.Millisecond, s.processes["desk-c1-0"].unfreeze)
		}},
		{"stopping entry", func(s *site) { s.processes["entry-c1-0"].signal(15) }},
		{"stopping slot", func(s *site) { s.processes["desk-c1-0"].signal(15) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 5 * time.Millisecond})
			a := askWithFault(s.processes["entry-c1-0"], func() { test.fault(s) })
			is.Equal(a.status, http.StatusOK)
			is.True(a.complete)
			is.Equal(a.text, engine.Expected("hold", longTokens))
			started := s.engines["desk-c1-0"].StartedIDs()
			if len(started) != 1 {
				t.Logf("requests at the engine: %v", started)
			}
			is.Equal(len(started), 1)
		})
	}
}

func TestKilledSlotIsVisible(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 5 * time.Millisecond})
	a := askWithFault(s.processes["entry-c1-0"], s.processes["desk-c1-0"].kill)
	is.True(!a.complete)
	is.Equal(a.problem.Outcome, "failed")
}

func TestStopExitsZero(t *testing.T) {
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1})
	for _, name := range []string{"entry-c1-0", "desk-c1-0"} {
		is := is.New(t)
		is.Equal(s.processes[name].stop(), 0)
	}
}
