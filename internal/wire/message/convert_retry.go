package message

import (
	"math"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/budget"
)

// EncodeRecords returns the wire form of what an entry has counted of its retries.
func EncodeRecords(now time.Time, records budget.Records, complete bool) *RetryRecords {
	m := &RetryRecords{Complete: complete, Entries: uint32(max(records.Entries, 0))}
	for service, r := range records.Services {
		m.Records = append(m.Records, &RetryRecord{
			Service: service, Requests: encodeCounts(r.Requests), Retries: encodeCounts(r.Retries), Age: max(now.Sub(r.At).Microseconds(), 0),
		})
	}
	return m
}

// Decode returns the records of their wire form.
func (m *RetryRecords) Decode(now time.Time) budget.Records {
	records := budget.Records{Entries: int(min(m.Entries, math.MaxInt32)), Services: map[string]budget.Record{}}
	for _, r := range m.Records {
		records.Services[r.Service] = budget.Record{At: now.Add(-decodeMicros(r.Age)), Requests: decodeCounts(r.Requests), Retries: decodeCounts(r.Retries)}
	}
	return records
}

// encodeCounts returns the wire form of counts, without the zeros at the end.
func encodeCounts(counts []int) (out []uint32) {
	length := 0
	for i, n := range counts {
		out = append(out, uint32(min(max(n, 0), math.MaxInt32)))
		if n > 0 {
			length = i + 1
		}
	}
	return out[:length]
}

func decodeCounts(counts []uint32) (out []int) {
	for _, n := range counts {
		out = append(out, int(min(n, math.MaxInt32)))
	}
	return out
}
