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

// A planned stop hands over the records: what ran is answered by the successor with the same answer,
// and a key that was never used is truly not run, again after the successor has left too.
func TestHandover(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 2, services: 3, delay: 200 * time.Millisecond})
	entry, other := s.processes["entry-c1-0"], s.processes["entry-c1-1"]
	hold, ran := entry.askOnce(question{path: "/v1/holds", body: "room 7"})
	is.Equal(hold.text, "done 1: room 7")
	home := s.homeOf(ran)
	late := s.keyAt(entry, home)
	unused := s.keyAt(entry, home)
	var group sync.WaitGroup
	var during answer
	group.Go(func() { during = entry.ask(question{path: "/v1/holds", body: "room 8", key: late}) })
	s.await("the call runs", func() bool { return s.runsOf(late) == 1 })
	is.Equal(home.stop(), 0)
	group.Wait()
	is.Equal(during.text, "done 1: room 8")
	check := func(p *process) {
		is.Equal(p.ask(question{path: "/v1/holds", body: "room 7", key: ran}).text, "done 1: room 7")
		is.Equal(p.ask(question{path: "/v1/holds", body: "room 8", key: late}).text, "done 1: room 8")
		is.Equal(p.ask(question{path: "/v1/holds", body: "another", key: ran}).status, http.StatusUnprocessableEntity)
		refused := p.ask(question{path: "/v1/holds", body: "room 9", key: unused})
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
	is.Equal(s.runsOf(ran), 1)
	is.Equal(s.runsOf(late), 1)
	is.Equal(s.runsOf(unused), 0)
}

// keyAt asks for keys until one names a home.
func (s *site) keyAt(entry, home *process) (text string) {
	s.await("a key of that home", func() bool {
		text = entry.ask(question{path: "/v1/holds"}).problem.Key
		return text != "" && s.homeOf(text) == home
	})
	return text
}

// successorOf returns the slot that took over the records of a slot that stopped, as its log says.
func (s *site) successorOf(p *process) *process {
	for name, v := range s.processes {
		if p.logged("kind=handover target=" + p.settings.Name + " successor=" + name) {
			return v
		}
	}
	return nil
}

// logged reports whether a text is in the log of a process.
func (p *process) logged(text string) bool {
	data, err := os.ReadFile(p.log)
	return err == nil && strings.Contains(string(data), text)
}
