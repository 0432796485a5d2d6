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
	// Path is the place of the key with "[]" for the elements of a list, such as "targets[].address".
	Path string
	// Doc is one plain sentence.
	Doc string
	// Unit is the unit of numbers, or the form of texts.
	Unit string
	// Default is the value of an absent key as it would be written, without quotes; empty means none.
	Default string
	// Least and Most bound the value; empty means no bound.
	Least, Most string
	// Example is a valid value as it is written in a document.
	Example string
	// Required tells that the key must be there.
	Required bool
}

// Range returns the bounds as they are printed in the manual.
func (k *Key) Range() string {
	switch {
	case k.Least != "" && k.Most != "":
		return k.Least + " to " + k.Most
	case k.Least != "":
		return "from " + k.Least
	case k.Most != "":
		return "up to " + k.Most
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

// fix says how to write a valid value.
func (k *Key) fix() string {
	if k.Example == "" {
		return ""
	}
	return "write for example " + k.Example
}

// numberOf returns a number that can be compared with a bound.
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

// parseBound reads a bound in the unit of a type.
func parseBound(t reflect.Type, text string) (bound float64, ok bool) {
	if text == "" {
		return 0, false
	}
	if implementsText(t) {
		d, err := time.ParseDuration(text)
		return float64(d), err == nil
	}
	bound, err := strconv.ParseFloat(text, 64)
	return bound, err == nil
}

// Keys describe a document.
type Keys []Key

// find returns the description of a path without indices, or nil.
func (k Keys) find(pattern string) *Key {
	for i := range k {
		if k[i].Path == pattern {
			return &k[i]
		}
	}
	return nil
}

// Paths returns the path of every key that a document of a type can hold.
func Paths(t reflect.Type) []string {
	return paths(t, "")
}

func paths(t reflect.Type, prefix string) (out []string) {
	if t.Kind() == reflect.Slice {
		return paths(t.Elem(), prefix+"[]")
	}
	if t.Kind() != reflect.Struct || implementsText(t) {
		return nil
	}
	for _, f := range fields(t) {
		path := join(prefix, f.name)
		out = append(out, path)
		out = append(out, paths(f.field.Type, path)...)
	}
	return out
}

// join appends a key to a path.
func join(path, name string) string {
	return strings.TrimPrefix(path+"."+name, ".")
}
