// Package boottime provides a monotonic clock that includes the time in which the machine was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since New; the zero value is not usable.
type Clock struct {
	// read returns the time since boot.
	read func() (time.Duration, error)
	// start is the reading in New.
	start time.Duration
}

// New returns a Clock on CLOCK_BOOTTIME.
func New() (c *Clock, err error) {
	c = &Clock{read: readBootTime}
	c.start, err = c.read()
	return c, err
}

func readBootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the time since New, or false if the clock could not be read; then no age may be relied on.
func (c *Clock) Now() (time.Duration, bool) {
	now, err := c.read()
	return now - c.start, err == nil
}
