package configuration

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
)

// MaxSize is the largest accepted value in bytes.
const MaxSize = 1 << 20

// The version of the format that this program supports.
const (
	formatMajor = 1
	formatMinor = 0
)

// Parse reads a configuration from JSON with comments and checks it.
// The error contains all faults; unknown keys of a newer minor format are in Warnings.
func Parse(data []byte) (c *Configuration, err error) {
	c, faults := Read("configuration", data)
	return c, faults.Err()
}

// Read is Parse for a named file; it returns all faults with their positions.
func Read(file string, data []byte) (c *Configuration, faults document.Faults) {
	c = &Configuration{}
	d := document.Decode(document.Options{File: file, Keys: Keys, Size: MaxSize}, data, c)
	faults = d.Faults
	newer, problem := compareFormat(c.Format)
	switch {
	case problem != "" && !faults.Has("format"):
		var other document.Faults
		other.Add("format", "publish the configuration in format "+formatText(), "%s", problem)
		// Another major format has different keys, so further faults would be misleading.
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

// Warnings returns the keys of a newer minor format that this program does not know; they are ignored.
func (c *Configuration) Warnings() document.Faults {
	return c.warnings
}

// compareFormat reports whether a format is a newer minor version, or why it cannot be read.
func compareFormat(format string) (newer bool, problem string) {
	major, minor, ok := strings.Cut(format, ".")
	m, majorErr := strconv.ParseUint(major, 10, 16)
	n, minorErr := strconv.ParseUint(minor, 10, 16)
	switch {
	case !ok || majorErr != nil || minorErr != nil:
		return false, strconv.Quote(format) + " is not a version such as \"1.0\""
	case m != formatMajor:
		return false, "format " + format + " is not readable here"
	}
	return n > formatMinor, ""
}

func formatText() string {
	return strconv.Quote(strconv.Itoa(formatMajor) + "." + strconv.Itoa(formatMinor))
}

// Encode returns the published form, in which lists are never null.
func (c *Configuration) Encode() ([]byte, error) {
	out := *c
	emptyIfNil(&out.Centres)
	emptyIfNil(&out.Entries)
	emptyIfNil(&out.Targets)
	emptyIfNil(&out.Workspaces)
	emptyIfNil(&out.Routes)
	return json.Marshal(&out)
}

// emptyIfNil replaces a nil list by an empty one.
func emptyIfNil[T any](list *[]T) {
	if *list == nil {
		*list = []T{}
	}
}
