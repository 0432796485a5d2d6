package document

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// walker compares a parsed document with a type and sets what fits.
type walker struct {
	*Document
	data []byte
}

// value sets v from a parsed value; pattern is the path without indices.
func (w *walker) value(parsed *hujson.Value, v reflect.Value, path, pattern string) {
	w.offsets[path] = parsed.StartOffset
	switch value := parsed.Value.(type) {
	case *hujson.Object:
		if v.Kind() != reflect.Struct || isText(v) {
			w.wrong(parsed, v, path, pattern, "an object")
			return
		}
		w.object(parsed, value, v, path, pattern)
	case *hujson.Array:
		if v.Kind() != reflect.Slice {
			w.wrong(parsed, v, path, pattern, "a list")
			return
		}
		w.list(value, v, path, pattern)
	case hujson.Literal:
		w.literal(parsed, value, v, path, pattern)
	}
}

// wrong adds a fault for a value of another type.
func (w *walker) wrong(parsed *hujson.Value, v reflect.Value, path, pattern, found string) {
	fix := ""
	if k := w.options.Keys.find(pattern); k != nil {
		fix = k.fix()
	}
	w.fault(w.data, parsed.StartOffset, path, fix, "%s is wanted, not %s", wanted(v), found)
}

// wanted names the type of a value.
func wanted(v reflect.Value) string {
	switch {
	case isText(v):
		return "a text"
	case v.Kind() == reflect.Struct:
		return "an object"
	case v.Kind() == reflect.Slice:
		return "a list"
	case v.Kind() == reflect.Bool:
		return "true or false"
	case v.Kind() == reflect.String:
		return "a text"
	case v.CanFloat():
		return "a number"
	}
	return "a whole number"
}

// object sets the fields of a struct.
func (w *walker) object(parsed *hujson.Value, o *hujson.Object, v reflect.Value, path, pattern string) {
	known := fields(v.Type())
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		place := join(path, name)
		f := fieldOf(known, name)
		switch {
		case seen[name]:
			w.fault(w.data, m.Name.StartOffset, place, "remove one of them", "the key is there twice")
		case f == nil:
			w.unknown(m.Name.StartOffset, known, name, place)
		default:
			w.value(&m.Value, v.FieldByIndex(f.field.Index), place, join(pattern, name))
		}
		seen[name] = true
	}
	w.missing(parsed, known, seen, path, pattern)
}

// missing adds a fault for each required key that is not there.
func (w *walker) missing(parsed *hujson.Value, known []field, seen map[string]bool, path, pattern string) {
	for _, f := range known {
		k := w.options.Keys.find(join(pattern, f.name))
		if k == nil || !k.Required || seen[f.name] {
			continue
		}
		fix := "add " + strconv.Quote(f.name) + ": " + k.Example
		w.fault(w.data, parsed.StartOffset, join(path, f.name), fix, "the key is missing")
	}
}

func fieldOf(known []field, name string) *field {
	for i := range known {
		if known[i].name == name {
			return &known[i]
		}
	}
	return nil
}

// unknown adds a key that the type does not have, with the likely one.
func (w *walker) unknown(offset int, known []field, name, path string) {
	if len(w.Unknown) == maxFaults {
		return
	}
	names := make([]string, len(known))
	for i, f := range known {
		names[i] = f.name
	}
	fix := "known keys are " + strings.Join(names, ", ")
	if likely := Likely(name, names); likely != "" {
		fix = "did you mean " + strconv.Quote(likely) + "?"
	}
	w.Unknown = append(w.Unknown, w.newFault(w.data, offset, path, fix, "the key is not known"))
}

// list sets a slice.
func (w *walker) list(a *hujson.Array, v reflect.Value, path, pattern string) {
	v.Set(reflect.MakeSlice(v.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		w.value(&a.Elements[i], v.Index(i), path+"["+strconv.Itoa(i)+"]", pattern+"[]")
	}
}

// literal sets a leaf and checks its range.
func (w *walker) literal(parsed *hujson.Value, l hujson.Literal, v reflect.Value, path, pattern string) {
	kind := l.Kind()
	text := isText(v) || v.Kind() == reflect.String
	switch {
	case kind == 'n':
		w.wrong(parsed, v, path, pattern, "null")
		return
	case text != (kind == '"') || v.Kind() == reflect.Struct && !text || v.Kind() == reflect.Slice:
		w.wrong(parsed, v, path, pattern, string(l))
		return
	}
	if err := leaf(l, v); err != nil {
		w.wrong(parsed, v, path, pattern, string(l))
		return
	}
	k := w.options.Keys.find(pattern)
	if k == nil {
		return
	}
	if problem := k.outside(v); problem != "" {
		w.fault(w.data, parsed.StartOffset, path, "the range is "+k.Range(), "%s", problem)
	}
	if k.Required && text && v.IsZero() {
		w.fault(w.data, parsed.StartOffset, path, k.fix(), "the text is empty")
	}
}
