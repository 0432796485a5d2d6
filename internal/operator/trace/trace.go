// Package trace explains from the logs of all processes what happened to one request and why.
package trace

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// lookback is how long before the arrival of a request events of the processes are part of its trace.
	// It covers the time after which a peer or store that does not answer has timed out.
	lookback = 3 * time.Second
	// maxClockSkew is the tolerated difference between the clocks of two processes.
	maxClockSkew = 500 * time.Millisecond
	// maxStates bounds the event lines that are kept while a log is read; beyond it those read first are dropped.
	maxStates = 1 << 18
)

// ErrUnknown reports that no line names the request.
var ErrUnknown = merry.Sentinel("no line of the log names the request")

// Trace holds the log lines that concern one request and the conclusions from them.
type Trace struct {
	// ID is the ID of the request.
	ID string
	// Lines are the lines that name the request, in order of time.
	Lines []Line
	// States are the lines that report state changes of the processes that handled the request, and of the group
	// of engines, shortly before its end.
	States []Line
	// Causes are conclusions from the lines, the most direct cause first.
	Causes []string
	// Unread counts lines that are not in the format of this system's logs.
	Unread int
	// Dropped counts lines that the processes dropped to bound their logs.
	Dropped int
}

// Read reads the logs of any number of processes, in any order, and returns the trace of a request.
func Read(r io.Reader, id string) (s *Trace, err error) {
	s = &Trace{ID: id}
	var states []Line
	s.Unread, err = scan(r, func(l Line) {
		switch {
		case l.Message == droppedMessage:
			s.Dropped += parseCount(l.Get("count"))
		case l.Get("id") == id:
			s.Lines = append(s.Lines, l)
		case l.Get("id") == "":
			states = append(states, l)
			if len(states) > maxStates {
				states = slices.Clone(states[maxStates/2:])
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
	s.States = s.selectStates(states)
	s.Causes = s.findCauses()
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

// persistentKinds are the messages of states that hold until the next line with the same message, however old they are.
var persistentKinds = []string{"start", "reload", "store lost", "store regained", "configuration in force"}

// selectStates returns the states that concern the request, in order of time.
func (s *Trace) selectStates(states []Line) (selected []Line) {
	slices.SortStableFunc(states, byTime)
	from, to := s.span()
	involved := s.findParticipants()
	// latest holds the last line of each persistent kind before the time span of the trace.
	latest := map[string]Line{}
	for _, l := range states {
		if l.Time.After(to.Add(maxClockSkew)) || !involved.concerns(l) {
			continue
		}
		if !l.Time.Before(from.Add(-lookback)) {
			selected = append(selected, l)
		} else if slices.Contains(persistentKinds, l.Message) {
			latest[l.Instance+" "+l.Message+" "+l.Get("call")] = l
		}
	}
	for _, l := range latest {
		selected = append(selected, l)
	}
	slices.SortStableFunc(selected, byTime)
	return selected
}

// participants are the processes that handled a request and the targets it was sent to.
type participants struct {
	instances, targets map[string]bool
}

// findParticipants returns the processes and targets that the lines of the request name.
func (s *Trace) findParticipants() participants {
	m := participants{instances: map[string]bool{}, targets: map[string]bool{}}
	for _, l := range s.Lines {
		m.instances[l.Instance] = true
		m.targets[l.Get("target")] = true
		m.targets[faultyEngine(l)] = true
	}
	return m
}

// concerns reports whether a state is relevant to the request: it is one of an entry that handled the request, of a
// target that the request was sent to, or of a map switch of the group.
func (m *participants) concerns(l Line) bool {
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

// faultyEngine returns the engine that an answer named as faulty, or an empty string.
func faultyEngine(l Line) string {
	_, id, _ := strings.Cut(l.Get("reason"), "fault ")
	return strings.TrimSuffix(id, ")")
}
