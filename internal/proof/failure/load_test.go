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

// ledger collects what callers were told of each key. It is safe for concurrent use.
type ledger struct {
	mu sync.Mutex
	// told holds the outcomes by key.
	told map[string][]answer
	// bodies holds the body that each key was sent with.
	bodies map[string]string
}

func (l *ledger) note(q question, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[q.key] = append(l.told[q.key], a)
	l.bodies[q.key] = q.body
}

// caller makes calls one after the other, resending each through any entry until its fate is known.
func (s *site) caller(l *ledger, random *rand.Rand, name string, timeout time.Duration) {
	entries := []string{"entry-c1-0", "entry-c1-1", "entry-c2-0", "entry-c2-1"}
	anyEntry := func() *process { return s.processes[entries[random.IntN(len(entries))]] }
	for i := range *callsFlag {
		q := question{path: "/v1/holds", body: fmt.Sprintf("%s-%d", name, i), timeout: timeout}
		q.key = anyEntry().ask(q).problem.Key
		if q.key == "" {
			continue
		}
		for range 5 {
			a := anyEntry().ask(q)
			l.note(q, a)
			if a.whole && random.IntN(3) > 0 {
				break
			}
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
	}
}

// disturb brings about faults one after the other until it is told to stop.
func (s *site) disturb(random *rand.Rand, stop <-chan struct{}) {
	names := []string{"entry-c1-0", "entry-c2-1", "hold-c1-0", "hold-c2-0"}
	for range loadFaults {
		p := s.processes[names[random.IntN(len(names))]]
		switch random.IntN(5) {
		case 0:
			p.restart()
		case 1:
			p.freezeFor(time.Duration(100+random.IntN(1200)) * time.Millisecond)
		case 2:
			s.network.cut(1, 2)
			time.AfterFunc(time.Duration(100+random.IntN(900))*time.Millisecond, s.network.heal)
		case 3:
			if s.network.silence(p.settings.Listen) == 0 {
				continue
			}
		case 4:
			// Two faults at once.
			s.network.cut(1, 2)
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
			l := &ledger{told: map[string][]answer{}, bodies: map[string]string{}}
			timeout := 10 * time.Second
			if test.faults {
				timeout = 800 * time.Millisecond
			}
			var callers, faults sync.WaitGroup
			stop := make(chan struct{})
			if test.faults {
				faults.Go(func() { s.disturb(rand.New(rand.NewPCG(test.seed, 0)), stop) })
			}
			for i := range loadCallers {
				random := rand.New(rand.NewPCG(test.seed, uint64(i)+1))
				callers.Go(func() { s.caller(l, random, fmt.Sprint(i), timeout) })
			}
			callers.Wait()
			close(stop)
			faults.Wait()
			counts := s.audit(l, test.seed)
			t.Logf("seed %d: %d keys, callers were told %v", test.seed, len(l.told), counts)
			is.True(counts["complete"] > 0)
			is.True(test.faults || counts["unknown"] == 0)
			is.True(test.faults || counts["none"] == 0)
		})
	}
}

// audit compares what callers were told with what the services executed.
func (s *site) audit(l *ledger, seed uint64) map[string]int {
	s.t.Helper()
	counts := map[string]int{}
	for text, answers := range l.told {
		runs := s.runsOf(text)
		if runs > 1 {
			s.t.Errorf("seed %d: key %s was executed %d times", seed, text, runs)
		}
		for _, a := range answers {
			outcome := a.problem.Outcome
			switch {
			case a.status == http.StatusOK && a.whole:
				outcome = "complete"
			case outcome == "":
				outcome = "none"
			}
			counts[outcome]++
			if outcome == "complete" && a.text != "done 1: "+l.bodies[text] {
				s.t.Errorf("seed %d: key %s was answered with %q", seed, text, a.text)
			}
			if outcome == "not-run" && runs > 0 {
				s.t.Errorf("seed %d: key %s was told not run and was executed", seed, text)
			}
		}
	}
	return counts
}
