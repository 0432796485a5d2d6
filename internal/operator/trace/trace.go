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
	// lookback is how long before the arrival of a request the states of its trace begin. A peer or store that stopped
	// answering has timed out within it.
	lookback = 3 * time.Second
	// maxClockSkew is the tolerated difference between the clocks of two processes.
	maxClockSkew = 500 * time.Millisecond
	// maxStates bounds the state lines that are kept while the logs are read; beyond it the half read first is dropped.
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
	// States are the lines that report states of the processes that handled the request, and of the group of engines,
	// from lookback before its arrival to its end, and the last older one of each persistent kind.
	States []Line
	// Causes are conclusions from the lines, the most direct cause first.
	Causes []string
	// Unparsed counts lines that are not in the format of this system's logs.
	Unparsed int
	// Dropped counts lines that the processes dropped to bound their logs.
	Dropped int
}

// Read reads the logs of any number of processes, in any order, and returns the trace of a request.
func Read(r io.Reader, id string) (t *Trace, err error) {
	t = &Trace{ID: id}
	var states []Line
	t.Unparsed, err = scan(r, func(l Line) {
		switch {
		case l.Message == droppedMessage:
			t.Dropped += parseCount(l.Get("count"))
		case l.Get("id") == id:
			t.Lines = append(t.Lines, l)
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
	if len(t.Lines) == 0 {
		return nil, merry.Wrap(ErrUnknown, merry.AppendMessage(id))
	}
	slices.SortStableFunc(t.Lines, byTime)
	t.States = t.selectStates(states)
	t.Causes = t.findCauses()
	return t, nil
}

func byTime(a, b Line) int {
	return a.Time.Compare(b.Time)
}

// span returns the time from the request's arrival to its last line.
func (t *Trace) span() (from, to time.Time) {
	from, to = t.Lines[0].Time, t.Lines[len(t.Lines)-1].Time
	for _, l := range t.Lines {
		if took, err := time.ParseDuration(l.Get("took")); err == nil && l.Time.Add(-took).Before(from) {
			from = l.Time.Add(-took)
		}
	}
	return from, to
}

// persistentKinds are the messages of states that hold, however old, until the process logs the same message again.
var persistentKinds = []string{"start", "reload", "store lost", "store regained", "configuration in force", "centre evacuated"}

// selectStates returns the states that concern the request, in order of time.
func (t *Trace) selectStates(states []Line) (selected []Line) {
	slices.SortStableFunc(states, byTime)
	from, to := t.span()
	involved := t.findParticipants()
	// latest holds the last earlier line of each process, persistent kind, call and data centre.
	latest := map[string]Line{}
	for _, l := range states {
		if l.Time.After(to.Add(maxClockSkew)) || !involved.concerns(l) {
			continue
		}
		if l.Get("fingerprint") != "" {
			// What became of equal requests counts however old it is.
			selected = append(selected, l)
		} else if !l.Time.Before(from.Add(-lookback)) {
			selected = append(selected, l)
		} else if slices.Contains(persistentKinds, l.Message) {
			latest[l.Instance+" "+l.Message+" "+l.Get("call")+l.Get("centre")] = l
		}
	}
	for _, l := range latest {
		selected = append(selected, l)
	}
	slices.SortStableFunc(selected, byTime)
	return selected
}

// participants are the processes that handled a request, the targets it was sent to, and its fingerprint.
type participants struct {
	instances, targets, fingerprints map[string]bool
}

// findParticipants returns the processes and targets that the lines of the request name.
func (t *Trace) findParticipants() participants {
	p := participants{instances: map[string]bool{}, targets: map[string]bool{}, fingerprints: map[string]bool{}}
	for _, l := range t.Lines {
		p.instances[l.Instance] = true
		p.targets[l.Get("target")] = true
		p.targets[faultyEngine(l)] = true
		p.fingerprints[l.Get("fingerprint")] = true
		p.fingerprints[l.Get("suspect")] = true
	}
	return p
}

// concerns reports whether a state is relevant to the request. A line that names a target must be about one that the
// request was sent to, and come from a process that handled it. Lines on the balance, the engines and the map switches
// of the group always count, except a switch's events on single orders; orders count only if they failed or were
// refused. A line on equal requests counts, whichever process logged it. Any other line counts if a process that handled
// the request logged it.
func (p *participants) concerns(l Line) bool {
	if fingerprint := l.Get("fingerprint"); fingerprint != "" {
		return p.fingerprints[fingerprint]
	}
	if target := l.Get("target"); target != "" {
		return p.instances[l.Instance] && (p.targets[target] || p.targets[l.Get("address")])
	}
	switch l.Message {
	case "balance", "pace", "engine lost", "engine regained":
		return true
	case "switch":
		return !strings.HasPrefix(l.Get("event"), "order")
	case "order":
		return l.Get("error") != "" || l.Get("refused") == "true"
	}
	return p.instances[l.Instance]
}

// faultyEngine returns the engine that an answer named as faulty, or an empty string.
func faultyEngine(l Line) string {
	_, id, _ := strings.Cut(l.Get("reason"), "fault ")
	return strings.TrimSuffix(id, ")")
}
