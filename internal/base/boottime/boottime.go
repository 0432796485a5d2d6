// Package boottime reads a clock that also counts the time for which the machine was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures ages; the zero value is not usable.
type Clock struct {
	// read returns the time since the machine's start.
	read func() (time.Duration, error)
	// started is the first reading.
	started time.Duration
}

// New returns a Clock on CLOCK_BOOTTIME.
func New() (c *Clock, err error) {
	c = &Clock{read: readBoot}
	c.started, err = c.read()
	return c, err
}

func readBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the time since New. Where the clock fails, it returns false and no age may be trusted.
func (c *Clock) Now() (time.Duration, bool) {
	now, err := c.read()
	return now - c.started, err == nil
}
