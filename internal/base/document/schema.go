package document

import (
	"reflect"
	"strconv"
)

// schema is what a document type and its keys say of one value. It is made once for a decoding.
type schema struct {
	// key describes the value; it is nil when nothing does.
	key *Key
	// text tells that the value is written as text.
	text bool
	// least and most are the bounds; the flags tell whether there are any.
	least, most       float64
	hasLeast, hasMost bool
	// element is the schema of a list's elements, or nil.
	element *schema
	// known are the keys of an object in their declared order.
	known []field
	// members are the schemas of known, in the same order.
	members []*schema
	// byName holds the index of each key in known.
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
	s := &schema{key: keys[path], text: implementsText(t)}
	if s.key != nil {
		s.least, s.hasLeast = parseBound(t, s.key.Least)
		s.most, s.hasMost = parseBound(t, s.key.Most)
	}
	switch {
	case t.Kind() == reflect.Slice:
		s.element = newSchema(t.Elem(), keys, path+"[]")
	case t.Kind() == reflect.Struct && !s.text:
		s.known = fields(t)
		s.byName = make(map[string]int, len(s.known))
		for i, f := range s.known {
			s.byName[f.name] = i
			s.members = append(s.members, newSchema(f.field.Type, keys, join(path, f.name)))
		}
	}
	return s
}

// outside returns what is wrong with a value that is not in the range, or an empty text.
func (s *schema) outside(v reflect.Value) string {
	number, ok := numberOf(v)
	switch {
	case !ok:
		return ""
	case s.hasLeast && number < s.least:
		return "the value is below " + s.key.Least
	case s.hasMost && number > s.most:
		return "the value is above " + s.key.Most
	}
	return ""
}

// position is the place of a value in a document; its text is only made for faults.
type position struct {
	parent *position
	name   string
	// index is that of a list's element, or -1 for a key.
	index int
}

// String returns the path.
func (p *position) String() string {
	switch {
	case p == nil:
		return ""
	case p.index >= 0:
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	}
	return join(p.parent.String(), p.name)
}
