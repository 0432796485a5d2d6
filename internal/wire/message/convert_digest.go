package message

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
)

// EncodeDigest returns the wire form of a digest.
func EncodeDigest(d *membership.Digest) *Digest {
	out := &Digest{Entry: d.Entry}
	for i := range d.Reports {
		out.Heartbeats = append(out.Heartbeats, EncodeHeartbeat(&d.Reports[i]))
	}
	for _, h := range d.Hints {
		out.Hints = append(out.Hints, &Hint{Target: h.Target, Age: h.Age.Microseconds()})
	}
	return out
}

// Decode returns the digest of its wire form.
func (d *Digest) Decode() membership.Digest {
	out := membership.Digest{Entry: d.Entry}
	for _, h := range d.Heartbeats {
		out.Reports = append(out.Reports, h.Decode())
	}
	for _, h := range d.Hints {
		out.Hints = append(out.Hints, membership.Hint{Target: h.Target, Age: time.Duration(h.Age) * time.Microsecond})
	}
	return out
}
