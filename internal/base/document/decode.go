package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"github.com/tailscale/hujson"
)

const (
	// maxDepth bounds the nesting of a document.
	maxDepth = 32
	// maxFaults bounds the faults, and separately the unknown keys, that are reported for a document.
	maxFaults = 1000
)

// Document is a decoded document with the positions of its values.
type Document struct {
	// Faults are the faults of the syntax and of known keys.
	Faults Faults
	// Unknown are faults for the keys that the type does not have.
	Unknown Faults

	options Options
	// root is the parsed document, or nil if it could not be parsed.
	root *hujson.Value
}

// Options configure Decode.
type Options struct {
	// File is the name of the document in faults.
	File string
	// Keys describe the document; a value without a key is checked only by its type.
	Keys Keys
	// Size is the maximum size of the document in bytes.
	Size int
}

// Decode decodes JSON with comments into a struct. Valid values are set even if others are faulty.
func Decode(o Options, data []byte, into any) *Document {
	d := &Document{options: o}
	if len(data) > o.Size {
		problem := fmt.Sprintf("the document has %d bytes, the limit is %d", len(data), o.Size)
		d.Faults = Faults{{File: o.File, Problem: problem, Fix: "remove what is not needed"}}
		return d
	}
	if offset := findTooDeep(data); offset >= 0 {
		d.addFault(data, offset, "", "use at most the documented levels", "the nesting is deeper than %d levels", maxDepth)
		return d
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.addSyntaxFault(err)
		return d
	}
	d.root = &root
	w := &walker{Document: d, data: data}
	v := reflect.ValueOf(into).Elem()
	w.setValue(&root, v, schemaOf(v.Type(), o.Keys), nil)
	return d
}

// Locate sets the file and the position of faults that only have a path.
func (d *Document) Locate(data []byte, faults Faults) Faults {
	for _, f := range faults {
		f.File = d.options.File
		f.Line, f.Column = lineColumn(data, d.offsetOf(f.Path))
	}
	return faults
}

// offsetOf returns the offset of the value at a path, or of the nearest value that contains it.
func (d *Document) offsetOf(path string) int {
	v := d.root
	if v == nil {
		return 0
	}
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		next := child(v, step)
		if next == nil {
			break
		}
		v = next
	}
	return v.StartOffset
}

// child returns the value of a key or an index, or nil.
func child(v *hujson.Value, step string) *hujson.Value {
	switch value := v.Value.(type) {
	case *hujson.Object:
		for i := range value.Members {
			if name, ok := value.Members[i].Name.Value.(hujson.Literal); ok && name.String() == step {
				return &value.Members[i].Value
			}
		}
	case *hujson.Array:
		if i, err := strconv.Atoi(step); err == nil && i >= 0 && i < len(value.Elements) {
			return &value.Elements[i]
		}
	}
	return nil
}

// addFault adds a fault at an offset.
func (d *Document) addFault(data []byte, offset int, path, fix, problem string, args ...any) {
	if len(d.Faults) < maxFaults {
		d.Faults = append(d.Faults, d.newFault(data, offset, path, fix, fmt.Sprintf(problem, args...)))
	}
}

func (d *Document) newFault(data []byte, offset int, path, fix, problem string) *Fault {
	line, column := lineColumn(data, offset)
	return &Fault{File: d.options.File, Line: line, Column: column, Path: path, Problem: problem, Fix: fix}
}

// addSyntaxFault adds the parser's error, whose text contains the position.
func (d *Document) addSyntaxFault(err error) {
	f := &Fault{File: d.options.File, Problem: err.Error(), Fix: "correct the JSON syntax"}
	var line, column int
	if n, _ := fmt.Sscanf(f.Problem, "hujson: line %d, column %d:", &line, &column); n == 2 {
		f.Line, f.Column = line, column
		_, f.Problem, _ = strings.Cut(f.Problem, ", column ")
		_, f.Problem, _ = strings.Cut(f.Problem, ": ")
	}
	d.Faults = append(d.Faults, f)
}

// lineColumn returns the line and the column in bytes of an offset, counted from one.
func lineColumn(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	return line, len(before) - bytes.LastIndexByte(before, '\n')
}

// findTooDeep returns the offset at which the nesting exceeds maxDepth, or -1.
func findTooDeep(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return i
		}
	}
	return -1
}

// skipString returns the offset of the closing quote.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the last offset of a comment that starts at an offset, or the offset itself if there is none.
func skipComment(data []byte, i int) int {
	rest := data[i:]
	var end int
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		end = bytes.Index(rest[2:], []byte("*/"))
		if end >= 0 {
			end += 3
		}
	default:
		return i
	}
	if end < 0 {
		return len(data)
	}
	return i + end
}

// field is a struct field and its key.
type field struct {
	name        string
	structField reflect.StructField
}

// fieldCache caches the fields of each struct type.
var fieldCache sync.Map

// fields returns the fields of a struct that have a key, in the declared order.
func fields(t reflect.Type) []field {
	if out, ok := fieldCache.Load(t); ok {
		return out.([]field)
	}
	out := collectFields(t)
	fieldCache.Store(t, out)
	return out
}

func collectFields(t reflect.Type) (out []field) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "" || name == "-" {
			continue
		}
		out = append(out, field{name: name, structField: f})
	}
	return out
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// isTextType reports whether values of a type are encoded as text.
func isTextType(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(textType)
}

func isTextValue(v reflect.Value) bool {
	return isTextType(v.Type())
}

// decodeLiteral decodes a literal into a value.
func decodeLiteral(literal hujson.Literal, v reflect.Value) error {
	plain, ok := plainText(literal)
	switch {
	case ok && v.Kind() == reflect.String && !isTextValue(v):
		v.SetString(string(plain))
		return nil
	case ok && isTextValue(v):
		return v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText(plain)
	}
	return json.Unmarshal(literal, v.Addr().Interface())
}

// plainText returns the content of a string literal that has no escapes and only printable ASCII.
func plainText(literal hujson.Literal) (content []byte, ok bool) {
	if len(literal) < 2 || literal[0] != '"' {
		return nil, false
	}
	content = literal[1 : len(literal)-1]
	for _, b := range content {
		if b < ' ' || b > '~' || b == '\\' || b == '"' {
			return nil, false
		}
	}
	return content, true
}
