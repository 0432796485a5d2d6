//go:build race

package edge

// shareStretch multiplies the times of TestSmallWorkspaceBesideLargeOne.
const shareStretch = 4
