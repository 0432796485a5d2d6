// Package document strictly decodes JSON with comments and reports all faults with their positions.
package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	// File is the name of the document, or empty.
	File string
	// Line and Column count from one; zero means unknown.
	Line, Column int
	// Path is the path of the value such as "targets[3].address"; it is empty for the whole document.
	Path string
	// Problem says what is wrong.
	Problem string
	// Fix says how to correct it, or is empty.
	Fix string
}

// Error implements the error interface: "FILE:LINE:COLUMN: PATH: PROBLEM; FIX".
func (f *Fault) Error() string {
	var b strings.Builder
	switch {
	case f.File != "" && f.Line > 0:
		fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	case f.Line > 0:
		fmt.Fprintf(&b, "%d:%d: ", f.Line, f.Column)
	case f.File != "":
		fmt.Fprintf(&b, "%s: ", f.File)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Problem)
	if f.Fix != "" {
		b.WriteString("; " + f.Fix)
	}
	return b.String()
}

// Faults are the errors of a document.
type Faults []*Fault

// Error implements the error interface with one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, v := range f {
		lines[i] = v.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Has reports whether there is a fault for a path or for a value that contains it.
func (f Faults) Has(path string) bool {
	for _, v := range f {
		if v.Path == path || v.Path != "" && strings.HasPrefix(path, v.Path+".") || strings.HasPrefix(path, v.Path+"[") {
			return true
		}
	}
	return false
}

// Add appends a fault for a path. The problem is a format string.
func (f *Faults) Add(path, fix, problem string, args ...any) {
	*f = append(*f, &Fault{Path: path, Problem: fmt.Sprintf(problem, args...), Fix: fix})
}

// Sorted sorts the faults by position in place and returns them.
func (f Faults) Sorted() Faults {
	slices.SortStableFunc(f, func(a, b *Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f
}
