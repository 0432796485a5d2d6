package trace

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// dropped is the message of a line that stands for others that were left out.
const dropped = "log lines dropped"

// uneven is the skew of expert load from which a slow pass is put down to the map: half more than an even group.
const uneven = 1.5

// number reads a count; what is no number counts as none.
func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// end returns the line that tells how the request ended.
func (s *Trace) end() (l Line, ok bool) {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		if s.Lines[i].Message == "request ended" {
			return s.Lines[i], true
		}
	}
	return Line{}, false
}

// conclude draws conclusions from the lines, the nearest cause first.
func (s *Trace) conclude() (causes []string) {
	end, ok := s.end()
	if !ok {
		return []string{"No line tells the end: the entry died, still has the request, or left the line out."}
	}
	causes = append(causes, s.outcome(end))
	reason := end.Get("reason")
	switch {
	case reason == "no seat":
		causes = append(causes, s.overload()...)
	case strings.Contains(reason, "target refused"), strings.Contains(reason, "target cannot go on"):
		causes = append(causes, s.refusal(end)...)
	case strings.Contains(reason, "too old for keys"), strings.Contains(reason, "that is old"), reason == "no configuration yet":
		causes = append(causes, s.store()...)
	case strings.HasPrefix(reason, "no target"):
		causes = append(causes, s.targets()...)
	}
	causes = append(causes, s.attempts()...)
	if strings.HasPrefix(end.Get("outcome"), "status=") && end.Get("sends") == "0" && reason != "no seat" {
		return causes
	}
	return append(causes, s.pace()...)
}

// outcome tells the end in words.
func (s *Trace) outcome(end Line) string {
	verb := map[string]string{
		"served": "It was served", "left": "Its caller left", "abandoned": "Its caller left",
		"broken": "Its answer broke off, with a part delivered,",
		"failed": "The target failed it", "status=503": "It was refused, and has not run,", "status=401": "It was refused for a key that is not in force",
		"status=404": "It was refused for want of a route with its host and path", "status=502": "It was given up, and a target may have run it,",
		"status=504": "It was given up at its time limit, and a target may have run it,", "status=413": "It was refused for a body that is too long",
	}[end.Get("outcome")]
	if verb == "" {
		verb = "It ended with " + end.Get("outcome")
	}
	text := verb + " after " + end.Get("took")
	if reason := end.Get("reason"); reason != "" {
		text += " (" + reason + ")"
	}
	return text + "."
}

// overload explains a refusal for want of a seat.
func (s *Trace) overload() (causes []string) {
	for _, l := range s.Lines {
		if l.Message != "no seat" {
			continue
		}
		causes = append(causes, fmt.Sprintf("Service %s ran %s requests in %s seats; the mean pause between events was %s.",
			l.Get("service"), l.Get("running"), l.Get("seats"), l.Get("pause")))
		if l.Get("late") == "true" {
			causes = append(causes, "It could no longer be on time, so the last seats were kept for requests that could.")
		}
	}
	return causes
}

// refusal explains why a target took nothing.
func (s *Trace) refusal(end Line) []string {
	at := fault(end)
	if at == "" {
		return nil
	}
	for _, l := range s.States {
		if (l.Get("target") == at || l.Get("address") == at) && (l.Message == "target leaving" || l.Message == "target gone") {
			return []string{fmt.Sprintf("The group waits for engine %s: %s at %s.", at, l.Message, clock(l.Time))}
		}
	}
	return []string{fmt.Sprintf("The group is broken: engine %s is dead or cut off, and no line says that it left.", at)}
}

// store explains an old configuration.
func (s *Trace) store() (causes []string) {
	for _, l := range s.States {
		if l.Message == "store lost" || l.Message == "store regained" {
			causes = append(causes, fmt.Sprintf("%s at %s: %s.", l.Message, clock(l.Time), orNone(l.Get("error"))))
		}
	}
	if len(causes) == 0 {
		causes = []string{"No line of this entry says that the store was lost: it started without it, or was suspended."}
	}
	return causes
}

// targets explains an empty list of targets.
func (s *Trace) targets() (causes []string) {
	for _, l := range s.States {
		if l.Message == "store lost" {
			causes = append(causes, fmt.Sprintf("The targets could not be read from %s on: %s.", clock(l.Time), l.Get("error")))
		}
	}
	return causes
}

// attempts tells of the targets that did not serve it.
func (s *Trace) attempts() (causes []string) {
	for _, l := range s.Lines {
		if l.Message == "attempt failed" {
			causes = append(causes, fmt.Sprintf("Attempt %s at target %s ended as %s after %s: %s.",
				l.Get("attempt"), l.Get("target"), l.Get("outcome"), l.Get("took"), l.Get("reason")))
		}
	}
	return causes
}

// pace tells what made the passes of the group slow.
func (s *Trace) pace() (causes []string) {
	worst, at := 0.0, time.Time{}
	for _, l := range s.States {
		skew, err := strconv.ParseFloat(l.Get("skew"), 64)
		if l.Message == "balance" && err == nil && skew > worst {
			worst, at = skew, l.Time
		}
		if l.Message == "switch" && (l.Get("event") == "abort" || l.Get("event") == "settle") {
			causes = append(causes, fmt.Sprintf("A switch of maps was given up at %s (%s); the group stood until it was let go.", clock(l.Time), orNone(l.Get("reason"))))
		}
		if l.Message == "order" && l.Get("error") != "" {
			causes = append(causes, fmt.Sprintf("The order %s of version %s at slot %s had no answer at %s: %s.",
				l.Get("kind"), l.Get("version"), l.Instance, clock(l.Time), l.Get("error")))
		}
	}
	if worst >= uneven {
		causes = append(causes, fmt.Sprintf("Passes took %.1f times those of an even group at %s: demand for experts had shifted.", worst, clock(at)))
	}
	return causes
}

// clock writes a time of day.
func clock(t time.Time) string {
	return t.Format("15:04:05.000")
}

func orNone(text string) string {
	if text == "" {
		return "no reason given"
	}
	return text
}
