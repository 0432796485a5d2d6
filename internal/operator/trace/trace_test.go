package trace

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReadFindsCauses reads logs of simulated failures and checks that the cause of each is found.
func TestReadFindsCauses(t *testing.T) {
	tests := []struct {
		file, id string
		// causes are expected parts of the conclusions, and states the messages of lines that must be shown.
		causes, states []string
		// absent must not occur in the conclusions.
		absent string
	}{
		{
			"no-seat.log", "910c68d12472ca45",
			[]string{"refused, and has not run", "ran 76 requests in 75 seats", "Steps took 1.9 times", "The order prepare"},
			[]string{"balance", "switch", "order", "store regained"}, "may have run",
		},
		{
			"broken-group.log", "a322e41956aee52d",
			[]string{"refused, and has not run", "engine 10.2.0.38:8023 has crashed or is unreachable", "Attempt 1 at target i-353e18dc5e ended as not-run"},
			[]string{"balance", "store lost"}, "may have run",
		},
		{
			"old-keys.log", "e936344eb9c0c396",
			[]string{"refused, and has not run", "store lost at 12:48:49.513: store kv-watch: status 503"},
			[]string{"store lost", "start"}, "Steps took",
		},
		{
			"silent-target.log", "33ca1a6c45a76c31",
			[]string{"a target may have run it", "Attempt 1 at target i-aa6ab46f13 ended as unknown", "Attempt 2 at target i-a8b4b1f4e3 ended as not-run"},
			[]string{"start"}, "has not run",
		},
		{
			"convicted.log", "1b",
			[]string{"equal requests ended their targets", "Target i-3 ended at 05:00:18.526 while it ran an equal request (fingerprint 4a78)"},
			[]string{"target ended under a request"}, "Target i-9",
		},
		{
			"convicted-part.log", "1b",
			[]string{"prompts with a part of this one ended their targets", "Target i-3 ended at 05:00:18.526 while it ran a prompt with the same part (fingerprint 8bad)"},
			[]string{"target ended under a request"}, "Target i-9",
		},
		{
			"convicted-later.log", "1c",
			[]string{"a target may have run it", "Attempt 1 at target i-4 ended as unknown"},
			nil, "It was refused",
		},
		{
			"at-rest.log", "9",
			[]string{"refused, and has not run", "targets of service holds had turned requests away and asked for rest; the first took requests again after 1.907s"},
			nil, "may have run",
		},
		{
			"evacuated.log", "9",
			[]string{"refused, and has not run", "evacuated all data centres with targets of service holds: c0,c1", "Data centre c0 was evacuated at 09:01:07.310", "Data centre c1 was evacuated at 09:04:40.102"},
			[]string{"centre evacuated"}, "may have run",
		},
		{
			"no-memory.log", "9",
			[]string{"refused, and has not run", "It needed 1024576 bytes, and all requests at entry entry-0 together held 48146432"},
			nil, "may have run",
		},
		{
			"queue.log", "7",
			[]string{"ran 21 requests in 21 seats", `Workspace "large" had more than its fair share`, "promised a seat after 1.512s"},
			nil, "It waited for",
		},
		{
			"queue.log", "8",
			[]string{"It waited for 46.2ms; then no seat", "the part of the seats for returned callers was used up", "promised a seat after 400ms"},
			nil, "fair share",
		},
		{
			"at-cold.log", "9",
			[]string{"refused, and has not run", "limits of 15 requests a second together", "1 of them were cold"},
			nil, "may have run",
		},
		{
			"at-limit.log", "9",
			[]string{"refused, and has not run", "targets of service holds have named limits of 1 requests a second together; the next permit was due after 907"},
			[]string{"start"}, "may have run",
		},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("testdata/" + test.file)
			is.NoErr(err)
			s, err := Read(bytes.NewReader(data), test.id)
			is.NoErr(err)
			text := strings.Join(s.Causes, "\n")
			for _, c := range test.causes {
				is.True(strings.Contains(text, c)) // conclusion
			}
			is.True(!strings.Contains(text, test.absent))
			kinds := map[string]bool{}
			for i, l := range s.States {
				kinds[l.Message] = true
				is.True(i == 0 || !l.Time.Before(s.States[i-1].Time))
			}
			for _, k := range test.states {
				is.True(kinds[k]) // state
			}
			var out bytes.Buffer
			is.NoErr(s.Write(&out))
			is.True(strings.Contains(out.String(), "What happened to it:"))
		})
	}
}

// TestReadCountsUnparsedAndDroppedLines checks that prefixes of log collectors are skipped, and that unparsed and dropped
// lines are counted.
func TestReadCountsUnparsedAndDroppedLines(t *testing.T) {
	is := is.New(t)
	s, err := Read(strings.NewReader(strings.Join([]string{
		`node-3 | time=2026-02-26T12:48:37.025Z level=INFO msg="request ended" instance=entry-2 id=a outcome=served reason="" took=1s sends=1`,
		`panic: something else`,
		`time=2026-02-26T12:48:37.050Z level=WARN msg="log lines dropped" count=7`,
		`time=2026-02-26T12:48:37.100Z level=WARN msg="log lines dropped" instance=entry-2 count=5`,
		`time=yesterday msg=x id=a`,
		``,
	}, "\n")), "a")
	is.NoErr(err)
	is.Equal(len(s.Lines), 1)
	is.Equal(s.Unparsed, 2)
	is.Equal(s.Dropped, 12)
	is.Equal(s.Causes[0], "It was served after 1s.")
	_, err = Read(strings.NewReader(""), "b")
	is.True(errors.Is(err, ErrUnknown))
}
