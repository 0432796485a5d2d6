package message

import (
	"math"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
)

// EncodeLimits returns the wire form of the limits of targets.
func EncodeLimits(now time.Time, members []*target.Member) (out []*TargetLimit) {
	for _, m := range members {
		l := m.Limit()
		w := &TargetLimit{Target: m.Hash, Limited: l.Limited, Rate: l.Rate, Age: now.Sub(l.At).Microseconds()}
		if at, ok := m.FailedAt(now); ok {
			w.Failed = max(now.Sub(at).Microseconds(), 0) + 1
		}
		out = append(out, w)
	}
	return out
}

// Decode returns the limit of its wire form.
func (l *TargetLimit) Decode(now time.Time) target.Limit {
	return target.Limit{Limited: l.Limited, Rate: decodeRate(l.Rate), At: now.Add(-decodeMicros(l.Age))}
}

// DecodeFailure returns the time at which a connection to the target failed, and whether one did of late.
func (l *TargetLimit) DecodeFailure(now time.Time) (at time.Time, ok bool) {
	return now.Add(-decodeMicros(l.Failed - 1)), l.Failed > 0
}

// EncodePermitRequest returns the wire form of a request for permits with a number.
func EncodePermitRequest(number uint64, r limit.PermitRequest) *PermitRequest {
	return &PermitRequest{Number: number, Target: r.Target, Rate: r.Rate, Priority: uint32(max(r.Priority, 0)), Count: uint32(max(r.Count, 0)), Cold: r.Cold}
}

// Decode returns the request for permits of its wire form.
func (r *PermitRequest) Decode() limit.PermitRequest {
	return limit.PermitRequest{
		Target: r.Target, Rate: decodeRate(r.Rate), Priority: int(min(r.Priority, math.MaxInt32)), Count: int(min(r.Count, math.MaxInt32)), Cold: r.Cold,
	}
}

// EncodePermits returns the wire form of the answer to the request for permits with a number.
func EncodePermits(number uint64, p limit.Permits) *Permits {
	return &Permits{Number: number, Count: uint32(max(p.Count, 0)), Wait: p.Wait.Microseconds()}
}

// Decode returns the permits of their wire form.
func (p *Permits) Decode() limit.Permits {
	return limit.Permits{Count: int(min(p.Count, math.MaxInt32)), Wait: decodeMicros(p.Wait)}
}

// decodeRate returns a rate, or zero if it is negative or no number.
func decodeRate(rate float64) float64 {
	if rate > 0 {
		return rate
	}
	return 0
}

// decodeMicros returns a time in microseconds, or zero if it is negative.
func decodeMicros(n int64) time.Duration {
	return time.Duration(min(max(n, 0), math.MaxInt64/int64(time.Microsecond))) * time.Microsecond
}
