package hold

import "time"

const (
	// SlowPace is the pace from which an engine counts as slow: the paces of engines without a fault vary by about a tenth.
	SlowPace = 1.25
	// VerySlowPace is the pace from which an engine gets as little work as possible.
	VerySlowPace = 3
	// maxPace is the largest pace that counts.
	maxPace = 100
	// paceMemory is the time for which a higher pace counts. Without it, a pace that varies around a threshold would move experts and
	// requests to and fro.
	paceMemory = time.Second
)

// BoundPace returns the pace of an engine that reports the given one: at least 1 and at most maxPace.
func BoundPace(reported float64) float64 {
	// The condition is also true if the reported pace is not a number.
	if !(reported >= 1) {
		return 1
	}
	return min(reported, maxPace)
}

// PaceFilter turns the reported paces of an engine into one that rises at once and falls after paceMemory. The zero value is
// ready to use.
type PaceFilter struct {
	// peak is the pace that counts, as last reached at peakAt by the engine that started at startUnixMilli.
	peak           float64
	peakAt         time.Time
	startUnixMilli int64
}

// Add adds the pace of a report and returns the one that counts, which is zero if the report has none.
func (f *PaceFilter) Add(now time.Time, e *Engine) float64 {
	if e.Pace == 0 || e.Pace >= f.peak || now.Sub(f.peakAt) > paceMemory || e.StartUnixMilli != f.startUnixMilli {
		f.peak, f.peakAt, f.startUnixMilli = e.Pace, now, e.StartUnixMilli
	}
	return f.peak
}
