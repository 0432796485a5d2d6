package message

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// TestColdTimeIsNeverShortened passes a record on with a delay: the receiver's clock has nothing to do with the sender's, and the
// target must not be warm for it before it is.
func TestColdTimeIsNeverShortened(t *testing.T) {
	const left, waited, delay = 3 * time.Second, time.Second, 40 * time.Millisecond
	is := is.New(t)
	read, other := time.Unix(1_700_000_000, 0), time.Unix(1_900_000_000, 0)
	for _, v := range []struct {
		name  string
		until time.Time
		cold  bool
	}{{"cold", read.Add(left), true}, {"no longer", read.Add(waited), false}, {"never", time.Time{}, false}} {
		target := &site.Target{ID: "a", Service: "s", Centre: "c", Address: netip.MustParseAddrPort("10.0.0.1:80"), ColdUntil: v.until}
		a := &Answer{Targets: EncodeTargets(read.Add(waited), []site.TargetRecord{{ID: "a", Target: target}})}
		got := a.DecodePage(other.Add(delay)).Records[0].Target
		is.Equal(!got.ColdUntil.IsZero(), v.cold)
		if v.cold {
			is.Equal(got.ColdUntil, other.Add(left-waited+delay))
		}
	}
	a := &Answer{Targets: []*Target{{Id: "a", Cold: -1}, {Id: "b", Cold: math.MaxInt64}}}
	page := a.DecodePage(other)
	is.True(page.Records[0].Target.ColdUntil.IsZero())
	is.True(page.Records[1].Target.ColdUntil.After(other))
}

// TestDecodeFailure checks the age of a failure that a peer tells of.
func TestDecodeFailure(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	for _, v := range []struct {
		failed int64
		age    time.Duration
		ok     bool
	}{{0, 0, false}, {-5, 0, false}, {1, 0, true}, {1001, time.Millisecond, true}} {
		at, ok := (&TargetLimit{Failed: v.failed}).DecodeFailure(now)
		is.Equal(ok, v.ok)
		if ok {
			is.Equal(now.Sub(at), v.age)
		}
	}
}
