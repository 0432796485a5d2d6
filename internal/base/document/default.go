package document

import (
	"reflect"
	"strconv"
)

// Default sets the top-level fields of a struct that are zero to the defaults of their keys.
func Default(keys Keys, into any) {
	v := reflect.ValueOf(into).Elem()
	for _, f := range fields(v.Type()) {
		k := keys.find(f.name)
		value := v.FieldByIndex(f.structField.Index)
		if k == nil || k.Default == "" || !value.IsZero() {
			continue
		}
		literal := k.Default
		if isTextValue(value) || value.Kind() == reflect.String {
			literal = strconv.Quote(literal)
		}
		// A field with a faulty default stays zero; the test of the keys detects it.
		_ = decodeLiteral([]byte(literal), value)
	}
}
