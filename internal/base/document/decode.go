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
	// maxFaults bounds the faults of one kind that are reported for a document.
	maxFaults = 1000
)

// Document is a decoded document that can tell the place of each value.
type Document struct {
	// Faults are what is wrong with known keys and with the syntax.
	Faults Faults
	// Unknown are the keys that the type does not have.
	Unknown Faults

	options Options
	// root is the parsed document, or nil when it could not be parsed.
	root *hujson.Value
}

// Options are the inputs of Decode.
type Options struct {
	// File is the name of the document in faults.
	File string
	// Keys describe the document; a key without a description is checked by its type alone.
	Keys Keys
	// Size is the largest document in bytes.
	Size int
}

// Decode reads JSON with comments into a struct. Valid values are set even when others are faulty.
func Decode(o Options, data []byte, into any) *Document {
	d := &Document{options: o}
	if len(data) > o.Size {
		problem := fmt.Sprintf("the document has %d bytes, the limit is %d", len(data), o.Size)
		d.Faults = Faults{{File: o.File, Problem: problem, Fix: "remove what is not needed"}}
		return d
	}
	if at := tooDeep(data); at >= 0 {
		d.fault(data, at, "", "use at most the documented levels", "the nesting is deeper than %d levels", maxDepth)
		return d
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.syntax(err)
		return d
	}
	d.root = &root
	w := &walker{Document: d, data: data}
	v := reflect.ValueOf(into).Elem()
	w.value(&root, v, schemaOf(v.Type(), o.Keys), nil)
	return d
}

// Locate fills in the file and the place of faults that only have a path.
func (d *Document) Locate(data []byte, faults Faults) Faults {
	for _, f := range faults {
		f.File = d.options.File
		f.Line, f.Column = place(data, d.offset(f.Path))
	}
	return faults
}

// offset returns the place of a path, or of the nearest value that contains it.
func (d *Document) offset(path string) int {
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

// fault adds a fault at an offset.
func (d *Document) fault(data []byte, offset int, path, fix, problem string, args ...any) {
	if len(d.Faults) < maxFaults {
		d.Faults = append(d.Faults, d.newFault(data, offset, path, fix, fmt.Sprintf(problem, args...)))
	}
}

func (d *Document) newFault(data []byte, offset int, path, fix, problem string) *Fault {
	line, column := place(data, offset)
	return &Fault{File: d.options.File, Line: line, Column: column, Path: path, Problem: problem, Fix: fix}
}

// syntax adds the parser's error, which carries its place as text.
func (d *Document) syntax(err error) {
	f := &Fault{File: d.options.File, Problem: err.Error(), Fix: "mend the JSON there"}
	var line, column int
	if n, _ := fmt.Sscanf(f.Problem, "hujson: line %d, column %d:", &line, &column); n == 2 {
		f.Line, f.Column = line, column
		_, f.Problem, _ = strings.Cut(f.Problem, ", column ")
		_, f.Problem, _ = strings.Cut(f.Problem, ": ")
	}
	d.Faults = append(d.Faults, f)
}

// place returns the line and the column in bytes of an offset, counted from one.
func place(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	return line, len(before) - bytes.LastIndexByte(before, '\n')
}

// tooDeep returns the offset at which the nesting exceeds the limit, or -1.
func tooDeep(data []byte) int {
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

// skipComment returns the last offset of a comment that may start at an offset.
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

// field is a key of a struct.
type field struct {
	name  string
	field reflect.StructField
}

// known holds the keys of each struct type that was decoded.
var known sync.Map

// fields returns the keys of a struct in their declared order.
func fields(t reflect.Type) []field {
	if out, ok := known.Load(t); ok {
		return out.([]field)
	}
	out := findFields(t)
	known.Store(t, out)
	return out
}

func findFields(t reflect.Type) (out []field) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "" || name == "-" {
			continue
		}
		out = append(out, field{name: name, field: f})
	}
	return out
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// implementsText reports whether values of a type are written as text.
func implementsText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(textType)
}

func isText(v reflect.Value) bool {
	return implementsText(v.Type())
}

// leaf decodes a literal into a value.
func leaf(literal hujson.Literal, v reflect.Value) error {
	plain, ok := plainText(literal)
	switch {
	case ok && v.Kind() == reflect.String && !isText(v):
		v.SetString(string(plain))
		return nil
	case ok && isText(v):
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
