package message

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// EncodeRuns returns the wire form of lost runs.
func EncodeRuns(now time.Time, runs []suspect.LostRun) (out []*LostRun) {
	for _, r := range runs {
		out = append(out, &LostRun{
			Fingerprint: r.Fingerprint, Target: r.Target, Fate: uint32(r.Fate), Age: now.Sub(r.At).Microseconds(),
		})
	}
	return out
}

// Decode returns the lost run of its wire form. A fate that is not known is decoded as none.
func (r *LostRun) Decode(now time.Time) suspect.LostRun {
	fate := suspect.FateNone
	if r.Fate <= uint32(suspect.FateAlive) {
		fate = suspect.Fate(r.Fate)
	}
	return suspect.LostRun{
		Fingerprint: r.Fingerprint, Target: r.Target, Fate: fate, At: now.Add(-time.Duration(max(r.Age, 0)) * time.Microsecond),
	}
}
