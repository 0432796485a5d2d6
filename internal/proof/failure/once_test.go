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

// onceSite starts two data centres, each with an entry and a service that takes 300 ms for a call.
func onceSite(t *testing.T) *site {
	t.Helper()
	return newSite(t, siteOptions{centres: 2, entries: 1, services: 1, delay: 300 * time.Millisecond})
}

// keyRuns returns how often all services together executed a key.
func (s *site) keyRuns(keyText string) (n int) {
	for _, v := range s.services {
		n += v.Runs(keyText)
	}
	return n
}

// homeOf returns the home of a key: the slot that alone may run it.
func (s *site) homeOf(keyText string) *process {
	s.t.Helper()
	k, err := key.Parse(keyText)
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

// freezeFor suspends a process for a duration.
func (p *process) freezeFor(d time.Duration) {
	p.freeze()
	command := p.command
	time.AfterFunc(d, func() { _ = command.Process.Signal(syscall.SIGCONT) })
}

// resendUntilKnown sends a call with its key through the entries in turn until the answer is complete or not run,
// at most eight times.
func (s *site) resendUntilKnown(req request, names ...string) (answers []answer) {
	for i := range 8 {
		a := s.processes[names[i%len(names)]].send(req)
		answers = append(answers, a)
		if a.status == http.StatusOK && a.complete || a.problem.Outcome == "not-run" {
			return answers
		}
		time.Sleep(200 * time.Millisecond)
	}
	return answers
}

func TestOnceSurvives(t *testing.T) {
	const complete, unknown = "complete", "unknown"
	type scenario struct {
		s     *site
		entry *process
		home  *process
	}
	tests := []struct {
		name string
		// before, during and after cause faults before the call is sent, while it runs and after its answer.
		before, during, after func(v scenario)
		// want is the outcome that the last retry must report.
		want string
	}{
		{name: "nothing", want: complete},
		{name: "slot killed before", before: func(v scenario) { v.home.restart() }, want: unknown},
		{name: "slot killed during", during: func(v scenario) { v.home.restart() }, want: unknown},
		{name: "slot killed after", after: func(v scenario) { v.home.restart() }, want: unknown},
		{name: "entry killed during", during: func(v scenario) { v.entry.kill() }, want: complete},
		{name: "entry frozen past the deadline", during: func(v scenario) { v.entry.freezeFor(2 * time.Second) }, want: complete},
		{name: "slot frozen past the deadline", during: func(v scenario) { v.home.freezeFor(2 * time.Second) }, want: complete},
		{name: "slot frozen before", before: func(v scenario) { v.home.freezeFor(2 * time.Second) }, want: complete},
		{name: "cut that heals", during: func(v scenario) {
			v.s.network.partition(1, 1)
			v.s.network.partition(1, 2)
			time.AfterFunc(time.Second, v.s.network.heal)
		}, want: complete},
		{name: "kill and cut", during: func(v scenario) {
			v.s.network.partition(1, 2)
			v.entry.kill()
			time.AfterFunc(time.Second, v.s.network.heal)
		}, want: complete},
		{name: "slot kill and cut", during: func(v scenario) {
			v.s.network.partition(1, 2)
			v.home.restart()
			time.AfterFunc(time.Second, v.s.network.heal)
		}, want: unknown},
		{name: "target removed", during: func(v scenario) {
			v.s.config.Revision++
			v.s.config.Targets = slices.DeleteFunc(slices.Clone(v.s.config.Targets), func(t configuration.Target) bool {
				return t.Name == v.home.settings.Name
			})
			v.s.publish()
			v.s.await("the entries have revision 2", func() bool {
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
			q := request{path: "/v1/holds", body: "room 7", timeout: time.Second}
			q.key = entry.send(q).problem.Key
			v := scenario{s: s, entry: entry, home: s.homeOf(q.key)}
			if test.before != nil {
				test.before(v)
			}
			var wg sync.WaitGroup
			wg.Go(func() { entry.send(q) })
			if test.during != nil {
				s.await("the call runs", func() bool { return s.keyRuns(q.key) > 0 })
				test.during(v)
			}
			wg.Wait()
			if test.after != nil {
				test.after(v)
			}
			answers := s.resendUntilKnown(q, "entry-c2-0", "entry-c1-0")
			last := answers[len(answers)-1]
			is.True(s.keyRuns(q.key) <= 1)
			if test.want == complete {
				is.Equal(last.text, "done 1: room 7")
			} else {
				is.Equal(last.text, "")
				is.Equal(last.problem.Outcome, test.want)
			}
		})
	}
}

// TestOnceAnswerLost guards against a second run of a call whose answer is lost between the service and its slot:
// no HTTP client on the path may retry it.
func TestOnceAnswerLost(t *testing.T) {
	for _, body := range []string{"", "room 7"} {
		t.Run(fmt.Sprintf("body %q", body), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 1, entries: 1, services: 1})
			entry := s.processes["entry-c1-0"]
			first, keyText := entry.sendWithKey(request{path: "/v1/holds", body: body})
			is.Equal(first.text, "done 1: "+body)
			is.Equal(s.keyRuns(keyText), 1)
			s.services["hold-c1-0"].SetDropAnswers(true)
			unanswered, keyText := entry.sendWithKey(request{path: "/v1/holds", body: body})
			is.Equal(unanswered.problem.Outcome, "unknown")
			is.Equal(s.keyRuns(keyText), 1)
			again := entry.send(request{path: "/v1/holds", body: body, key: keyText})
			is.Equal(again.problem.Outcome, "unknown")
			is.Equal(s.keyRuns(keyText), 1)
		})
	}
}

func TestOnceRefusals(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, services: 1})
	entry := s.processes["entry-c1-0"]
	hold, keyText := entry.sendWithKey(request{path: "/v1/holds", body: "room 7"})
	is.Equal(hold.text, "done 1: room 7")
	tests := []struct {
		name    string
		q       request
		status  int
		outcome string
	}{
		{"own key", request{path: "/v1/holds", body: "x", key: "9f0c3a52-6f0e-4b52-8a51-3d1b6f1ab001"}, http.StatusPreconditionRequired, "not-run"},
		{"damaged key", request{path: "/v1/holds", body: "x", key: keyText[:len(keyText)-3]}, http.StatusBadRequest, "unknown"},
		{"other workspace", request{path: "/v1/holds", body: "room 7", workspace: "council", key: keyText}, http.StatusForbidden, "unknown"},
		{"other body", request{path: "/v1/holds", body: "room 8", key: keyText}, http.StatusUnprocessableEntity, "unknown"},
		{"other route", request{path: "/v1/desk", body: "room 7", key: keyText}, http.StatusConflict, "unknown"},
		{"unknown path", request{path: "/v2/none", body: "room 7", key: keyText}, http.StatusNotFound, "unknown"},
		{"same again", request{path: "/v1/holds", body: "room 7", key: keyText}, http.StatusOK, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := entry.send(test.q)
			is.Equal(a.status, test.status)
			is.Equal(a.problem.Outcome, test.outcome)
			is.Equal(a.problem.Key != "", test.status == http.StatusPreconditionRequired)
		})
	}
	is.Equal(s.keyRuns(keyText), 1)
}

// TestOnceQueueFull checks that a full queue closes the key: the caller learns that the call did not run and gets
// another key, and the old key never runs.
func TestOnceQueueFull(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, services: 1, width: 1, delay: 300 * time.Millisecond})
	entry := s.processes["entry-c1-0"]
	const callers = 8
	answers := make([]answer, callers)
	keys := make([]string, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { answers[i], keys[i] = entry.sendWithKey(request{path: "/v1/holds", body: "room"}) })
	}
	wg.Wait()
	refused := 0
	for i, a := range answers {
		if a.problem.Outcome != "not-run" {
			is.Equal(a.text, "done 1: room")
			continue
		}
		refused++
		is.True(a.problem.Key != "" && a.problem.Key != keys[i])
		is.Equal(entry.send(request{path: "/v1/holds", body: "room", key: keys[i]}).problem.Outcome, "not-run")
		is.Equal(s.keyRuns(keys[i]), 0)
	}
	is.True(refused > 0)
}
