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
	return suspect.LostRun{
		Fingerprint: r.Fingerprint, Target: r.Target, Fate: decodeFate(r.Fate), At: now.Add(-time.Duration(max(r.Age, 0)) * time.Microsecond),
	}
}

// decodeFate decodes a fate. One that is not known is decoded as none.
func decodeFate(fate uint32) suspect.Fate {
	if fate > uint32(suspect.FateAlive) {
		return suspect.FateNone
	}
	return suspect.Fate(fate)
}

func encodePartRuns(runs []suspect.PartRun) (out []*LostRun) {
	for _, r := range runs {
		out = append(out, &LostRun{Fingerprint: r.Fingerprint, Target: r.Target, Fate: uint32(r.Fate), Age: r.Age.Microseconds()})
	}
	return out
}

func decodePartRuns(runs []*LostRun) (out []suspect.PartRun) {
	for _, r := range runs {
		out = append(out, suspect.PartRun{Fingerprint: r.Fingerprint, Target: r.Target, Fate: decodeFate(r.Fate), Age: max(duration(r.Age), 0)})
	}
	return out
}
