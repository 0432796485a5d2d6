package answer

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxWait is the longest wait of a target that is followed. A target that restarts is another one, without a wait.
const MaxWait = time.Hour

// ErrNoBody reports that a connection ended after the headers of an answer that has no length.
var ErrNoBody = merry.Sentinel("connection ended after the headers")

// Number decodes a non-negative number that all values of a header agree on; it may be infinite if it has too many digits.
func Number(header string, values []string) (number float64, err error) {
	number, err = strconv.ParseFloat(values[0], 64)
	switch {
	case slices.ContainsFunc(values, func(v string) bool { return v != values[0] }):
		return 0, merry.Errorf("header %s: contradicting values %q", header, values)
	case err != nil && !errors.Is(err, strconv.ErrRange), math.IsNaN(number), err == nil && math.IsInf(number, 0), number < 0:
		return 0, merry.Errorf("header %s: %q is not a non-negative number", header, values[0])
	}
	return number, nil
}

// Wait decodes a time in seconds, or zero if there are no values. One above MaxWait is decoded as MaxWait.
func Wait(header string, values []string) (time.Duration, error) {
	if len(values) == 0 {
		return 0, nil
	}
	seconds, err := Number(header, values)
	return time.Duration(min(seconds, MaxWait.Seconds()) * float64(time.Second)), err
}

// Flag decodes a header that is 1 if something holds, and 0 or left out if not.
func Flag(header string, values []string) (set bool, err error) {
	if len(values) == 0 {
		return false, nil
	}
	for _, v := range values {
		if v != values[0] || v != "0" && v != "1" {
			return false, merry.Errorf("header %s: %q is neither 0 nor 1", header, values)
		}
	}
	return values[0] == "1", nil
}
