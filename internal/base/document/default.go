package document

import (
	"reflect"
	"strconv"
)

// Default sets the top fields of a struct that are zero to the defaults of their keys.
func Default(keys Keys, into any) {
	v := reflect.ValueOf(into).Elem()
	for _, f := range fields(v.Type()) {
		k := keys.find(f.name)
		value := v.FieldByIndex(f.field.Index)
		if k == nil || k.Default == "" || !value.IsZero() {
			continue
		}
		literal := k.Default
		if isText(value) || value.Kind() == reflect.String {
			literal = strconv.Quote(literal)
		}
		// A faulty default stays zero here; the test of the keys finds it.
		_ = leaf([]byte(literal), value)
	}
}
