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

// value sets v from a parsed value.
func (w *walker) value(parsed *hujson.Value, v reflect.Value, s *schema, at *position) {
	switch value := parsed.Value.(type) {
	case *hujson.Object:
		if v.Kind() != reflect.Struct || s.text {
			w.wrong(parsed, v, s, at, "an object")
			return
		}
		w.object(parsed, value, v, s, at)
	case *hujson.Array:
		if v.Kind() != reflect.Slice {
			w.wrong(parsed, v, s, at, "a list")
			return
		}
		w.list(value, v, s, at)
	case hujson.Literal:
		w.literal(parsed, value, v, s, at)
	}
}

// wrong adds a fault for a value of another type.
func (w *walker) wrong(parsed *hujson.Value, v reflect.Value, s *schema, at *position, found string) {
	fix := ""
	if s.key != nil {
		fix = s.key.fix()
	}
	w.fault(w.data, parsed.StartOffset, at.String(), fix, "%s is wanted, not %s", wanted(v), found)
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
func (w *walker) object(parsed *hujson.Value, o *hujson.Object, v reflect.Value, s *schema, at *position) {
	seen := make([]bool, len(s.known))
	var unknown map[string]bool
	for i := range o.Members {
		m := &o.Members[i]
		name := nameOf(m.Name.Value.(hujson.Literal))
		place := &position{parent: at, name: name, index: -1}
		f, known := s.byName[name]
		switch {
		case known && seen[f] || unknown[name]:
			w.fault(w.data, m.Name.StartOffset, place.String(), "remove one of them", "the key is there twice")
		case !known:
			w.unknown(m.Name.StartOffset, s.known, name, place)
			if unknown == nil {
				unknown = map[string]bool{}
			}
			unknown[name] = true
		default:
			seen[f] = true
			w.value(&m.Value, v.FieldByIndex(s.known[f].field.Index), s.members[f], place)
		}
	}
	w.missing(parsed, s, seen, at)
}

// nameOf returns the text of a key.
func nameOf(l hujson.Literal) string {
	if content, ok := plainText(l); ok {
		return string(content)
	}
	return l.String()
}

// missing adds a fault for each required key that is not there.
func (w *walker) missing(parsed *hujson.Value, s *schema, seen []bool, at *position) {
	for i, f := range s.known {
		k := s.members[i].key
		if k == nil || !k.Required || seen[i] {
			continue
		}
		fix := "add " + strconv.Quote(f.name) + ": " + k.Example
		w.fault(w.data, parsed.StartOffset, join(at.String(), f.name), fix, "the key is missing")
	}
}

// unknown adds a key that the type does not have, with the likely one.
func (w *walker) unknown(offset int, known []field, name string, at *position) {
	if len(w.Unknown) == maxFaults {
		return
	}
	names := make([]string, len(known))
	for i, f := range known {
		names[i] = f.name
	}
	fix := "known keys are " + strings.Join(names, ", ")
	if likely := Suggest(name, names); likely != "" {
		fix = "did you mean " + strconv.Quote(likely) + "?"
	}
	w.Unknown = append(w.Unknown, w.newFault(w.data, offset, at.String(), fix, "the key is not known"))
}

// list sets a slice.
func (w *walker) list(a *hujson.Array, v reflect.Value, s *schema, at *position) {
	v.Set(reflect.MakeSlice(v.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		w.value(&a.Elements[i], v.Index(i), s.element, &position{parent: at, index: i})
	}
}

// literal sets a leaf and checks its range.
func (w *walker) literal(parsed *hujson.Value, l hujson.Literal, v reflect.Value, s *schema, at *position) {
	kind := l.Kind()
	text := s.text || v.Kind() == reflect.String
	switch {
	case kind == 'n':
		w.wrong(parsed, v, s, at, "null")
		return
	case text != (kind == '"') || v.Kind() == reflect.Struct && !text || v.Kind() == reflect.Slice:
		w.wrong(parsed, v, s, at, string(l))
		return
	}
	if err := leaf(l, v); err != nil {
		w.wrong(parsed, v, s, at, string(l))
		return
	}
	if s.key == nil {
		return
	}
	if problem := s.outside(v); problem != "" {
		w.fault(w.data, parsed.StartOffset, at.String(), "the range is "+s.key.Range(), "%s", problem)
	}
	if s.key.Required && text && v.IsZero() {
		w.fault(w.data, parsed.StartOffset, at.String(), s.key.fix(), "the text is empty")
	}
}
