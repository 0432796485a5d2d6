package document

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type sample struct {
	Name  string         `json:"name"`
	Count int            `json:"count"`
	Rate  float64        `json:"rate"`
	On    bool           `json:"on"`
	At    netip.AddrPort `json:"at"`
	Items []item         `json:"items"`
}

type item struct {
	Size uint8 `json:"size"`
}

var sampleKeys = Keys{
	{Path: "name", Example: `"a"`, Required: true},
	{Path: "count", Min: "1", Max: "9", Default: "3", Example: "1"},
	{Path: "at", Example: `"10.0.0.1:80"`},
	{Path: "items[].size", Example: "1", Required: true},
}

func TestDecodeFaults(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"valid", `{"name": "a", "count": 2, "at": "10.0.0.1:80", "items": [{"size": 1}], /* c */ "on": true,}`, nil},
		{"all at once", "{\n \"nam\": 1,\n \"count\": 12,\n \"at\": \"x\",\n \"items\": [{}, {\"size\": 300}],\n}", []string{
			`f:1:1: name: the key is missing; add "name": "a"`,
			`f:2:2: nam: the key is not known; did you mean "name"?`,
			`f:3:11: count: the value is above 9; the range is 1 to 9`,
			`f:4:8: at: a text is wanted, not "x"; write for example "10.0.0.1:80"`,
			`f:5:12: items[0].size: the key is missing; add "size": 1`,
			`f:5:25: items[1].size: a whole number is wanted, not 300; write for example 1`,
		}},
		{"types", `{"name": null, "rate": "1", "on": 1, "items": {}, "count": [1]}`, []string{
			`f:1:10: name: a text is wanted, not null; write for example "a"`,
			`f:1:24: rate: a number is wanted, not "1"`,
			`f:1:35: on: true or false is wanted, not 1`,
			`f:1:47: items: a list is wanted, not an object`,
			`f:1:60: count: a whole number is wanted, not a list; write for example 1`,
		}},
		{"twice", `{"name": "a", "name": "b"}`, []string{`f:1:15: name: the key occurs twice; remove one of them`}},
		{"empty text", `{"name": ""}`, []string{`f:1:10: name: the text is empty; write for example "a"`}},
		{"unknown key without a suggestion", `{"name": "a", "other": 1}`, []string{`f:1:15: other: the key is not known; known keys are name, count, rate, on, at, items`}},
		{"deep", strings.Repeat("[", 1000), []string{`f:1:33: the nesting is deeper than 32 levels; use at most the documented levels`}},
		{"size", `{"name": "` + strings.Repeat("a", 2000) + `"}`, []string{`f: the document has 2012 bytes, the limit is 2000; remove what is not needed`}},
		{"root", `[]`, []string{`f:1:1: an object is wanted, not a list`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := Decode(Options{File: "f", Keys: sampleKeys, Size: 2000}, []byte(test.text), &sample{})
			var got []string
			for _, f := range append(d.Faults, d.Unknown...).Sorted() {
				got = append(got, f.Error())
			}
			is.Equal(got, test.want)
		})
	}
}

func TestSyntaxFaultHasAPosition(t *testing.T) {
	is := is.New(t)
	d := Decode(Options{File: "f", Size: 100}, []byte("{\n  \"name\": }"), &sample{})
	is.Equal(len(d.Faults), 1)
	is.Equal(d.Faults[0].Line, 2)
	is.True(d.Faults[0].Column > 1)
}

func TestDefault(t *testing.T) {
	is := is.New(t)
	s := sample{}
	Default(sampleKeys, &s)
	is.Equal(s.Count, 3)
	is.Equal(Paths(reflect.TypeFor[sample]()), []string{"name", "count", "rate", "on", "at", "items", "items[].size"})
}

func TestSuggest(t *testing.T) {
	tests := []struct{ name, want string }{
		{"centr", "centre"}, {"cnetre", "centre"}, {"centree", "centre"}, {"sentre", "centre"}, {"center", "centre"}, {"cntr", ""}, {"", ""},
	}
	for _, test := range tests {
		is := is.New(t)
		is.Equal(Suggest(test.name, []string{"width", "centre"}), test.want)
	}
}
