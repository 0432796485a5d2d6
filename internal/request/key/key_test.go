package key

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

func testKey() Key {
	return Key{Home: "hold-1", Incarnation: 7, Minted: time.UnixMilli(1_700_000_000_123), Random: 5, Workspace: WorkspaceHash("school")}
}

func TestParse(t *testing.T) {
	text := testKey().String()
	tests := []struct {
		name string
		text string
		ok   bool
	}{
		{"whole", text, true},
		{"empty", "", false},
		{"prefix", Prefix, false},
		{"cut", text[:len(text)-1], false},
		{"changed", text[:10] + "x" + text[11:], false},
		{"caller's own", "9f0c3a52-6f0e-4b52-8a51-3d1b6f1ab001", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			k, err := Parse(test.text)
			is.Equal(err == nil, test.ok)
			is.Equal(errors.Is(err, ErrFormat), !test.ok)
			if test.ok {
				is.Equal(k, testKey())
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(testKey().String())
	f.Add(Key{Home: "x"}.String())
	f.Add("dd1.AAAA")
	f.Add("9f0c3a52-6f0e-4b52-8a51-3d1b6f1ab001")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := Parse(text)
		if err != nil {
			return
		}
		if k.String() != text {
			t.Errorf("Parse(%q) returned a key that encodes as %q", text, k.String())
		}
	})
}
