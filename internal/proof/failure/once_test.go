package failure

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

// onceSite has two data centres, each with an entry and a service that takes a while.
func onceSite(t *testing.T) *site {
	t.Helper()
	return newSite(t, siteOptions{centres: 2, entries: 1, services: 1, delay: 300 * time.Millisecond})
}

// runsOf returns how often a key was executed anywhere.
func (s *site) runsOf(text string) (n int) {
	for _, v := range s.services {
		n += v.Runs(text)
	}
	return n
}

// homeOf returns the slot that a key names.
func (s *site) homeOf(text string) *process {
	s.t.Helper()
	k, err := key.Parse(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.processes[k.Home]
}

// restart kills a process and starts it again.
func (p *process) restart() {
	p.kill()
	p.start()
}

// freezeFor stops a process for a time.
func (p *process) freezeFor(d time.Duration) {
	p.freeze()
	command := p.command
	time.AfterFunc(d, func() { _ = command.Process.Signal(syscall.SIGCONT) })
}

// insist sends a call with its key through the entries in turn until it is told what became of it.
func (s *site) insist(q question, names ...string) (answers []answer) {
	for i := range 8 {
		a := s.processes[names[i%len(names)]].ask(q)
		answers = append(answers, a)
		if a.status == http.StatusOK && a.whole || a.problem.Outcome == "not-run" {
			return answers
		}
		time.Sleep(200 * time.Millisecond)
	}
	return answers
}

func TestOnceSurvives(t *testing.T) {
	const whole, unknown = "whole", "unknown"
	type stage struct {
		s     *site
		entry *process
		home  *process
	}
	tests := []struct {
		name string
		// before, during and after act before the call is sent, while it runs and when it has run.
		before, during, after func(v stage)
		// want is what the last of the resends must say.
		want string
	}{
		{name: "nothing", want: whole},
		{name: "slot killed before", before: func(v stage) { v.home.restart() }, want: unknown},
		{name: "slot killed during", during: func(v stage) { v.home.restart() }, want: unknown},
		{name: "slot killed after", after: func(v stage) { v.home.restart() }, want: unknown},
		{name: "entry killed during", during: func(v stage) { v.entry.kill() }, want: whole},
		{name: "entry frozen past the deadline", during: func(v stage) { v.entry.freezeFor(2 * time.Second) }, want: whole},
		{name: "slot frozen past the deadline", during: func(v stage) { v.home.freezeFor(2 * time.Second) }, want: whole},
		{name: "slot frozen before", before: func(v stage) { v.home.freezeFor(2 * time.Second) }, want: whole},
		{name: "cut that heals", during: func(v stage) {
			v.s.network.cut(1, 1)
			v.s.network.cut(1, 2)
			time.AfterFunc(time.Second, v.s.network.heal)
		}, want: whole},
		{name: "kill and cut", during: func(v stage) {
			v.s.network.cut(1, 2)
			v.entry.kill()
			time.AfterFunc(time.Second, v.s.network.heal)
		}, want: whole},
		{name: "slot kill and cut", during: func(v stage) {
			v.s.network.cut(1, 2)
			v.home.restart()
			time.AfterFunc(time.Second, v.s.network.heal)
		}, want: unknown},
		{name: "target removed", during: func(v stage) {
			v.s.config.Revision++
			v.s.config.Targets = slices.DeleteFunc(slices.Clone(v.s.config.Targets), func(t configuration.Target) bool {
				return t.Name == v.home.settings.Name
			})
			v.s.publish()
			v.s.await("the entries know it", func() bool {
				return v.s.processes["entry-c1-0"].entryStatus().Revision == 2 && v.s.processes["entry-c2-0"].entryStatus().Revision == 2
			})
		}, want: unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := onceSite(t)
			entry := s.processes["entry-c1-0"]
			q := question{path: "/v1/holds", body: "room 7", timeout: time.Second}
			q.key = entry.ask(q).problem.Key
			v := stage{s: s, entry: entry, home: s.homeOf(q.key)}
			if test.before != nil {
				test.before(v)
			}
			var group sync.WaitGroup
			group.Go(func() { entry.ask(q) })
			if test.during != nil {
				s.await("the call runs", func() bool { return s.runsOf(q.key) > 0 })
				test.during(v)
			}
			group.Wait()
			if test.after != nil {
				test.after(v)
			}
			answers := s.insist(q, "entry-c2-0", "entry-c1-0")
			last := answers[len(answers)-1]
			is.True(s.runsOf(q.key) <= 1)
			if test.want == whole {
				is.Equal(last.text, "done 1: room 7")
			} else {
				is.Equal(last.text, "")
				is.Equal(last.problem.Outcome, test.want)
			}
		})
	}
}

// An answer that gets lost between the service and its slot must not make any HTTP client repeat the call.
func TestOnceAnswerLost(t *testing.T) {
	for _, body := range []string{"", "room 7"} {
		t.Run(fmt.Sprintf("body %q", body), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 1, entries: 1, services: 1})
			entry := s.processes["entry-c1-0"]
			first, text := entry.askOnce(question{path: "/v1/holds", body: body})
			is.Equal(first.text, "done 1: "+body)
			is.Equal(s.runsOf(text), 1)
			s.services["hold-c1-0"].SetDropAnswers(true)
			lost, text := entry.askOnce(question{path: "/v1/holds", body: body})
			is.Equal(lost.problem.Outcome, "unknown")
			is.Equal(s.runsOf(text), 1)
			again := entry.ask(question{path: "/v1/holds", body: body, key: text})
			is.Equal(again.problem.Outcome, "unknown")
			is.Equal(s.runsOf(text), 1)
		})
	}
}

func TestOnceRefusals(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, services: 1})
	entry := s.processes["entry-c1-0"]
	hold, text := entry.askOnce(question{path: "/v1/holds", body: "room 7"})
	is.Equal(hold.text, "done 1: room 7")
	tests := []struct {
		name    string
		q       question
		status  int
		outcome string
	}{
		{"own key", question{path: "/v1/holds", body: "x", key: "9f0c3a52-6f0e-4b52-8a51-3d1b6f1ab001"}, http.StatusPreconditionRequired, "not-run"},
		{"damaged key", question{path: "/v1/holds", body: "x", key: text[:len(text)-3]}, http.StatusBadRequest, "unknown"},
		{"other workspace", question{path: "/v1/holds", body: "room 7", workspace: "council", key: text}, http.StatusForbidden, "unknown"},
		{"other body", question{path: "/v1/holds", body: "room 8", key: text}, http.StatusUnprocessableEntity, "unknown"},
		{"other route", question{path: "/v1/desk", body: "room 7", key: text}, http.StatusConflict, "unknown"},
		{"unknown path", question{path: "/v2/none", body: "room 7", key: text}, http.StatusNotFound, "unknown"},
		{"same again", question{path: "/v1/holds", body: "room 7", key: text}, http.StatusOK, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := entry.ask(test.q)
			is.Equal(a.status, test.status)
			is.Equal(a.problem.Outcome, test.outcome)
			is.Equal(a.problem.Key != "", test.status == http.StatusPreconditionRequired)
		})
	}
	is.Equal(s.runsOf(text), 1)
}

// A full queue closes the key: the caller is told so, gets another key, and the old one never runs.
func TestOnceQueueFull(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, services: 1, width: 1, delay: 300 * time.Millisecond})
	entry := s.processes["entry-c1-0"]
	const callers = 8
	answers := make([]answer, callers)
	keys := make([]string, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { answers[i], keys[i] = entry.askOnce(question{path: "/v1/holds", body: "room"}) })
	}
	group.Wait()
	refused := 0
	for i, a := range answers {
		if a.problem.Outcome != "not-run" {
			is.Equal(a.text, "done 1: room")
			continue
		}
		refused++
		is.True(a.problem.Key != "" && a.problem.Key != keys[i])
		is.Equal(entry.ask(question{path: "/v1/holds", body: "room", key: keys[i]}).problem.Outcome, "not-run")
		is.Equal(s.runsOf(keys[i]), 0)
	}
	is.True(refused > 0)
}
