//go:build !race

package mapswitch

// Bounds of the checks without the race detector.
const (
	boundStates = 150000
	boundPaths  = 1000
)
