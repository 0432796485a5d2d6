package hold

const (
	// SlowPace is the pace from which an engine counts as slow: the paces of engines without a fault vary by about a tenth.
	SlowPace = 1.25
	// VerySlowPace is the pace from which an engine gets as little work as possible.
	VerySlowPace = 3
	// maxPace is the largest pace that counts.
	maxPace = 100
)

// BoundPace returns the pace of an engine that reports the given one: at least 1 and at most maxPace.
func BoundPace(reported float64) float64 {
	// The condition is also true if the reported pace is not a number.
	if !(reported >= 1) {
		return 1
	}
	return min(reported, maxPace)
}
