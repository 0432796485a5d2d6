package failure

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

// poisonBody crashes each stand-in engine that runs it.
const poisonBody = `{"prompt":"poison","tokens":5}`

// crashes returns the number of engines' crashes at a site.
func (s *site) crashes() (n int) {
	for _, e := range s.engines {
		n += e.Crashes()
	}
	return n
}

// resend sends the poison through the entries in turn, again at once after each answer.
func (s *site) resend(rounds, centres, entries int) (answers []answer) {
	for i := range rounds {
		centre, number := 1+i%centres, i/centres%entries
		p := s.processes[fmt.Sprintf("entry-c%d-%d", centre, number)]
		answers = append(answers, p.ask(question{path: "/v1/desk", body: poisonBody}))
	}
	return answers
}

func TestCrashingRequestIsBounded(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 3, entries: 3, engines: 2, poison: poisonBody, restart: 500 * time.Millisecond})
	answers := s.resend(27, 3, 3)
	is.True(s.crashes() >= 1)
	is.True(s.crashes() <= suspect.MaxCrashes)
	for _, a := range answers {
		is.True(!a.whole)
	}
	last := answers[len(answers)-1]
	is.Equal(last.status, http.StatusUnprocessableEntity)
	is.Equal(last.problem.Outcome, "not-run")
	s.awaitServing()
}

func TestInnocentsSurviveCrash(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{
		centres: 1, entries: 3, engines: 4, width: 4, step: 5 * time.Millisecond, poison: poisonBody, restart: 500 * time.Millisecond,
	})
	const callers = 8
	var group sync.WaitGroup
	var mu sync.Mutex
	var cut []int
	ask := func(i int) answer {
		body := fmt.Sprintf(`{"prompt":"guide %d","tokens":100}`, i)
		return s.processes[fmt.Sprintf("entry-c1-%d", i%3)].ask(question{path: "/v1/desk", body: body})
	}
	for i := range callers {
		group.Go(func() {
			a := ask(i)
			if a.whole {
				is.Equal(a.text, engine.Expected(fmt.Sprintf("guide %d", i), 100))
				return
			}
			// A stream that had begun cannot go on elsewhere: its caller is told.
			is.Equal(a.problem.Outcome, "failed")
			mu.Lock()
			defer mu.Unlock()
			cut = append(cut, i)
		})
	}
	s.await("innocents run", func() bool { return s.total() >= callers })
	s.resend(9, 1, 3)
	group.Wait()
	is.True(s.crashes() >= 1)
	is.True(s.crashes() <= suspect.MaxCrashes)
	for range 2 {
		for _, i := range cut {
			a := ask(i)
			is.Equal(a.status, http.StatusOK)
			is.True(a.whole)
		}
	}
	t.Logf("crashes %d, streams cut %d of %d", s.crashes(), len(cut), callers)
}

// total returns the number of runs at all engines.
func (s *site) total() (n int) {
	for _, e := range s.engines {
		n += e.TotalRuns()
	}
	return n
}

// TestConcurrentCopiesOfCrashingRequest sends a copy through each entry at once, before anything is known.
func TestConcurrentCopiesOfCrashingRequest(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 3, entries: 3, engines: 2, poison: poisonBody, restart: 500 * time.Millisecond})
	var group sync.WaitGroup
	for _, p := range s.processes {
		if p.role != "entry" {
			continue
		}
		group.Go(func() {
			for range 5 {
				a := p.ask(question{path: "/v1/desk", body: poisonBody})
				is.True(!a.whole)
			}
		})
	}
	group.Wait()
	t.Logf("crashes %d of %d engines", s.crashes(), len(s.engines))
	is.True(s.crashes() <= len(s.engines))
}

// TestCrashingRequestInCut resends the poison on both sides of a cut: each part bounds its own engines.
func TestCrashingRequestInCut(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 3, entries: 1, engines: 3, poison: poisonBody, restart: 500 * time.Millisecond})
	s.network.cut(1, 2)
	s.network.cut(1, 3)
	// A copy that is held back by the cut may run when it heals: none is sent across.
	s.await("the cut is noticed", func() bool {
		return s.cutNoticed(1, "c1") && s.cutNoticed(2, "c1") && s.cutNoticed(3, "c1")
	})
	s.resend(18, 3, 1)
	t.Logf("crashes %d of %d engines", s.crashes(), len(s.engines))
	is.True(s.crashes() >= 2)
	is.True(s.crashes() <= 2*suspect.MaxCrashes)
	s.network.heal()
	s.awaitServing()
	s.resend(9, 3, 1)
	is.True(s.crashes() <= 2*suspect.MaxCrashes)
}

// cutNoticed reports whether the entry of a data centre sees no serving target across a cut round another one.
func (s *site) cutNoticed(centre int, apart string) bool {
	status := s.processes[fmt.Sprintf("entry-c%d-0", centre)].entryStatus()
	for _, v := range status.Targets {
		across := strings.Contains(v.Name, apart) != (apart == fmt.Sprintf("c%d", centre))
		if across && v.State == "serving" {
			return false
		}
	}
	return len(status.Targets) > 0
}
