package failure

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "run only the fault schedule of this seed")
	callsFlag = flag.Int("calls", 25, "number of non-idempotent calls of each caller")
)

const (
	loadCallers = 12
	loadFaults  = 8
)

// outcomeLog collects the answers that callers got for each key. It is safe for concurrent use.
type outcomeLog struct {
	mu sync.Mutex
	// answers holds the answers by key.
	answers map[string][]answer
	// bodies holds the request body by key.
	bodies map[string]string
}

func (l *outcomeLog) add(req request, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[req.key] = append(l.answers[req.key], a)
	l.bodies[req.key] = req.body
}

// runCaller makes calls one after the other. It retries each through random entries, up to five attempts, and resends
// some complete ones too.
func (s *site) runCaller(l *outcomeLog, random *rand.Rand, name string, timeout time.Duration) {
	entries := []string{"entry-c1-0", "entry-c1-1", "entry-c2-0", "entry-c2-1"}
	anyEntry := func() *process { return s.processes[entries[random.IntN(len(entries))]] }
	for i := range *callsFlag {
		q := request{path: "/v1/holds", body: fmt.Sprintf("%s-%d", name, i), timeout: timeout}
		q.key = anyEntry().send(q).problem.Key
		if q.key == "" {
			continue
		}
		for range 5 {
			a := anyEntry().send(q)
			l.add(q, a)
			if a.complete && random.IntN(3) > 0 {
				break
			}
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
	}
}

// injectFaults causes up to loadFaults random faults one after the other, until stop is closed.
func (s *site) injectFaults(random *rand.Rand, stop <-chan struct{}) {
	names := []string{"entry-c1-0", "entry-c2-1", "hold-c1-0", "hold-c2-0"}
	for range loadFaults {
		p := s.processes[names[random.IntN(len(names))]]
		switch random.IntN(5) {
		case 0:
			p.restart()
		case 1:
			p.freezeFor(time.Duration(100+random.IntN(1200)) * time.Millisecond)
		case 2:
			s.network.partition(1, 2)
			time.AfterFunc(time.Duration(100+random.IntN(900))*time.Millisecond, s.network.heal)
		case 3:
			if s.network.blackhole(p.settings.Listen) == 0 {
				continue
			}
		case 4:
			// Two faults at once.
			s.network.partition(1, 2)
			p.restart()
			time.AfterFunc(time.Duration(100+random.IntN(900))*time.Millisecond, s.network.heal)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(300+random.IntN(900)) * time.Millisecond):
		}
	}
}

func TestOnceUnderLoad(t *testing.T) {
	tests := []struct {
		name   string
		seed   uint64
		faults bool
	}{
		{"without faults", 1, false},
		{"faults 2", 2, true},
		{"faults 3", 3, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if *seedFlag != 0 {
				test.seed = *seedFlag
			}
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 2, entries: 2, services: 2, delay: 20 * time.Millisecond})
			l := &outcomeLog{answers: map[string][]answer{}, bodies: map[string]string{}}
			timeout := 10 * time.Second
			if test.faults {
				timeout = 800 * time.Millisecond
			}
			var callers, faults sync.WaitGroup
			stop := make(chan struct{})
			if test.faults {
				faults.Go(func() { s.injectFaults(rand.New(rand.NewPCG(test.seed, 0)), stop) })
			}
			for i := range loadCallers {
				random := rand.New(rand.NewPCG(test.seed, uint64(i)+1))
				callers.Go(func() { s.runCaller(l, random, fmt.Sprint(i), timeout) })
			}
			callers.Wait()
			close(stop)
			faults.Wait()
			counts := s.checkOutcomes(l, test.seed)
			t.Logf("seed %d: %d keys, outcomes reported to callers: %v", test.seed, len(l.answers), counts)
			is.True(counts["complete"] > 0)
			is.True(test.faults || counts["unknown"] == 0)
			is.True(test.faults || counts["none"] == 0)
		})
	}
}

// checkOutcomes compares the answers that callers got with what the services executed, and counts the outcomes.
func (s *site) checkOutcomes(l *outcomeLog, seed uint64) map[string]int {
	s.t.Helper()
	counts := map[string]int{}
	for keyText, answers := range l.answers {
		runs := s.keyRuns(keyText)
		if runs > 1 {
			s.t.Errorf("seed %d: key %s was executed %d times", seed, keyText, runs)
		}
		for _, a := range answers {
			outcome := a.problem.Outcome
			switch {
			case a.status == http.StatusOK && a.complete:
				outcome = "complete"
			case outcome == "":
				outcome = "none"
			}
			counts[outcome]++
			if outcome == "complete" && a.text != "done 1: "+l.bodies[keyText] {
				s.t.Errorf("seed %d: key %s was answered with %q", seed, keyText, a.text)
			}
			if outcome == "not-run" && runs > 0 {
				s.t.Errorf("seed %d: key %s was reported as not run but was executed", seed, keyText)
			}
		}
	}
	return counts
}
