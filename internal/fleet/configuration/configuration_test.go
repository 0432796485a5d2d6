package configuration

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
)

const siteText = `{
	"format": "1.0", "revision": 7, "author": "operator",
	"centres": [{"name": "riga-1", "watts": 1000}],
	"entries": [{"name": "entry-1", "centre": "riga-1", "address": "10.1.0.11:7400"}],
	"groups": [{"name": "moe", "experts": 8}],
	"targets": [
		{"name": "desk-1", "centre": "riga-1", "kind": "engine", "pool": "desk", "address": "10.1.0.21:7400", "width": 8,
			"group": "moe", "rank": 0, "watts": 500, "idle": 100, "draw": 50},
		{"name": "desk-2", "centre": "riga-1", "kind": "engine", "pool": "desk", "address": "10.1.0.22:7400", "width": 8,
			"group": "moe", "rank": 1, "watts": 500},
	],
	"workspaces": [{"name": "school"}],
	"routes": [{"name": "desk", "prefix": "/v1/desk", "pool": "desk", "timeout": "30s"}],
}`

func TestParse(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(siteText))
	is.NoErr(err)
	data, err := c.Encode()
	is.NoErr(err)
	again, err := Parse(data)
	is.NoErr(err)
	is.Equal(again, c)
}

func TestFaults(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"revision", `"revision": 7`, `"revision": 0`, `f:2:31: revision: the value is below 1; the range is from 1`},
		{"slip in a key", `"centre"`, `"center"`, `f:4:34: entries[0].center: the key is not known; did you mean "centre"?`},
		{"slip in a name", `"centre": "riga-1"`, `"centre": "riga-"`, `f:4:44: entries[0].centre: "riga-" is not the name of a data centre; did you mean "riga-1"?`},
		{"target's name twice", `desk-2`, `desk-1`, `f:9:12: targets[1].name: "desk-1" is used twice; choose another name`},
		{"address twice", `10.1.0.22`, `10.1.0.21`, `targets[1].address: 10.1.0.21:7400 is the address of targets[0].address too; give each instance its own address`},
		{"rank twice", `"rank": 1`, `"rank": 0`, `targets[1].rank: rank 0 of group "moe" is that of desk-1 too; number the ranks of a group from 0`},
		{"shares", `"watts": 1000`, `"watts": 999`, `f:3:42: centres[0].watts: the targets' shares sum to 1000 W, the cap is 999 W; lower the targets' shares`},
		{"idle draw", `"idle": 100`, `"idle": 501`, `targets[0].idle: the idle draw of 501 W is above the share of 500 W; raise the share or lower the idle draw`},
		{"kind", `"engine"`, `"engin"`, `targets[0].kind: "engin" is not a kind of target; write "engine" or "service"`},
		{"pool", `"/v1/desk", "pool": "desk"`, `"/v1/desk", "pool": "dusk"`, `routes[0].pool: "dusk" is not the name of a pool with a target; did you mean "desk"?`},
		{"prefix", `"/v1/desk"`, `"v1/desk"`, `routes[0].prefix: "v1/desk" does not start with a slash`},
		{"timeout", `"30s"`, `"30"`, `routes[0].timeout: a text is wanted, not "30"; write for example "30s"`},
		{"format", `"1.0"`, `"2.0"`, `f:2:12: format: format 2.0 is not readable here; publish the configuration in format "1.0"`},
		{"no format", `"format": "1.0",`, ``, `f:1:1: format: the key is missing; add "format": "1.0"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, faults := Read("f", []byte(strings.Replace(siteText, test.old, test.new, 1)))
			is.True(strings.Contains(faults.Error(), test.want)) // the fault has the position and the fix
		})
	}
}

func TestNewerMinorFormat(t *testing.T) {
	tests := []struct {
		name, format string
		accepted     bool
	}{
		{"same minor", "1.0", false},
		{"newer minor", "1.9", true},
		{"other major", "2.0", false},
		{"no version", "one", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(siteText, `"1.0"`, `"`+test.format+`", "colour": {"sky": [1]}`, 1)
			c, faults := Read("f", []byte(text))
			is.Equal(len(faults) == 0, test.accepted)
			if test.accepted {
				is.Equal(len(c.Warnings()), 1)
				is.Equal(c.Warnings()[0].Path, "colour")
				is.Equal(len(c.Targets), 2)
			}
		})
	}
}

func TestManualNamesEveryKey(t *testing.T) {
	is := is.New(t)
	manual, err := os.ReadFile("../../../docs/configuration.md")
	is.NoErr(err)
	var described []string
	for _, k := range Keys {
		described = append(described, k.Path)
		is.True(strings.Contains(string(manual), k.Row())) // docs/configuration.md has the row of the key
	}
	is.Equal(document.Paths(reflect.TypeFor[Configuration]()), described)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(siteText))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			return
		}
		encoded, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(encoded); err != nil {
			t.Fatalf("accepted, but its own encoding is refused: %v", err)
		}
	})
}

// BenchmarkTarget looks up each target of a large fleet by name, with and without the index.
func BenchmarkTarget(b *testing.B) {
	c := &Configuration{}
	for i := range 3700 {
		c.Targets = append(c.Targets, Target{Name: fmt.Sprintf("desk-%d", i)})
	}
	for _, indexed := range []bool{false, true} {
		b.Run(fmt.Sprintf("indexed=%v", indexed), func(b *testing.B) {
			if indexed {
				c.index()
			}
			for b.Loop() {
				for i := range c.Targets {
					_, _ = c.Target(c.Targets[i].Name)
				}
			}
		})
	}
}
