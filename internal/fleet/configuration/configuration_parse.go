package configuration

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
)

// MaxSize is the largest accepted value in bytes.
const MaxSize = 1 << 20

// The version of the format that this program knows.
const (
	formatMajor = 1
	formatMinor = 0
)

// Parse reads a configuration from JSON with comments and checks it.
// The error holds every fault; unknown keys of a newer minor format are in Warnings.
func Parse(data []byte) (c *Configuration, err error) {
	c, faults := Read("configuration", data)
	return c, faults.Err()
}

// Read is Parse for a named file; it returns every fault with its place.
func Read(file string, data []byte) (c *Configuration, faults document.Faults) {
	c = &Configuration{}
	d := document.Decode(document.Options{File: file, Keys: Keys, Size: MaxSize}, data, c)
	faults = d.Faults
	newer, problem := compareFormat(c.Format)
	switch {
	case problem != "" && !faults.Has("format"):
		var other document.Faults
		other.Add("format", "publish the configuration in format "+formatText(), "%s", problem)
		// Another major format has other keys, so that further faults would mislead.
		return c, d.Locate(data, other)
	case newer:
		c.warnings = d.Unknown
	default:
		faults = append(faults, d.Unknown...)
	}
	var more document.Faults
	for _, f := range c.Check() {
		if !faults.Has(f.Path) {
			more = append(more, f)
		}
	}
	faults = append(faults, d.Locate(data, more)...).Sorted()
	if len(faults) == 0 {
		c.index()
	}
	return c, faults
}

// Warnings are the keys that a newer minor format has and this program does not know; they are not in force.
func (c *Configuration) Warnings() document.Faults {
	return c.warnings
}

// compareFormat reports whether a format is a newer minor one, or why it can't be read.
func compareFormat(format string) (newer bool, problem string) {
	major, minor, ok := strings.Cut(format, ".")
	m, err := strconv.ParseUint(major, 10, 16)
	n, failed := strconv.ParseUint(minor, 10, 16)
	switch {
	case !ok || err != nil || failed != nil:
		return false, strconv.Quote(format) + " is not a version such as \"1.0\""
	case m != formatMajor:
		return false, "format " + format + " is not readable here"
	}
	return n > formatMinor, ""
}

func formatText() string {
	return strconv.Quote(strconv.Itoa(formatMajor) + "." + strconv.Itoa(formatMinor))
}

// Encode returns the published form; lists are never null in it.
func (c *Configuration) Encode() ([]byte, error) {
	out := *c
	fill(&out.Centres)
	fill(&out.Entries)
	fill(&out.Targets)
	fill(&out.Workspaces)
	fill(&out.Routes)
	return json.Marshal(&out)
}

// fill makes a list that is not there an empty one.
func fill[T any](list *[]T) {
	if *list == nil {
		*list = []T{}
	}
}
