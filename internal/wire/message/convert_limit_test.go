package message

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
)

func TestDecodeLimit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := []struct {
		name string
		in   *TargetLimit
		rate float64
		age  time.Duration
	}{
		{"plain", &TargetLimit{Limited: true, Rate: 2.5, Age: 1000}, 2.5, time.Millisecond},
		{"negative", &TargetLimit{Limited: true, Rate: -1, Age: -1}, 0, 0},
		{"not a number", &TargetLimit{Limited: true, Rate: math.NaN()}, 0, 0},
		{"oldest", &TargetLimit{Limited: true, Age: math.MaxInt64}, 0, math.MaxInt64 / time.Microsecond * time.Microsecond},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			l := v.in.Decode(now)
			is.True(l.Limited)
			is.Equal(l.Rate, v.rate)
			is.Equal(now.Sub(l.At), v.age)
		})
	}
}

func TestPermitsRoundTrip(t *testing.T) {
	is := is.New(t)
	r := limit.PermitRequest{Target: 7, Rate: 2.5, Count: 3, Priority: 1, Cold: true}
	is.Equal(EncodePermitRequest(1, r).Decode(), r)
	for _, p := range []limit.Permits{{Count: 3}, {Wait: 40 * time.Millisecond}} {
		is.Equal(EncodePermits(1, p).Decode(), p)
	}
	is.Equal((&Permits{Wait: -1}).Decode(), limit.Permits{})
}
