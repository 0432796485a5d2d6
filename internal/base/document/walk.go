package document

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// walker decodes a parsed document into a value and adds faults for what does not match its type.
type walker struct {
	*Document
	data []byte
}

// setValue sets v from a parsed value.
func (w *walker) setValue(parsed *hujson.Value, v reflect.Value, s *schema, path *valuePath) {
	switch value := parsed.Value.(type) {
	case *hujson.Object:
		if v.Kind() != reflect.Struct || s.text {
			w.addTypeFault(parsed, v, s, path, "an object")
			return
		}
		w.setObject(parsed, value, v, s, path)
	case *hujson.Array:
		if v.Kind() != reflect.Slice {
			w.addTypeFault(parsed, v, s, path, "a list")
			return
		}
		w.setList(value, v, s, path)
	case hujson.Literal:
		w.setLiteral(parsed, value, v, s, path)
	}
}

// addTypeFault adds a fault for a value of the wrong type.
func (w *walker) addTypeFault(parsed *hujson.Value, v reflect.Value, s *schema, path *valuePath, found string) {
	fix := ""
	if s.key != nil {
		fix = s.key.fix()
	}
	w.addFault(w.data, parsed.StartOffset, path.String(), fix, "%s is wanted, not %s", typeName(v), found)
}

// typeName returns the name of a value's type in faults.
func typeName(v reflect.Value) string {
	switch {
	case isTextValue(v):
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

// setObject sets the fields of a struct.
func (w *walker) setObject(parsed *hujson.Value, o *hujson.Object, v reflect.Value, s *schema, path *valuePath) {
	seen := make([]bool, len(s.fields))
	var unknown map[string]bool
	for i := range o.Members {
		m := &o.Members[i]
		name := nameOf(m.Name.Value.(hujson.Literal))
		memberPath := &valuePath{parent: path, name: name, index: -1}
		f, known := s.byName[name]
		switch {
		case known && seen[f] || unknown[name]:
			w.addFault(w.data, m.Name.StartOffset, memberPath.String(), "remove one of them", "the key occurs twice")
		case !known:
			w.addUnknown(m.Name.StartOffset, s.fields, name, memberPath)
			if unknown == nil {
				unknown = map[string]bool{}
			}
			unknown[name] = true
		default:
			seen[f] = true
			w.setValue(&m.Value, v.FieldByIndex(s.fields[f].structField.Index), s.members[f], memberPath)
		}
	}
	w.addMissing(parsed, s, seen, path)
}

// nameOf returns the name of a key.
func nameOf(l hujson.Literal) string {
	if content, ok := plainText(l); ok {
		return string(content)
	}
	return l.String()
}

// addMissing adds a fault for each required key that is missing.
func (w *walker) addMissing(parsed *hujson.Value, s *schema, seen []bool, path *valuePath) {
	for i, f := range s.fields {
		k := s.members[i].key
		if k == nil || !k.Required || seen[i] {
			continue
		}
		fix := "add " + strconv.Quote(f.name) + ": " + k.Example
		w.addFault(w.data, parsed.StartOffset, join(path.String(), f.name), fix, "the key is missing")
	}
}

// addUnknown adds a fault for a key that the type does not have and suggests a similar one.
func (w *walker) addUnknown(offset int, known []field, name string, path *valuePath) {
	if len(w.Unknown) == maxFaults {
		return
	}
	names := make([]string, len(known))
	for i, f := range known {
		names[i] = f.name
	}
	fix := "known keys are " + strings.Join(names, ", ")
	if suggestion := Suggest(name, names); suggestion != "" {
		fix = "did you mean " + strconv.Quote(suggestion) + "?"
	}
	w.Unknown = append(w.Unknown, w.newFault(w.data, offset, path.String(), fix, "the key is not known"))
}

// setList sets a slice.
func (w *walker) setList(a *hujson.Array, v reflect.Value, s *schema, path *valuePath) {
	v.Set(reflect.MakeSlice(v.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		w.setValue(&a.Elements[i], v.Index(i), s.element, &valuePath{parent: path, index: i})
	}
}

// setLiteral sets a value from a literal and checks its range.
func (w *walker) setLiteral(parsed *hujson.Value, l hujson.Literal, v reflect.Value, s *schema, path *valuePath) {
	kind := l.Kind()
	text := s.text || v.Kind() == reflect.String
	switch {
	case kind == 'n':
		w.addTypeFault(parsed, v, s, path, "null")
		return
	case text != (kind == '"') || v.Kind() == reflect.Struct && !text || v.Kind() == reflect.Slice:
		w.addTypeFault(parsed, v, s, path, string(l))
		return
	}
	if err := decodeLiteral(l, v); err != nil {
		w.addTypeFault(parsed, v, s, path, string(l))
		return
	}
	if s.key == nil {
		return
	}
	if problem := s.rangeProblem(v); problem != "" {
		w.addFault(w.data, parsed.StartOffset, path.String(), "the range is "+s.key.Range(), "%s", problem)
	}
	if s.key.Required && text && v.IsZero() {
		w.addFault(w.data, parsed.StartOffset, path.String(), s.key.fix(), "the text is empty")
	}
}
