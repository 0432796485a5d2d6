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

// resume asks for the rest of an answer through entries in turn until it is whole or given up.
func (s *site) resume(a answer, workspace string, names ...string) answer {
	for i := 0; i < 10 && !a.whole && a.token != ""; i++ {
		next := s.processes[names[i%len(names)]].ask(question{path: "/v1/desk", token: a.token, workspace: workspace})
		a.text += next.text
		a.whole, a.problem = next.whole, next.problem
		if next.token != "" {
			a.token = next.token
		}
		if next.status == http.StatusGone {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return a
}

func TestResumeElsewhere(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *site)
	}{
		{"entry killed", func(s *site) { s.processes["entry-c1-0"].kill() }},
		{"entry killed and its centre cut", func(s *site) {
			s.processes["entry-c1-0"].kill()
			s.network.cut(1, 2)
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
			first := during(s.processes["entry-c1-0"], func() { test.fault(s) })
			is.True(!first.whole)
			is.True(strings.HasPrefix(engine.Expected("hold", longTokens), first.text))
			whole := s.resume(first, "", "entry-c2-0")
			is.True(whole.whole)
			is.Equal(whole.text, engine.Expected("hold", longTokens))
			is.Equal(s.engines["desk-c1-0"].TotalRuns()+s.engines["desk-c2-0"].TotalRuns(), 1)
		})
	}
}

func TestEngineKilledIsVisible(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 5 * time.Millisecond})
	a := during(s.processes["entry-c1-0"], func() { s.engines["desk-c1-0"].SetDown(true) })
	is.True(!a.whole)
	is.Equal(a.problem.Outcome, "failed")
	is.True(strings.HasPrefix(engine.Expected("hold", longTokens), a.text))
}

func TestSlowReader(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1})
	const tokens = 300
	prompt := strings.Repeat("Kahnawà:ke ", 1500)
	slow := s.processes["entry-c1-0"].ask(question{
		path: "/v1/desk", body: fmt.Sprintf(`{"prompt":%q,"tokens":%d}`, prompt, tokens),
		each: func(string) { time.Sleep(15 * time.Millisecond) },
	})
	is.True(slow.whole)
	is.True(slow.text == engine.Expected(prompt, tokens))
}

func TestForeignResume(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 5 * time.Millisecond})
	entry := s.processes["entry-c1-0"]
	a := entry.ask(question{path: "/v1/desk", body: `{"prompt":"hold","tokens":20}`})
	is.True(a.whole)
	parts := strings.Split(a.token, "/")
	start := parts[0] + "/" + parts[1] + "/0"
	none := strings.Repeat("0", len(parts[0])) + "/" + parts[1] + "/0"
	again := entry.ask(question{path: "/v1/desk", token: start})
	is.Equal(again.text, a.text)
	foreign := entry.ask(question{path: "/v1/desk", workspace: "council", token: start})
	missing := entry.ask(question{path: "/v1/desk", workspace: "council", token: none})
	is.Equal(foreign.status, http.StatusGone)
	is.Equal(foreign.text, "")
	is.Equal(foreign.problem, missing.problem)
	beyond := entry.ask(question{path: "/v1/desk", token: parts[0] + "/" + parts[1] + "/999999"})
	is.Equal(beyond.status, http.StatusRequestedRangeNotSatisfiable)
	is.True(!beyond.whole)
}

// Callers stream and resume through any entry while processes die, freeze and lose connections.
func TestWholeUnderLoad(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		if *seedFlag != 0 {
			seed = *seedFlag
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{centres: 2, entries: 2, engines: 1, step: 5 * time.Millisecond})
			stop := make(chan struct{})
			var callers, faults sync.WaitGroup
			faults.Go(func() { s.disturbEntries(rand.New(rand.NewPCG(seed, 0)), stop) })
			var mu sync.Mutex
			whole, cut := 0, 0
			for i := range 8 {
				random := rand.New(rand.NewPCG(seed, uint64(i)+1))
				callers.Go(func() {
					for j := range 5 {
						prompt := fmt.Sprintf("%d-%d", i, j)
						a := s.stream(random, prompt, 100)
						mu.Lock()
						if a.whole {
							whole++
						} else {
							cut++
						}
						mu.Unlock()
						expected := engine.Expected(prompt, 100)
						if a.whole && a.text != expected || !strings.HasPrefix(expected, a.text) {
							t.Errorf("seed %d: stream %s got %q", seed, prompt, a.text)
						}
					}
				})
			}
			callers.Wait()
			close(stop)
			faults.Wait()
			t.Logf("seed %d: %d answers whole, %d visibly not", seed, whole, cut)
			is.New(t).True(whole > 0)
		})
	}
}

// stream asks through any entry and resumes through any other.
func (s *site) stream(random *rand.Rand, prompt string, tokens int) answer {
	names := []string{"entry-c1-0", "entry-c1-1", "entry-c2-0", "entry-c2-1"}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	a := s.processes[names[0]].ask(question{
		path: "/v1/desk", body: fmt.Sprintf(`{"prompt":%q,"tokens":%d}`, prompt, tokens), timeout: 8 * time.Second,
	})
	return s.resume(a, "", names...)
}

// disturbEntries kills and freezes entries and loses connections of both roles.
func (s *site) disturbEntries(random *rand.Rand, stop <-chan struct{}) {
	for range 10 {
		entry := s.processes[[]string{"entry-c1-0", "entry-c2-0"}[random.IntN(2)]]
		slot := s.processes[[]string{"desk-c1-0", "desk-c2-0"}[random.IntN(2)]]
		switch random.IntN(4) {
		case 0:
			entry.restart()
		case 1:
			entry.freezeFor(time.Duration(100+random.IntN(900)) * time.Millisecond)
		case 2:
			s.network.silence(slot.settings.Listen)
		case 3:
			slot.freezeFor(time.Duration(100+random.IntN(900)) * time.Millisecond)
			s.network.cut(1, 2)
			time.AfterFunc(500*time.Millisecond, s.network.heal)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+random.IntN(500)) * time.Millisecond):
		}
	}
}
