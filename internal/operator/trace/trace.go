// Package trace tells from the logs of all processes what happened to one request and why.
package trace

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// before is how long before a request what a process knew is part of its trace: the time in which
	// a silent peer or store is noticed.
	before = 3 * time.Second
	// skew is the allowed difference of two processes' clocks.
	skew = 500 * time.Millisecond
	// mostStates bounds the lines that are kept while a log is read; of more the oldest read are dropped.
	mostStates = 1 << 18
)

// ErrUnknown reports a request that no line names.
var ErrUnknown = merry.Sentinel("no line of the log names the request")

// Trace is what logs say of one request.
type Trace struct {
	// ID is the request's.
	ID string
	// Lines name the request, in order of time.
	Lines []Line
	// States are what the processes that met it, and the group of engines, came to know shortly before its end.
	States []Line
	// Causes are conclusions from the lines, the nearest cause first.
	Causes []string
	// Unread counts lines that are not in the format of this system's logs.
	Unread int
	// Dropped counts lines that the processes left out of their logs to keep them bounded.
	Dropped int
}

// Read reads the logs of any number of processes, in any order, and returns the trace of a request.
func Read(r io.Reader, id string) (s *Trace, err error) {
	s = &Trace{ID: id}
	var states []Line
	s.Unread, err = scan(r, func(l Line) {
		switch {
		case l.Message == dropped:
			s.Dropped += number(l.Get("count"))
		case l.Get("id") == id:
			s.Lines = append(s.Lines, l)
		case l.Get("id") == "":
			states = append(states, l)
			if len(states) > mostStates {
				states = slices.Clone(states[mostStates/2:])
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if len(s.Lines) == 0 {
		return nil, merry.Wrap(ErrUnknown, merry.AppendMessage(id))
	}
	slices.SortStableFunc(s.Lines, byTime)
	s.States = s.choose(states)
	s.Causes = s.conclude()
	return s, nil
}

func byTime(a, b Line) int {
	return a.Time.Compare(b.Time)
}

// span returns the time from the request's arrival to its last line.
func (s *Trace) span() (from, to time.Time) {
	from, to = s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time
	for _, l := range s.Lines {
		if took, err := time.ParseDuration(l.Get("took")); err == nil && l.Time.Add(-took).Before(from) {
			from = l.Time.Add(-took)
		}
	}
	return from, to
}

// lasting are the kinds of state that hold until the next one of their kind, however old they are.
var lasting = []string{"start", "reload", "store lost", "store regained", "configuration in force"}

// choose returns the states that bear on the request, in order of time.
func (s *Trace) choose(states []Line) (chosen []Line) {
	slices.SortStableFunc(states, byTime)
	from, to := s.span()
	met := s.met()
	// newest holds the last of each lasting kind before the time of the trace.
	newest := map[string]Line{}
	for _, l := range states {
		if l.Time.After(to.Add(skew)) || !met.bears(l) {
			continue
		}
		if !l.Time.Before(from.Add(-before)) {
			chosen = append(chosen, l)
		} else if slices.Contains(lasting, l.Message) {
			newest[l.Instance+" "+l.Message+" "+l.Get("call")] = l
		}
	}
	for _, l := range newest {
		chosen = append(chosen, l)
	}
	slices.SortStableFunc(chosen, byTime)
	return chosen
}

// meetings are the processes and targets that a request met.
type meetings struct {
	instances, targets map[string]bool
}

// met returns what the request met.
func (s *Trace) met() meetings {
	m := meetings{instances: map[string]bool{}, targets: map[string]bool{}}
	for _, l := range s.Lines {
		m.instances[l.Instance] = true
		m.targets[l.Get("target")] = true
		m.targets[fault(l)] = true
	}
	return m
}

// bears reports whether a state bears on the request: those of the entries that had it, of the targets that it
// was sent to, and of the group's switches.
func (m *meetings) bears(l Line) bool {
	if target := l.Get("target"); target != "" {
		return m.instances[l.Instance] && (m.targets[target] || m.targets[l.Get("address")])
	}
	switch l.Message {
	case "balance", "engine lost", "engine regained":
		return true
	case "switch":
		return !strings.HasPrefix(l.Get("event"), "order")
	case "order":
		return l.Get("error") != "" || l.Get("refused") == "true"
	}
	return m.instances[l.Instance]
}

// fault returns the engine that an answer named as the one at fault, or an empty string.
func fault(l Line) string {
	_, id, _ := strings.Cut(l.Get("reason"), "fault ")
	return strings.TrimSuffix(id, ")")
}
