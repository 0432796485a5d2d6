package failure

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHandover checks that a slot hands over its records when it stops. The successor must answer a call that ran with
// the same answer and refuse an unused key as not run, and so must the next slot when the successor has stopped too.
func TestHandover(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 2, services: 3, delay: 200 * time.Millisecond})
	entry, other := s.processes["entry-c1-0"], s.processes["entry-c1-1"]
	hold, finished := entry.sendWithKey(request{path: "/v1/holds", body: "room 7"})
	is.Equal(hold.text, "done 1: room 7")
	home := s.homeOf(finished)
	inProgress := s.keyWithHome(entry, home)
	unused := s.keyWithHome(entry, home)
	var wg sync.WaitGroup
	var duringStop answer
	wg.Go(func() { duringStop = entry.send(request{path: "/v1/holds", body: "room 8", key: inProgress}) })
	s.await("the call runs", func() bool { return s.keyRuns(inProgress) == 1 })
	is.Equal(home.stop(), 0)
	wg.Wait()
	is.Equal(duringStop.text, "done 1: room 8")
	check := func(p *process) {
		is.Equal(p.send(request{path: "/v1/holds", body: "room 7", key: finished}).text, "done 1: room 7")
		is.Equal(p.send(request{path: "/v1/holds", body: "room 8", key: inProgress}).text, "done 1: room 8")
		is.Equal(p.send(request{path: "/v1/holds", body: "another", key: finished}).status, http.StatusUnprocessableEntity)
		refused := p.send(request{path: "/v1/holds", body: "room 9", key: unused})
		is.Equal(refused.problem.Outcome, "not-run")
		is.True(refused.problem.Key != "")
	}
	check(entry)
	check(other)
	successor := s.successorOf(home)
	is.True(successor != nil)
	is.Equal(successor.stop(), 0)
	check(entry)
	check(other)
	is.Equal(s.keyRuns(finished), 1)
	is.Equal(s.keyRuns(inProgress), 1)
	is.Equal(s.keyRuns(unused), 0)
}

// keyWithHome requests keys until one has the given home.
func (s *site) keyWithHome(entry, home *process) (keyText string) {
	s.await("a key with the given home", func() bool {
		keyText = entry.send(request{path: "/v1/holds"}).problem.Key
		return keyText != "" && s.homeOf(keyText) == home
	})
	return keyText
}

// successorOf returns the slot that took over the records of a stopped slot, according to that slot's log.
func (s *site) successorOf(p *process) *process {
	for name, v := range s.processes {
		if p.logContains("kind=handover target=" + p.settings.Name + " successor=" + name) {
			return v
		}
	}
	return nil
}

// logContains reports whether the log of a process contains a text.
func (p *process) logContains(text string) bool {
	data, err := os.ReadFile(p.logPath)
	return err == nil && strings.Contains(string(data), text)
}
