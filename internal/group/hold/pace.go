package hold

// maxPace is the largest pace that counts.
const maxPace = 100

// BoundPace returns the pace of an engine that reports the given one: at least 1 and at most maxPace.
func BoundPace(reported float64) float64 {
	// The condition is also true if the reported pace is not a number.
	if !(reported >= 1) {
		return 1
	}
	return min(reported, maxPace)
}
