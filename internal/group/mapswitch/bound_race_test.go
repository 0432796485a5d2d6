//go:build race

package mapswitch

// Bounds of the checks under the race detector.
const (
	boundStates = 8000
	boundPaths  = 40
)
