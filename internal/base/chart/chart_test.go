package chart

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestNext(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(`{"name": "door", "start": "open", // comment
		"states": {"open": {"close": "closed"}, "closed": {}}}`))
	is.NoErr(err)
	next, err := c.Next(c.Start, "close")
	is.NoErr(err)
	is.Equal(next, State("closed"))
	is.True(c.Final(next))
	unchanged, err := c.Next(next, "close")
	var refused *Error
	is.True(errors.As(err, &refused))
	is.Equal(unchanged, next)
}

func TestParseRefuses(t *testing.T) {
	tests := []struct{ name, data string }{
		{"no name", `{"start": "a", "states": {"a": {}}}`},
		{"undefined start", `{"name": "x", "start": "b", "states": {"a": {}}}`},
		{"undefined successor", `{"name": "x", "start": "a", "states": {"a": {"go": "c"}}}`},
		{"not JSON", `{`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(test.data))
			is.True(err != nil)
		})
	}
}
