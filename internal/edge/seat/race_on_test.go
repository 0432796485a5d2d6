//go:build race

package seat

// raceFactor is the factor by which the race detector slows the code down.
const raceFactor = 15
