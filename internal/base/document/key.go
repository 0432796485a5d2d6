package document

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Key describes one key of a document for the decoder, the checks and the manual.
type Key struct {
	// Path is the path of the key with "[]" for the elements of a list, such as "targets[].address".
	Path string
	// Doc describes the key in one sentence.
	Doc string
	// Unit is the unit of a number or the form of a text.
	Unit string
	// Default is the value of an absent key as it is written in a document, without quotes; empty means none.
	Default string
	// Min and Max bound the value; empty means no bound.
	Min, Max string
	// Example is a valid value as it is written in a document.
	Example string
	// Required is set if the key must be present.
	Required bool
}

// Range returns the bounds as the manual shows them.
func (k *Key) Range() string {
	switch {
	case k.Min != "" && k.Max != "":
		return k.Min + " to " + k.Max
	case k.Min != "":
		return "from " + k.Min
	case k.Max != "":
		return "up to " + k.Max
	}
	return ""
}

// Row returns the key's row of the table in the manual.
func (k *Key) Row() string {
	presence := k.Default
	if k.Required {
		presence = "required"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |", k.Path, k.Doc, k.Unit, presence, k.Range())
}

// fix returns an example of a valid value as the Fix of a fault.
func (k *Key) fix() string {
	if k.Example == "" {
		return ""
	}
	return "write for example " + k.Example
}

// numberOf returns a value as a number that can be compared with a bound.
func numberOf(v reflect.Value) (number float64, ok bool) {
	switch {
	case v.CanInt():
		return float64(v.Int()), true
	case v.CanUint():
		return float64(v.Uint()), true
	case v.CanFloat():
		return v.Float(), true
	}
	return 0, false
}

// parseBound parses a bound for a type; types that are encoded as text are taken for durations.
func parseBound(t reflect.Type, text string) (bound float64, ok bool) {
	if text == "" {
		return 0, false
	}
	if isTextType(t) {
		d, err := time.ParseDuration(text)
		return float64(d), err == nil
	}
	bound, err := strconv.ParseFloat(text, 64)
	return bound, err == nil
}

// Keys describe a document.
type Keys []Key

// find returns the key with a path, or nil.
func (k Keys) find(pattern string) *Key {
	for i := range k {
		if k[i].Path == pattern {
			return &k[i]
		}
	}
	return nil
}

// Paths returns the paths of all keys that a document of a type can have.
func Paths(t reflect.Type) []string {
	return paths(t, "")
}

func paths(t reflect.Type, prefix string) (out []string) {
	if t.Kind() == reflect.Slice {
		return paths(t.Elem(), prefix+"[]")
	}
	if t.Kind() != reflect.Struct || isTextType(t) {
		return nil
	}
	for _, f := range fields(t) {
		path := join(prefix, f.name)
		out = append(out, path)
		out = append(out, paths(f.structField.Type, path)...)
	}
	return out
}

// join appends a key to a path.
func join(path, name string) string {
	return strings.TrimPrefix(path+"."+name, ".")
}
