package site

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/service"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// answer returns a reply of a millisecond that ended some time after the start.
func answer(at time.Duration, text string, whole bool, outcome string) *reply {
	return &reply{text: text, whole: whole, problem: problem{Outcome: outcome}, began: start.Add(at - time.Millisecond), ended: start.Add(at)}
}

func TestLedgerFindsBrokenPromises(t *testing.T) {
	tests := []struct {
		name    string
		take    func(l *ledger, s *service.Service)
		promise string
	}{
		{"wrong bytes", func(l *ledger, _ *service.Service) {
			l.take("a", question{path: "/x"}, answer(0, "wrong", true, ""), func(text string) bool { return text == "right" })
		}, "whole and right"},
		{"broken off without a fault", func(l *ledger, _ *service.Service) {
			l.take("a", question{path: "/x"}, answer(0, "half", false, "failed"), nil)
		}, "without a fault"},
		{"no mark of the end", func(l *ledger, _ *service.Service) {
			l.take("a", question{path: "/x"}, answer(0, "half", false, ""), nil)
		}, "without a fault"},
		{"broken off after the fault", func(l *ledger, _ *service.Service) {
			l.begin(start)
			l.end(start.Add(time.Second))
			l.take("a", question{path: "/x"}, answer(2*time.Second, "half", false, "failed"), nil)
		}, "without a fault"},
		{"executed twice", func(l *ledger, s *service.Service) {
			s.Execute("k")
			s.Execute("k")
			l.take("a", question{key: "k"}, answer(0, "done 1: ", true, ""), ends(""))
		}, "at most once"},
		{"not run and yet executed", func(l *ledger, s *service.Service) {
			s.Execute("k")
			l.take("a", question{key: "k"}, answer(0, "", false, "not-run"), nil)
		}, "never executed"},
		{"two answers to one key", func(l *ledger, _ *service.Service) {
			for _, text := range []string{"done 1: ", "done 2: "} {
				l.take("a", question{key: "k"}, answer(0, text, true, ""), ends(""))
			}
		}, "same answer"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := reportOf(test.take)
			for _, p := range r.Promises {
				is.Equal(p.Broken > 0, strings.Contains(p.Name, test.promise)) // only this promise is broken
			}
			is.True(!r.Held())
		})
	}
}

// reportOf returns the report of a trial in which callers saw what take notes.
func reportOf(take func(*ledger, *service.Service)) *Report {
	s := service.New(service.Options{})
	t := &trial{ledger: newLedger(start), watch: &watch{}, site: &Site{services: map[string]*service.Service{"hold": s}}, served: time.Second}
	take(t.ledger, s)
	return t.report()
}

func TestFaultExcuses(t *testing.T) {
	is := is.New(t)
	r := reportOf(func(l *ledger, _ *service.Service) {
		l.begin(start)
		l.take("a", question{path: "/x"}, answer(time.Second, "half", false, "failed"), nil)
		l.end(start.Add(time.Second))
	})
	for _, p := range r.Promises {
		is.Equal(p.Broken, 0)
	}
}

func TestPauseExcuses(t *testing.T) {
	is := is.New(t)
	l := newLedger(start)
	l.notePause(start, start.Add(pollInterval))
	is.Equal(len(l.pauses), 0)
	l.notePause(start, start.Add(pauseLimit))
	is.True(l.excused(answer(time.Second, "", false, "failed")))
	is.True(!l.excused(answer(time.Minute, "", false, "failed")))
}

func TestWatchFindsAFall(t *testing.T) {
	is := is.New(t)
	w := &watch{seen: map[string]int64{}}
	for _, revision := range []int64{1, 2, 0, 2} {
		w.note("entry-1", revision)
	}
	_, falls := w.result()
	is.Equal(len(falls), 0)
	w.note("entry-1", 1)
	_, falls = w.result()
	is.Equal(falls, []string{"entry-1 fell from revision 2 to 1"})
}
