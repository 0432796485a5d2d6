package trace

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// droppedMessage is the message of a line that reports how many lines a process dropped from its log.
const droppedMessage = "log lines dropped"

// skewThreshold is the skew of expert load from which slow steps are attributed to the expert map.
// At 1.5, steps take 1.5 times as long as those of an evenly loaded group.
const skewThreshold = 1.5

// parseCount parses a count; it returns zero for a text that is not a number.
func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// endLine returns the line that reports the end of the request.
func (t *Trace) endLine() (l Line, ok bool) {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if t.Lines[i].Message == "request ended" {
			return t.Lines[i], true
		}
	}
	return Line{}, false
}

// findCauses infers from the lines what happened to the request and why, the most direct cause first.
func (t *Trace) findCauses() (causes []string) {
	end, ok := t.endLine()
	if !ok {
		return []string{"No line reports the end: the entry crashed, is still processing the request, or dropped the line."}
	}
	causes = append(causes, t.describeOutcome(end))
	reason := end.Get("reason")
	switch {
	case reason == "no seat":
		causes = append(causes, t.explainOverload()...)
	case strings.Contains(reason, "target refused"), strings.Contains(reason, "target cannot go on"):
		causes = append(causes, t.explainRefusal(end)...)
	case strings.Contains(reason, "too old for keys"), strings.Contains(reason, "that is old"), reason == "no configuration yet":
		causes = append(causes, t.explainStaleConfiguration()...)
	case strings.HasPrefix(reason, "the targets take no more requests"):
		causes = append(causes, t.explainLimits()...)
	case strings.HasPrefix(reason, "the targets have asked for rest"):
		causes = append(causes, t.explainRests()...)
	case strings.HasPrefix(reason, "all data centres with targets"):
		causes = append(causes, t.explainEvacuation()...)
	case strings.HasPrefix(reason, "no memory"):
		causes = append(causes, t.explainMemory()...)
	case strings.HasPrefix(reason, "no target"):
		causes = append(causes, t.explainMissingTargets()...)
	}
	causes = append(causes, t.explainSuspicion()...)
	causes = append(causes, t.describeFailedAttempts()...)
	if strings.HasPrefix(end.Get("outcome"), "status=") && end.Get("sends") == "0" && reason != "no seat" {
		return causes
	}
	return append(append(causes, t.explainSlowSteps()...), t.explainPaces()...)
}

// describeOutcome returns a sentence on how the request ended.
func (t *Trace) describeOutcome(end Line) string {
	verb := map[string]string{
		"served": "It was served", "left": "Its caller left", "abandoned": "Its caller left",
		"broken": "Its answer was truncated, with a part delivered,",
		"failed": "The target failed to process it", "status=503": "It was refused, and has not run,", "status=401": "It was refused because its key is not in force",
		"status=404": "It was refused because no route matches its host and path", "status=502": "It was given up, and a target may have run it,",
		"status=422": "It was refused, as equal requests ended their targets,",
		"status=504": "It was given up at its time limit, and a target may have run it,", "status=413": "It was refused because its body is too long",
	}[end.Get("outcome")]
	if end.Get("outcome") == "status=422" && end.Get("suspect") != "" {
		verb = "It was refused, as prompts with a part of this one ended their targets,"
	}
	if verb == "" {
		verb = "It ended with " + end.Get("outcome")
	}
	text := verb + " after " + end.Get("took")
	if reason := end.Get("reason"); reason != "" {
		text += " (" + reason + ")"
	}
	return text + "."
}

// explainOverload explains a refusal because no seat was free.
func (t *Trace) explainOverload() (causes []string) {
	for _, l := range t.Lines {
		if l.Message != "no seat" {
			continue
		}
		causes = append(causes, fmt.Sprintf("Service %s ran %s requests in %s seats; the mean gap between events was %s.",
			l.Get("service"), l.Get("running"), l.Get("seats"), l.Get("pause")))
		if l.Get("late") == "true" {
			causes = append(causes, "It could no longer meet its deadline, so the last seats were reserved for requests that could.")
		}
		causes = append(causes, explainQueue(l)...)
	}
	return causes
}

// explainLimits explains a refusal because of the limits that targets name, or of what they sustain while they are cold.
func (t *Trace) explainLimits() (causes []string) {
	for _, l := range t.Lines {
		if l.Message == "no permit" {
			causes = append(causes, fmt.Sprintf("The targets of service %s have named limits of %s requests a second together; the next permit was due after %s.",
				l.Get("service"), l.Get("rate"), l.Get("wait")))
			if cold := l.Get("cold"); cold != "" && cold != "0" {
				causes = append(causes, fmt.Sprintf("%s of them were cold and counted with what they sustain after a start.", cold))
			}
		}
	}
	return causes
}

// explainRests explains a refusal because targets have asked for rest.
func (t *Trace) explainRests() (causes []string) {
	for _, l := range t.Lines {
		if l.Message == "targets rest" {
			causes = append(causes, fmt.Sprintf("The targets of service %s had turned requests away and asked for rest; the first took requests again after %s.",
				l.Get("service"), l.Get("wait")))
		}
	}
	return causes
}

// explainEvacuation explains a refusal because all data centres with targets of a service were evacuated.
func (t *Trace) explainEvacuation() (causes []string) {
	for _, l := range t.Lines {
		if l.Message != "service evacuated" {
			continue
		}
		causes = append(causes, fmt.Sprintf("Operators had evacuated all data centres with targets of service %s: %s.", l.Get("service"), l.Get("centres")))
		for _, s := range t.States {
			if s.Message == "centre evacuated" && s.Instance == l.Instance && slices.Contains(strings.Split(l.Get("centres"), ","), s.Get("centre")) {
				causes = append(causes, fmt.Sprintf("Data centre %s was evacuated at %s.", s.Get("centre"), formatClock(s.Time)))
			}
		}
	}
	return causes
}

// explainMemory explains a refusal because callers held the memory of the entry.
func (t *Trace) explainMemory() (causes []string) {
	for _, l := range t.Lines {
		if l.Message == "no memory" {
			causes = append(causes, fmt.Sprintf("It needed %s bytes, and all requests at entry %s together held %s: callers send or read slowly, or its workspace held its part.",
				l.Get("wanted"), l.Instance, l.Get("used")))
		}
	}
	return causes
}

// explainRefusal explains why a target refused the request.
func (t *Trace) explainRefusal(end Line) []string {
	engine := faultyEngine(end)
	if engine == "" {
		return nil
	}
	for _, l := range t.States {
		if (l.Get("target") == engine || l.Get("address") == engine) && (l.Message == "target leaving" || l.Message == "target gone") {
			return []string{fmt.Sprintf("The group waits for engine %s: %s at %s.", engine, l.Message, formatClock(l.Time))}
		}
	}
	return []string{fmt.Sprintf("The group cannot run: engine %s has crashed or is unreachable, and no line reports that it left.", engine)}
}

// explainStaleConfiguration explains why an entry had no configuration or a stale one.
func (t *Trace) explainStaleConfiguration() (causes []string) {
	for _, l := range t.States {
		if l.Message == "store lost" || l.Message == "store regained" {
			causes = append(causes, fmt.Sprintf("%s at %s: %s.", l.Message, formatClock(l.Time), reasonOrDefault(l.Get("error"))))
		}
	}
	if len(causes) == 0 {
		causes = []string{"No line of this entry reports that the store was lost: the entry started without it, or was suspended."}
	}
	return causes
}

// explainMissingTargets explains why an entry knew no target.
func (t *Trace) explainMissingTargets() (causes []string) {
	for _, l := range t.States {
		if l.Message == "store lost" {
			causes = append(causes, fmt.Sprintf("The targets could not be read since %s: %s.", formatClock(l.Time), l.Get("error")))
		}
	}
	return causes
}

// explainSuspicion names the targets that ended under equal requests.
func (t *Trace) explainSuspicion() (causes []string) {
	named := map[string]bool{}
	parts := map[string]bool{}
	for _, l := range t.Lines {
		parts[l.Get("suspect")] = true
	}
	for _, l := range t.States {
		if target := l.Get("target"); l.Message == "target ended under a request" && !named[target] {
			named[target] = true
			what := "an equal request"
			if parts[l.Get("fingerprint")] {
				what = "a prompt with the same part"
			}
			causes = append(causes, fmt.Sprintf("Target %s ended at %s while it ran %s (fingerprint %s).", target, formatClock(l.Time), what, l.Get("fingerprint")))
		}
	}
	return causes
}

// describeFailedAttempts returns a sentence for each attempt that failed.
func (t *Trace) describeFailedAttempts() (causes []string) {
	for _, l := range t.Lines {
		if l.Message == "attempt failed" {
			causes = append(causes, fmt.Sprintf("Attempt %s at target %s ended as %s after %s: %s.",
				l.Get("attempt"), l.Get("target"), l.Get("outcome"), l.Get("took"), l.Get("reason")))
		}
	}
	return causes
}

// explainSlowSteps explains what made the steps of the group slow.
func (t *Trace) explainSlowSteps() (causes []string) {
	worstSkew, at, cause := 0.0, time.Time{}, ""
	for _, l := range t.States {
		skew, err := strconv.ParseFloat(l.Get("skew"), 64)
		if l.Message == "balance" && err == nil && skew > worstSkew {
			worstSkew, at, cause = skew, l.Time, slowReason(l)
		}
		if l.Message == "switch" && (l.Get("event") == "abort" || l.Get("event") == "settle") {
			causes = append(causes, fmt.Sprintf("A switch of expert maps was given up at %s (%s); the group was paused until its ranks were released.", formatClock(l.Time), reasonOrDefault(l.Get("reason"))))
		}
		if l.Message == "order" && l.Get("error") != "" {
			causes = append(causes, fmt.Sprintf("The order %s of version %s at slot %s had no answer at %s: %s.",
				l.Get("kind"), l.Get("version"), l.Instance, formatClock(l.Time), l.Get("error")))
		}
	}
	if worstSkew >= skewThreshold {
		causes = append(causes, fmt.Sprintf("Steps took %.1f times those of an evenly loaded group at %s: %s.", worstSkew, formatClock(at), cause))
	}
	return causes
}

// formatClock returns the time of day with milliseconds.
func formatClock(t time.Time) string {
	return t.Format("15:04:05.000")
}

func reasonOrDefault(text string) string {
	if text == "" {
		return "no reason given"
	}
	return text
}
