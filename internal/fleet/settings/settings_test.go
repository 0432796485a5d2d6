package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
)

const entryText = `{
	// An entry of the first data centre.
	"name": "entry-1", "centre": "riga-1", "platform": "10.1.0.2:8500",
	"listen": "10.1.0.11:7400", "operators": "10.1.0.11:7401", "callers": "10.1.0.11:8080",
}`

func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(entryText))
	is.NoErr(err)
	is.Equal(time.Duration(s.Beat), 250*time.Millisecond)
	is.Equal(time.Duration(s.Stop), time.Minute)
	is.Equal(s.Body, int64(1<<20))
	is.Equal(len(s.CheckRole(RoleEntry)), 0)
	is.Equal(s.CheckRole(RoleSlot).Error(), `engine: a slot needs the address of its engine or service; add "engine": "10.1.0.21:9000"`)
}

func TestFaults(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`"centre"`, `"centr"`, `f:3:21: centr: the key is not known; did you mean "centre"?`},
		{`"10.1.0.2:8500"`, `"10.1.0.2"`, `f:3:53: platform: a text is wanted, not "10.1.0.2"; write for example "10.1.0.2:8500"`},
		{`10.1.0.11:8080`, `10.1.0.11:7400`, `f:4:72: callers: 10.1.0.11:7400 is the address of listen too; give each its own port`},
		{`"callers"`, `"beat": "1ms", "callers"`, `f:4:69: beat: the value is below 10ms; the range is 10ms to 10s`},
		{`"callers"`, `"beat": 100, "callers"`, `f:4:69: beat: a text is wanted, not 100; write for example "250ms"`},
		{`10.1.0.11:8080`, `10.1.0.11:0`, `f:4:72: callers: the port is zero; write the port after the address`},
	}
	for _, test := range tests {
		_, faults := Read("f", []byte(strings.Replace(entryText, test.old, test.new, 1)))
		if !strings.Contains(faults.Error(), test.want) {
			t.Errorf("want %s\ngot %v", test.want, faults)
		}
	}
}

func TestManualNamesEveryKey(t *testing.T) {
	is := is.New(t)
	manual, err := os.ReadFile("../../../docs/settings.md")
	is.NoErr(err)
	var described []string
	for _, k := range Keys {
		described = append(described, k.Path)
		is.True(strings.Contains(string(manual), k.Row())) // docs/settings.md has the row of the key
	}
	is.Equal(document.Paths(reflect.TypeFor[Settings]()), described)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(entryText))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, faults := Read("f", data)
		for _, v := range faults {
			if v.Problem == "" {
				t.Fatalf("a fault without a problem: %+v", v)
			}
		}
		if len(faults) == 0 && (s.Name == "" || !s.Listen.IsValid()) {
			t.Fatalf("accepted without a name or an address: %+v", s)
		}
	})
}
