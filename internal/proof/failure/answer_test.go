package failure

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

// resume requests the rest of an answer through the entries in turn until it is complete or lost, at most ten times.
func (s *site) resume(a answer, workspace string, names ...string) answer {
	for i := 0; i < 10 && !a.complete && a.lastEventID != ""; i++ {
		next := s.processes[names[i%len(names)]].send(request{path: "/v1/desk", lastEventID: a.lastEventID, workspace: workspace})
		a.text += next.text
		a.complete, a.problem = next.complete, next.problem
		if next.lastEventID != "" {
			a.lastEventID = next.lastEventID
		}
		if next.status == http.StatusGone {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return a
}

func TestResumeAtOtherEntry(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *site)
	}{
		{"entry killed", func(s *site) { s.processes["entry-c1-0"].kill() }},
		{"entry killed and its centre cut", func(s *site) {
			s.processes["entry-c1-0"].kill()
			s.network.partition(1, 2)
			time.AfterFunc(700*time.Millisecond, s.network.heal)
		}},
		{"entry killed and slot frozen", func(s *site) {
			s.processes["entry-c1-0"].kill()
			s.processes["desk-c1-0"].freezeFor(700 * time.Millisecond)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 2, entries: 1, engines: 1, step: 5 * time.Millisecond})
			first := askWithFault(s.processes["entry-c1-0"], func() { test.fault(s) })
			is.True(!first.complete)
			is.True(strings.HasPrefix(engine.Expected("hold", longTokens), first.text))
			resumed := s.resume(first, "", "entry-c2-0")
			is.True(resumed.complete)
			is.Equal(resumed.text, engine.Expected("hold", longTokens))
			is.Equal(s.engines["desk-c1-0"].TotalRuns()+s.engines["desk-c2-0"].TotalRuns(), 1)
		})
	}
}

func TestEngineKilledIsVisible(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 5 * time.Millisecond})
	a := askWithFault(s.processes["entry-c1-0"], func() { s.engines["desk-c1-0"].SetDown(true) })
	is.True(!a.complete)
	is.Equal(a.problem.Outcome, "failed")
	is.True(strings.HasPrefix(engine.Expected("hold", longTokens), a.text))
}

func TestSlowReader(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1})
	const tokens = 300
	prompt := strings.Repeat("Kahnawà:ke ", 1500)
	slow := s.processes["entry-c1-0"].send(request{
		path: "/v1/desk", body: fmt.Sprintf(`{"prompt":%q,"tokens":%d}`, prompt, tokens),
		onText: func(string) { time.Sleep(15 * time.Millisecond) },
	})
	is.True(slow.complete)
	is.True(slow.text == engine.Expected(prompt, tokens))
}

func TestResumeFromOtherWorkspace(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 5 * time.Millisecond})
	entry := s.processes["entry-c1-0"]
	a := entry.send(request{path: "/v1/desk", body: `{"prompt":"hold","tokens":20}`})
	is.True(a.complete)
	parts := strings.Split(a.lastEventID, "/")
	firstID := parts[0] + "/" + parts[1] + "/0"
	unknownID := strings.Repeat("0", len(parts[0])) + "/" + parts[1] + "/0"
	again := entry.send(request{path: "/v1/desk", lastEventID: firstID})
	is.Equal(again.text, a.text)
	otherWorkspace := entry.send(request{path: "/v1/desk", workspace: "council", lastEventID: firstID})
	missing := entry.send(request{path: "/v1/desk", workspace: "council", lastEventID: unknownID})
	is.Equal(otherWorkspace.status, http.StatusGone)
	is.Equal(otherWorkspace.text, "")
	is.Equal(otherWorkspace.problem, missing.problem)
	beyond := entry.send(request{path: "/v1/desk", lastEventID: parts[0] + "/" + parts[1] + "/999999"})
	is.Equal(beyond.status, http.StatusRequestedRangeNotSatisfiable)
	is.True(!beyond.complete)
}

// TestAnswersUnderLoad checks that callers that stream and resume through random entries never get wrong text while
// processes crash, freeze and lose connections.
func TestAnswersUnderLoad(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		if *seedFlag != 0 {
			seed = *seedFlag
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{centres: 2, entries: 2, engines: 1, step: 5 * time.Millisecond})
			stop := make(chan struct{})
			var callers, faults sync.WaitGroup
			faults.Go(func() { s.injectEntryFaults(rand.New(rand.NewPCG(seed, 0)), stop) })
			var mu sync.Mutex
			complete, truncated := 0, 0
			for i := range 8 {
				random := rand.New(rand.NewPCG(seed, uint64(i)+1))
				callers.Go(func() {
					for j := range 5 {
						prompt := fmt.Sprintf("%d-%d", i, j)
						a := s.sendAndResume(random, prompt, 100)
						mu.Lock()
						if a.complete {
							complete++
						} else {
							truncated++
						}
						mu.Unlock()
						expected := engine.Expected(prompt, 100)
						if a.complete && a.text != expected || !strings.HasPrefix(expected, a.text) {
							t.Errorf("seed %d: stream %s got %q", seed, prompt, a.text)
						}
					}
				})
			}
			callers.Wait()
			close(stop)
			faults.Wait()
			t.Logf("seed %d: %d answers complete, %d truncated", seed, complete, truncated)
			is.New(t).True(complete > 0)
		})
	}
}

// sendAndResume requests a stream through a random entry and resumes it through the entries in random order.
func (s *site) sendAndResume(random *rand.Rand, prompt string, tokens int) answer {
	names := []string{"entry-c1-0", "entry-c1-1", "entry-c2-0", "entry-c2-1"}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	a := s.processes[names[0]].send(request{
		path: "/v1/desk", body: fmt.Sprintf(`{"prompt":%q,"tokens":%d}`, prompt, tokens), timeout: 8 * time.Second,
	})
	return s.resume(a, "", names...)
}

// injectEntryFaults restarts and freezes entries, freezes slots, blackholes connections to slots and partitions the
// data centres, until stop is closed.
func (s *site) injectEntryFaults(random *rand.Rand, stop <-chan struct{}) {
	for range 10 {
		entry := s.processes[[]string{"entry-c1-0", "entry-c2-0"}[random.IntN(2)]]
		slot := s.processes[[]string{"desk-c1-0", "desk-c2-0"}[random.IntN(2)]]
		switch random.IntN(4) {
		case 0:
			entry.restart()
		case 1:
			entry.freezeFor(time.Duration(100+random.IntN(900)) * time.Millisecond)
		case 2:
			s.network.blackhole(slot.settings.Listen)
		case 3:
			slot.freezeFor(time.Duration(100+random.IntN(900)) * time.Millisecond)
			s.network.partition(1, 2)
			time.AfterFunc(500*time.Millisecond, s.network.heal)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+random.IntN(500)) * time.Millisecond):
		}
	}
}
