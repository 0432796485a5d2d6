package sidecar

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/budget"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// TestRestartedEntryGetsItsRecords tells a slot of retries from processes of one entry, and counts those that the last one is told of.
func TestRestartedEntryGetsItsRecords(t *testing.T) {
	type told struct {
		incarnation uint64
		after       time.Duration
		retries     int
		complete    bool
	}
	tests := []struct {
		name string
		told []told
		// want is the number of retries in the answer, or negative without an answer.
		want int
	}{
		{"a first process", []told{{1, 0, 5, false}}, -1},
		{"a process after one that ran for long", []told{{1, 0, 5, true}, {2, time.Second, 0, false}}, 5},
		{"a process after one that was killed before it knew", []told{{1, 0, 5, true}, {2, time.Second, 2, false}, {3, time.Second, 1, false}}, 7},
		{"a process after one that knew", []told{{1, 0, 5, true}, {2, time.Second, 0, false}, {2, 0, 6, true}, {3, time.Second, 0, false}}, 6},
		{"a process after one that was not heard for long", []told{{1, 0, 5, true}, {2, 4 * time.Second, 0, false}}, -1},
		{"a process after two of which the first is not known", []told{{2, 0, 2, false}, {3, time.Second, 0, false}}, -1},
		{"a process that knows", []told{{1, 0, 5, true}, {2, time.Second, 3, true}}, -1},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			p := New(Options{
				Settings: &site.Settings{Centre: "c0", Peers: netip.MustParseAddrPort("127.0.0.9:7000"), Retries: site.RetryBound{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}},
				Log:      slog.New(slog.DiscardHandler), Now: func() time.Time { return now },
			})
			var answer *message.RetryRecords
			p.transmit = func(n *message.News, _ []netip.AddrPort) error {
				answer = n.Retries
				return nil
			}
			for i, x := range v.told {
				now = now.Add(x.after)
				answer = nil
				records := budget.Records{Services: map[string]budget.Record{"a": {At: now, Retries: []int{x.retries}}}}
				p.receive(netip.MustParseAddrPort("127.0.0.2:7000"), &message.News{
					Incarnation: x.incarnation, Sequence: uint64(i + 1), Retries: message.EncodeRecords(now, records, x.complete),
				})
			}
			got := -1
			if answer != nil {
				got = 0
				for _, n := range answer.Decode(now).Services["a"].Retries {
					got += n
				}
			}
			is.Equal(got, v.want)
		})
	}
}
