package document

import (
	"reflect"
	"strconv"
)

// schema combines the type of a value and its key. It is built once per decoding.
type schema struct {
	// key describes the value, or is nil.
	key *Key
	// text is set if the value is encoded as text.
	text bool
	// min and max are the bounds; hasMin and hasMax are set if the key has them.
	min, max       float64
	hasMin, hasMax bool
	// element is the schema of a list's elements, or nil.
	element *schema
	// fields are the keys of an object in the declared order.
	fields []field
	// members are the schemas of fields, in the same order.
	members []*schema
	// byName holds the index of each key in fields.
	byName map[string]int
}

// schemaOf returns the schema of a document type.
func schemaOf(t reflect.Type, keys Keys) *schema {
	byPath := make(map[string]*Key, len(keys))
	for i := range keys {
		byPath[keys[i].Path] = &keys[i]
	}
	return newSchema(t, byPath, "")
}

func newSchema(t reflect.Type, keys map[string]*Key, path string) *schema {
	s := &schema{key: keys[path], text: isTextType(t)}
	if s.key != nil {
		s.min, s.hasMin = parseBound(t, s.key.Min)
		s.max, s.hasMax = parseBound(t, s.key.Max)
	}
	switch {
	case t.Kind() == reflect.Slice:
		s.element = newSchema(t.Elem(), keys, path+"[]")
	case t.Kind() == reflect.Struct && !s.text:
		s.fields = fields(t)
		s.byName = make(map[string]int, len(s.fields))
		for i, f := range s.fields {
			s.byName[f.name] = i
			s.members = append(s.members, newSchema(f.structField.Type, keys, join(path, f.name)))
		}
	}
	return s
}

// rangeProblem returns the problem of a value that is out of range, or an empty string.
func (s *schema) rangeProblem(v reflect.Value) string {
	number, ok := numberOf(v)
	switch {
	case !ok:
		return ""
	case s.hasMin && number < s.min:
		return "the value is below " + s.key.Min
	case s.hasMax && number > s.max:
		return "the value is above " + s.key.Max
	}
	return ""
}

// valuePath is the path of a value in a document; it is formatted only for faults.
type valuePath struct {
	parent *valuePath
	name   string
	// index is the index of a list's element, or -1 for a key.
	index int
}

// String returns the path such as "targets[3].address".
func (p *valuePath) String() string {
	switch {
	case p == nil:
		return ""
	case p.index >= 0:
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	}
	return join(p.parent.String(), p.name)
}
