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

// leaveLimit is the time after the leave signal within which a target may still get new requests.
const leaveLimit = 3 * time.Second

// loadGenerator runs callers that send requests in a loop.
type loadGenerator struct {
	// sent counts the requests.
	sent atomic.Int64
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// complete and refused count the complete answers and the refusals with the outcome "not-run".
	complete, refused int
	// unexpected holds all other answers.
	unexpected []answer
}

// startLoad starts callers of short answers at each of the entries. Their prompts differ, so that no target is
// preferred because of its prompt cache.
func startLoad(callers int, entries ...*process) *loadGenerator {
	l := &loadGenerator{stop: make(chan struct{})}
	for _, e := range entries {
		for range callers {
			l.wg.Go(func() { l.run(e) })
		}
	}
	return l
}

func (l *loadGenerator) run(e *process) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		prompt := fmt.Sprintf("short%d", l.sent.Add(1))
		a := e.send(request{path: "/v1/desk", body: fmt.Sprintf(`{"prompt":%q,"tokens":5}`, prompt)})
		l.count(a, engine.Expected(prompt, 5))
		if !a.complete {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (l *loadGenerator) count(a answer, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.complete && a.text == text:
		l.complete++
	case a.problem.Outcome == "not-run":
		l.refused++
	default:
		l.unexpected = append(l.unexpected, a)
	}
}

// stopAndWait stops the callers and waits for their last answers.
func (l *loadGenerator) stopAndWait() {
	close(l.stop)
	l.wg.Wait()
}

// shortRequest requests an answer of five tokens.
var shortRequest = request{path: "/v1/desk", body: `{"prompt":"short","tokens":5}`}

// lastNewRequest watches an engine for a duration and returns the time from the call to the engine's last new request.
func lastNewRequest(e *engine.Engine, duration time.Duration) (last time.Duration) {
	began := time.Now()
	count := e.TotalRuns()
	for time.Since(began) < duration {
		time.Sleep(5 * time.Millisecond)
		if next := e.TotalRuns(); next != count {
			count, last = next, time.Since(began)
		}
	}
	return last
}

// TestLeavingTarget stops a target that has long answers in progress, under load and faults, and measures when it
// gets its last new request.
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
			time.AfterFunc(time.Second, entry.unfreeze)
		}},
		{"notice lost", func(s *site, _, slot *process) { s.network.blackhole(slot.settings.Listen) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 1, entries: 2, engines: 2, step: 5 * time.Millisecond})
			entry, other, slot := s.processes["entry-c1-0"], s.processes["entry-c1-1"], s.processes["desk-c1-0"]
			long := s.startLongAnswers(entry, slot)
			l := startLoad(2, entry, other)
			s.await("the target has work", func() bool { return s.engines["desk-c1-0"].TotalRuns() > 5 })
			test.fault(s, entry, slot)
			slot.signal(syscall.SIGTERM)
			last := lastNewRequest(s.engines["desk-c1-0"], 3500*time.Millisecond)
			l.stopAndWait()
			<-slot.done
			t.Logf("last new request %v after the signal; complete %d, refused as not run %d", last, l.complete, l.refused)
			is.True(last < leaveLimit)
			is.Equal(len(l.unexpected), 0)
			is.True(l.complete > 0)
			is.Equal(slot.command.ProcessState.ExitCode(), 0)
			for a := range long {
				if !a.complete {
					t.Logf("truncated answer: %+v", a.problem)
				}
				is.True(a.complete)
			}
		})
	}
}

// startLongAnswers requests 12 long answers, waits until one of them runs at the slot, and returns a channel that
// delivers the answers as they end.
func (s *site) startLongAnswers(entry, slot *process) <-chan answer {
	s.t.Helper()
	const answers = 12
	out := make(chan answer, answers)
	var wg sync.WaitGroup
	for i := range answers {
		body := fmt.Sprintf(`{"prompt":"long%d","tokens":900}`, i)
		wg.Go(func() { out <- entry.send(request{path: "/v1/desk", body: body}) })
	}
	go func() {
		wg.Wait()
		close(out)
	}()
	s.await("a long answer runs at "+slot.settings.Name, func() bool { return s.engines[slot.settings.Name].TotalRuns() > 0 })
	return out
}

// TestPlatformHint checks that a target that the platform lists as leaving gets no new requests, although it got no
// signal.
func TestPlatformHint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 2, entries: 3, engines: 2, step: time.Millisecond})
	var entries []*process
	for _, e := range s.config.Entries {
		entries = append(entries, s.processes[e.Name])
	}
	l := startLoad(1, entries...)
	s.await("the target has work", func() bool { return s.engines["desk-c1-0"].TotalRuns() > 5 })
	s.platform.SetInstances([]platform.Instance{{Name: "desk-c1-0", State: "leaving"}})
	last := lastNewRequest(s.engines["desk-c1-0"], 8*time.Second)
	l.stopAndWait()
	t.Logf("last new request %v after the platform's list changed", last)
	is.True(last < 5*time.Second)
	is.Equal(len(l.unexpected), 0)
	is.Equal(l.refused, 0)
	s.platform.SetInstances(nil)
	before := s.engines["desk-c1-0"].TotalRuns()
	l = startLoad(1, entries...)
	s.await("the target has work again", func() bool { return s.engines["desk-c1-0"].TotalRuns() > before })
	l.stopAndWait()
}

// TestStopUnderLoad stops processes with long answers in progress; no answer that has begun may be truncated.
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
			var long []<-chan answer
			for _, entry := range []string{"entry-c1-0", "entry-c1-1"} {
				long = append(long, s.startLongAnswers(s.processes[entry], s.processes["desk-c1-0"]))
			}
			s.await("the answers run at the targets", func() bool {
				return s.engines["desk-c1-0"].TotalRuns()+s.engines["desk-c1-1"].TotalRuns()+s.engines["desk-c1-2"].TotalRuns() >= 24
			})
			for _, name := range test.stop {
				s.processes[name].signal(syscall.SIGTERM)
			}
			for _, answers := range long {
				for a := range answers {
					is.Equal(a.status, http.StatusOK)
					is.True(a.complete)
				}
			}
			for _, name := range test.stop {
				<-s.processes[name].done
				is.Equal(s.processes[name].command.ProcessState.ExitCode(), 0)
			}
		})
	}
}

// TestStoppingEntryServes checks that an entry reports not ready right after the signal, but serves until the drain
// time is over.
func TestStoppingEntryServes(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, editSettings: func(v *settings.Settings) {
		v.Drain = configuration.Duration(2 * time.Second)
	}})
	entry := s.processes["entry-c1-0"]
	is.Equal(entry.readyStatus(), http.StatusOK)
	entry.signal(syscall.SIGTERM)
	s.await("the entry is not ready", func() bool { return entry.readyStatus() == http.StatusServiceUnavailable })
	a := entry.send(shortRequest)
	is.True(a.complete)
	is.Equal(a.text, engine.Expected("short", 5))
	<-entry.done
	is.Equal(entry.command.ProcessState.ExitCode(), 0)
}

// readyStatus returns the HTTP status of /ready, or zero if the request fails.
func (p *process) readyStatus() int {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + p.settings.Operators.String() + "/ready")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// TestStopLimit checks that a request that the stop limit ends is visible as truncated to the caller and is logged
// with its ID.
func TestStopLimit(t *testing.T) {
	for _, name := range []string{"entry-c1-0", "desk-c1-0"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 10 * time.Millisecond, editSettings: func(v *settings.Settings) {
				v.Stop = configuration.Duration(time.Second)
			}})
			p := s.processes[name]
			a := askWithFault(s.processes["entry-c1-0"], func() { p.signal(syscall.SIGTERM) })
			is.True(!a.complete)
			<-p.done
			is.Equal(p.command.ProcessState.ExitCode(), 0)
			log, err := os.ReadFile(p.logPath)
			is.NoErr(err)
			requestID, _, _ := strings.Cut(a.lastEventID, "/")
			is.True(strings.Contains(string(log), "msg=cut instance="+name+" request="+requestID))
		})
	}
}

// TestStopLimitAnswersCalls checks that the caller of a call which the stop limit of its entry ends gets an answer that says so.
func TestStopLimitAnswersCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, services: 1, delay: 4 * time.Second, editSettings: func(v *settings.Settings) {
		v.Stop = configuration.Duration(time.Second)
	}})
	p := s.processes["entry-c1-0"]
	key := p.send(request{path: "/v1/holds"}).problem.Key
	answered := make(chan answer, 1)
	go func() { answered <- p.send(request{path: "/v1/holds", body: "room 7", key: key}) }()
	s.await("the call runs", func() bool { return s.keyRuns(key) == 1 })
	p.signal(syscall.SIGTERM)
	a := <-answered
	is.Equal(a.status, http.StatusGatewayTimeout)
	is.Equal(a.problem.Outcome, "unknown")
	<-p.done
	is.Equal(p.command.ProcessState.ExitCode(), 0)
}
