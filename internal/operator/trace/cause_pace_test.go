package trace

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReadFindsSlowEngines reads the lines that slots and entries write of slow engines and stalled groups.
func TestReadFindsSlowEngines(t *testing.T) {
	is := is.New(t)
	s, err := Read(strings.NewReader(strings.Join([]string{
		`time=2026-02-26T12:48:35.100Z level=INFO msg=pace instance=slot-5 event=slow rank=5 pace=12 group=g-1 epoch=3`,
		`time=2026-02-26T12:48:35.200Z level=INFO msg=pace instance=slot-0 event=slow rank=5 pace=12 group=g-1 epoch=3`,
		`time=2026-02-26T12:48:35.300Z level=INFO msg=balance instance=slot-0 loaded=24 skew=9.1 next=1.2 slow=1 map=7 step=90`,
		`time=2026-02-26T12:48:35.400Z level=INFO msg=pace instance=entry-2 event=slow target=i-5 pace=12 group=77 service=s address=10.0.0.5:80`,
		`time=2026-02-26T12:48:35.500Z level=INFO msg=stall instance=entry-2 event=begun group=77 quiet=361ms running=4`,
		`time=2026-02-26T12:48:36.000Z level=INFO msg="attempt failed" instance=entry-2 id=a target=i-5 outcome=unknown attempt=1 took=1s reason=x`,
		`time=2026-02-26T12:48:37.025Z level=INFO msg="request ended" instance=entry-2 id=a outcome=served reason="" took=2s sends=2`,
	}, "\n")), "a")
	is.NoErr(err)
	text := strings.Join(s.Causes, "\n")
	for _, c := range []string{
		"Rank 5 of group g-1 was 12 times slower than usual from 12:48:35.100 on.", "Target i-5 was 12 times slower than usual from 12:48:35.400 on.",
		"The 4 streams of entry-2 at group 77 had no event for 361ms at 12:48:35.500.", "Steps took 9.1 times those of an evenly loaded group at 12:48:35.300: slow ranks: 1.",
	} {
		is.True(strings.Contains(text, c)) // conclusion
	}
	is.Equal(strings.Count(text, "Rank 5"), 1)
	is.True(!strings.Contains(text, "had shifted"))
}
