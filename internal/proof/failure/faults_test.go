package failure

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

// longBody asks for an answer that takes about a second and a half.
const longBody = `{"prompt":"hold","tokens":300}`

const longTokens = 300

// during runs a fault once the first text of a stream has come, and returns the whole answer.
func during(entry *process, fault func()) answer {
	fired := false
	return entry.ask(question{path: "/v1/desk", body: longBody, each: func(string) {
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
		{"silent connection", func(s *site) { s.network.silence(s.processes["desk-c1-0"].settings.Listen) }},
		{"short cut", func(s *site) {
			s.network.cut(1, 1)
			time.AfterFunc(300*time.Millisecond, s.network.heal)
		}},
		{"short cut one way", func(s *site) {
			s.network.cutOneWay(1, 1)
			time.AfterFunc(300*time.Millisecond, s.network.heal)
		}},
		{"delay", func(s *site) { s.network.setDelay(20 * time.Millisecond) }},
		{"frozen slot", func(s *site) {
			s.processes["desk-c1-0"].freeze()
			time.AfterFunc(300*time.Millisecond, s.processes["desk-c1-0"].wake)
		}},
		{"stopping entry", func(s *site) { s.processes["entry-c1-0"].signal(15) }},
		{"stopping slot", func(s *site) { s.processes["desk-c1-0"].signal(15) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 5 * time.Millisecond})
			a := during(s.processes["entry-c1-0"], func() { test.fault(s) })
			is.Equal(a.status, http.StatusOK)
			is.True(a.whole)
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
	a := during(s.processes["entry-c1-0"], s.processes["desk-c1-0"].kill)
	is.True(!a.whole)
	is.Equal(a.problem.Outcome, "failed")
}

func TestStopExitsZero(t *testing.T) {
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1})
	for _, name := range []string{"entry-c1-0", "desk-c1-0"} {
		is := is.New(t)
		is.Equal(s.processes[name].stop(), 0)
	}
}
