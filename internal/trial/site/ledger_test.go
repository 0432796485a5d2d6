package site

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/service"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// resultAt returns the result of a request that took a millisecond and ended at a time after the start.
func resultAt(at time.Duration, text string, complete bool, outcome string) *apiResult {
	return &apiResult{text: text, complete: complete, problem: problem{Outcome: outcome}, began: start.Add(at - time.Millisecond), ended: start.Add(at)}
}

func TestLedgerFindsViolations(t *testing.T) {
	tests := []struct {
		name      string
		record    func(l *ledger, s *service.Service)
		invariant string
	}{
		{"wrong bytes", func(l *ledger, _ *service.Service) {
			l.record("a", apiRequest{path: "/x"}, resultAt(0, "wrong", true, ""), func(text string) bool { return text == "right" })
		}, "complete and correct"},
		{"truncated without a fault", func(l *ledger, _ *service.Service) {
			l.record("a", apiRequest{path: "/x"}, resultAt(0, "half", false, "failed"), nil)
		}, "without a fault"},
		{"no end event", func(l *ledger, _ *service.Service) {
			l.record("a", apiRequest{path: "/x"}, resultAt(0, "half", false, ""), nil)
		}, "without a fault"},
		{"truncated after the fault", func(l *ledger, _ *service.Service) {
			l.beginFault(start)
			l.endFault(start.Add(time.Second))
			l.record("a", apiRequest{path: "/x"}, resultAt(2*time.Second, "half", false, "failed"), nil)
		}, "without a fault"},
		{"executed twice", func(l *ledger, s *service.Service) {
			s.Execute("k")
			s.Execute("k")
			l.record("a", apiRequest{key: "k"}, resultAt(0, "done 1: ", true, ""), serviceAnswer(""))
		}, "at most once"},
		{"not run and yet executed", func(l *ledger, s *service.Service) {
			s.Execute("k")
			l.record("a", apiRequest{key: "k"}, resultAt(0, "", false, "not-run"), nil)
		}, "never executed"},
		{"two answers to one key", func(l *ledger, _ *service.Service) {
			for _, text := range []string{"done 1: ", "done 2: "} {
				l.record("a", apiRequest{key: "k"}, resultAt(0, text, true, ""), serviceAnswer(""))
			}
		}, "same answer"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := reportOf(test.record)
			for _, v := range r.Invariants {
				is.Equal(v.Violations > 0, strings.Contains(v.Name, test.invariant)) // only this invariant is violated
			}
			is.True(!r.Held())
		})
	}
}

// reportOf returns the report of a trial whose callers' results are those that record records.
func reportOf(record func(*ledger, *service.Service)) *Report {
	s := service.New(service.Options{})
	t := &trial{ledger: newLedger(start), watch: &revisionWatch{}, site: &Site{services: map[string]*service.Service{"hold": s}}, loadTime: time.Second}
	record(t.ledger, s)
	return t.report()
}

func TestErrorDuringFaultIsNoViolation(t *testing.T) {
	is := is.New(t)
	r := reportOf(func(l *ledger, _ *service.Service) {
		l.beginFault(start)
		l.record("a", apiRequest{path: "/x"}, resultAt(time.Second, "half", false, "failed"), nil)
		l.endFault(start.Add(time.Second))
	})
	for _, v := range r.Invariants {
		is.Equal(v.Violations, 0)
	}
}

func TestErrorDuringPauseIsExplained(t *testing.T) {
	is := is.New(t)
	l := newLedger(start)
	l.recordPause(start, start.Add(pollInterval))
	is.Equal(len(l.pauses), 0)
	l.recordPause(start, start.Add(pauseThreshold))
	is.True(l.duringFault(resultAt(time.Second, "", false, "failed")))
	is.True(!l.duringFault(resultAt(time.Minute, "", false, "failed")))
}

func TestWatchFindsRegression(t *testing.T) {
	is := is.New(t)
	w := &revisionWatch{latest: map[string]int64{}}
	for _, revision := range []int64{1, 2, 0, 2} {
		w.record("entry-1", revision)
	}
	_, regressions := w.result()
	is.Equal(len(regressions), 0)
	w.record("entry-1", 1)
	_, regressions = w.result()
	is.Equal(regressions, []string{"entry-1 went back from revision 2 to 1"})
}
