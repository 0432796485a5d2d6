package trace

import (
	"fmt"
	"time"
)

// explainQueue explains from the line of a refusal why the request did not wait for a seat, or no longer. Lines of earlier versions
// have no fields on the queue.
func explainQueue(l Line) (causes []string) {
	waited, err := time.ParseDuration(l.Get("waited"))
	if err != nil {
		return nil
	}
	switch {
	case l.Get("above") == "true":
		causes = append(causes, fmt.Sprintf("Workspace %q had more than its fair share of the seats while another lacked them.", l.Get("workspace")))
	case waited < time.Millisecond:
		causes = append(causes, fmt.Sprintf("No seat was expected in time for it behind the %s requests that waited at its entry.", l.Get("waiting")))
	default:
		causes = append(causes, fmt.Sprintf("It waited for %s; then no seat was expected in time any more.", l.Get("waited")))
	}
	if l.Get("returned") == "true" {
		causes = append(causes, "Its caller had been refused before and had returned; the part of the seats for returned callers was used up.")
	}
	return append(causes, fmt.Sprintf("Its caller was promised a seat after %s.", l.Get("retry")))
}
