package failure

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/platform"
)

// leaveLimit is the time after the leave signal in which the last new request may be sent to a target.
const leaveLimit = 3 * time.Second

// load is a number of callers that ask again and again.
type load struct {
	// asked counts the requests.
	asked atomic.Int64
	stop  chan struct{}
	group sync.WaitGroup

	mu sync.Mutex
	// whole and refused count the whole answers and the refusals with the outcome "not run".
	whole, refused int
	// bad holds the other answers.
	bad []answer
}

// newLoad starts callers of short answers at each of some entries. Their prompts differ, so that
// no target is preferred for what it has in its cache.
func newLoad(callers int, entries ...*process) *load {
	l := &load{stop: make(chan struct{})}
	for _, e := range entries {
		for range callers {
			l.group.Go(func() { l.run(e) })
		}
	}
	return l
}

func (l *load) run(e *process) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		prompt := fmt.Sprintf("short%d", l.asked.Add(1))
		a := e.ask(question{path: "/v1/desk", body: fmt.Sprintf(`{"prompt":%q,"tokens":5}`, prompt)})
		l.count(a, engine.Expected(prompt, 5))
		if !a.whole {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (l *load) count(a answer, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.whole && a.text == text:
		l.whole++
	case a.problem.Outcome == "not-run":
		l.refused++
	default:
		l.bad = append(l.bad, a)
	}
}

// end stops the callers and waits for their last answers.
func (l *load) end() {
	close(l.stop)
	l.group.Wait()
}

// shortQuestion asks for an answer of a few steps.
var shortQuestion = question{path: "/v1/desk", body: `{"prompt":"short","tokens":5}`}

// lastNew watches an engine for a time and returns when it got its last new request, measured from now.
func lastNew(e *engine.Engine, span time.Duration) (last time.Duration) {
	began := time.Now()
	count := e.TotalRuns()
	for time.Since(began) < span {
		time.Sleep(5 * time.Millisecond)
		if next := e.TotalRuns(); next != count {
			count, last = next, time.Since(began)
		}
	}
	return last
}

// TestLeavingTarget stops a target that has a long answer to finish, under load and faults, and measures its last new request.
func TestLeavingTarget(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *site, entry, slot *process)
	}{
		{"no fault", func(*site, *process, *process) {}},
		{"platform down", func(s *site, _, _ *process) { s.platform.SetDown(true) }},
		{"platform lists it as live", func(s *site, _, slot *process) {
			s.platform.SetInstances([]platform.Instance{{Name: slot.settings.Name, State: "live"}})
		}},
		{"entry frozen", func(_ *site, entry, _ *process) {
			entry.freeze()
			time.AfterFunc(time.Second, entry.wake)
		}},
		{"notice lost", func(s *site, _, slot *process) { s.network.silence(slot.settings.Listen) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 1, entries: 2, engines: 2, step: 5 * time.Millisecond})
			entry, other, slot := s.processes["entry-c1-0"], s.processes["entry-c1-1"], s.processes["desk-c1-0"]
			held := s.hold(entry, slot)
			l := newLoad(2, entry, other)
			s.await("the target has work", func() bool { return s.engines["desk-c1-0"].TotalRuns() > 5 })
			test.fault(s, entry, slot)
			slot.signal(syscall.SIGTERM)
			last := lastNew(s.engines["desk-c1-0"], 3500*time.Millisecond)
			l.end()
			<-slot.done
			t.Logf("last new request %v after the signal; whole %d, refused as not run %d", last, l.whole, l.refused)
			is.True(last < leaveLimit)
			is.Equal(len(l.bad), 0)
			is.True(l.whole > 0)
			is.Equal(slot.command.ProcessState.ExitCode(), 0)
			for a := range held {
				if !a.whole {
					t.Logf("not whole: %+v", a.problem)
				}
				is.True(a.whole)
			}
		})
	}
}

// hold starts long answers until one of them is at the slot, and returns the channel of all their ends.
func (s *site) hold(entry, slot *process) <-chan answer {
	s.t.Helper()
	const answers = 12
	out := make(chan answer, answers)
	var group sync.WaitGroup
	for i := range answers {
		body := fmt.Sprintf(`{"prompt":"long%d","tokens":900}`, i)
		group.Go(func() { out <- entry.ask(question{path: "/v1/desk", body: body}) })
	}
	go func() {
		group.Wait()
		close(out)
	}()
	s.await("a long answer is at "+slot.settings.Name, func() bool { return s.engines[slot.settings.Name].TotalRuns() > 0 })
	return out
}

// TestPlatformHint lists a target as leaving that has got no signal: it gets no more new work.
func TestPlatformHint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 2, entries: 3, engines: 2, step: time.Millisecond})
	var entries []*process
	for _, e := range s.config.Entries {
		entries = append(entries, s.processes[e.Name])
	}
	l := newLoad(1, entries...)
	s.await("the target has work", func() bool { return s.engines["desk-c1-0"].TotalRuns() > 5 })
	s.platform.SetInstances([]platform.Instance{{Name: "desk-c1-0", State: "leaving"}})
	last := lastNew(s.engines["desk-c1-0"], 8*time.Second)
	l.end()
	t.Logf("last new request %v after the list changed", last)
	is.True(last < 5*time.Second)
	is.Equal(len(l.bad), 0)
	is.Equal(l.refused, 0)
	s.platform.SetInstances(nil)
	before := s.engines["desk-c1-0"].TotalRuns()
	l = newLoad(1, entries...)
	s.await("the target has work again", func() bool { return s.engines["desk-c1-0"].TotalRuns() > before })
	l.end()
}

// TestStopUnderLoad stops processes with long answers in progress; nothing that was begun may be cut off.
func TestStopUnderLoad(t *testing.T) {
	tests := []struct {
		name string
		stop []string
	}{
		{"one slot", []string{"desk-c1-0"}},
		{"one entry", []string{"entry-c1-0"}},
		{"two slots and an entry", []string{"desk-c1-0", "entry-c1-1", "desk-c1-1"}},
		{"everything", []string{"entry-c1-0", "entry-c1-1", "desk-c1-0", "desk-c1-1", "desk-c1-2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 1, entries: 2, engines: 3, step: 2 * time.Millisecond})
			var held []<-chan answer
			for _, entry := range []string{"entry-c1-0", "entry-c1-1"} {
				held = append(held, s.hold(s.processes[entry], s.processes["desk-c1-0"]))
			}
			s.await("the answers are at the targets", func() bool {
				return s.engines["desk-c1-0"].TotalRuns()+s.engines["desk-c1-1"].TotalRuns()+s.engines["desk-c1-2"].TotalRuns() >= 24
			})
			for _, name := range test.stop {
				s.processes[name].signal(syscall.SIGTERM)
			}
			for _, answers := range held {
				for a := range answers {
					is.Equal(a.status, http.StatusOK)
					is.True(a.whole)
				}
			}
			for _, name := range test.stop {
				<-s.processes[name].done
				is.Equal(s.processes[name].command.ProcessState.ExitCode(), 0)
			}
		})
	}
}

// TestStoppingEntryServes checks that an entry is not ready at once after the signal, but serves until the drain time is over.
func TestStoppingEntryServes(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, settings: func(v *settings.Settings) {
		v.Drain = configuration.Duration(2 * time.Second)
	}})
	entry := s.processes["entry-c1-0"]
	is.Equal(entry.ready(), http.StatusOK)
	entry.signal(syscall.SIGTERM)
	s.await("the entry is not ready", func() bool { return entry.ready() == http.StatusServiceUnavailable })
	a := entry.ask(shortQuestion)
	is.True(a.whole)
	is.Equal(a.text, engine.Expected("short", 5))
	<-entry.done
	is.Equal(entry.command.ProcessState.ExitCode(), 0)
}

// ready returns the status of the readiness address.
func (p *process) ready() int {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + p.settings.Operators.String() + "/ready")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// TestStopLimit checks that what the stop limit cuts off is visible to the caller and logged by identity.
func TestStopLimit(t *testing.T) {
	for _, name := range []string{"entry-c1-0", "desk-c1-0"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 10 * time.Millisecond, settings: func(v *settings.Settings) {
				v.Stop = configuration.Duration(time.Second)
			}})
			p := s.processes[name]
			a := during(s.processes["entry-c1-0"], func() { p.signal(syscall.SIGTERM) })
			is.True(!a.whole)
			<-p.done
			is.Equal(p.command.ProcessState.ExitCode(), 0)
			log, err := os.ReadFile(p.log)
			is.NoErr(err)
			identity, _, _ := strings.Cut(a.token, "/")
			is.True(strings.Contains(string(log), "msg=cut instance="+name+" request="+identity))
		})
	}
}
