package entryd

import (
	"testing"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

func FuzzResume(f *testing.F) {
	f.Add(resumeToken("00112233445566778899aabbccddeeff", "desk-c1-0", 42))
	f.Add(resumeToken(key.Key{Home: "hold-1"}.String(), "hold-1", 0))
	f.Add("00112233445566778899aabbccddeeff/a/b/9223372036854775808")
	f.Add("x//-1")
	f.Fuzz(func(t *testing.T, text string) {
		var a entry.Arrival
		if parseResumeToken(&a, text) != nil {
			if a.Answer != "" || a.Home != "" || a.Offset != 0 {
				t.Errorf("%q is refused but changes the arrival", text)
			}
			return
		}
		if a.Answer == "" || a.Home == "" || a.Offset < 0 {
			t.Errorf("%q is parsed as %+v", text, a)
		}
		var again entry.Arrival
		if err := parseResumeToken(&again, resumeToken(a.Answer, a.Home, a.Offset)); err != nil || again.Answer != a.Answer || again.Home != a.Home || again.Offset != a.Offset {
			t.Errorf("the token of the values parsed from %q does not parse to the same values", text)
		}
	})
}
