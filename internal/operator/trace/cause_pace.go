package trace

import (
	"cmp"
	"fmt"
	"slices"
)

// explainPaces explains which engines became slow, and which groups had no events at an entry.
func (t *Trace) explainPaces() (causes []string) {
	for _, l := range t.States {
		switch {
		case l.Message == "pace" && l.Get("event") == "slow" && l.Get("target") != "":
			causes = append(causes, fmt.Sprintf("Target %s was %s times slower than usual from %s on.", l.Get("target"), l.Get("pace"), formatClock(l.Time)))
		case l.Message == "pace" && l.Get("event") == "slow":
			text := fmt.Sprintf("Rank %s of group %s was %s times slower than usual", l.Get("rank"), l.Get("group"), l.Get("pace"))
			// The slot of the rank and that of the leader both log it.
			if !slices.ContainsFunc(causes, func(c string) bool { return len(c) > len(text) && c[:len(text)] == text }) {
				causes = append(causes, fmt.Sprintf("%s from %s on.", text, formatClock(l.Time)))
			}
		case l.Message == "stall" && l.Get("event") == "begun":
			causes = append(causes, fmt.Sprintf("The %s streams of %s at group %s had no event for %s at %s.", l.Get("running"), l.Instance, l.Get("group"), l.Get("quiet"), formatClock(l.Time)))
		}
	}
	return causes
}

// slowReason returns what made the steps slow that a line on the balance reports.
func slowReason(balance Line) string {
	if slow := cmp.Or(balance.Get("slow"), "0"); slow != "0" {
		return "slow ranks: " + slow
	}
	return "demand for experts had shifted"
}
