package message

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/budget"
)

// TestRecordsAreSmall checks that an entry which retries all the time sends its records to two slots, five times a second each, within the
// 4 KB/s that control may cost a node, and that the slots read what it sent.
func TestRecordsAreSmall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	counts := make([]int, 21)
	for i := range counts {
		counts[i] = 100 - i
	}
	records := budget.Records{Entries: 630, Services: map[string]budget.Record{}}
	for _, service := range []string{"drafting-models", "members-orders", "dealer-llm"} {
		records.Services[service] = budget.Record{At: now.Add(-time.Second), Requests: counts, Retries: counts}
	}
	m := EncodeRecords(now, records, true)
	size := proto.Size(&News{Name: "front-eire-east-a-1", Incarnation: 1, Sequence: 1e6, Centre: "eire-east-a", Retries: m})
	t.Logf("%d bytes", size)
	is.True(size*2*5 < 4096)
	is.Equal(m.Decode(now), records)
}

// TestOddRecordsCountNothing decodes counts and ages that no entry sends.
func TestOddRecordsCountNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	m := &RetryRecords{Entries: 1 << 31, Records: []*RetryRecord{{Service: "a", Requests: make([]uint32, 1000), Retries: []uint32{1 << 31}, Age: -1}}}
	r := m.Decode(now)
	b := budget.Budget{}
	b.Window = 10 * time.Second
	b.Inherit(now, r.Services["a"])
	is.Equal(r.Services["a"].At, now)
	is.Equal(b.Account(now, r.Entries).Requests, 0)
}
