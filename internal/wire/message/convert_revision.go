package message

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
)

// EncodePatch returns the wire form of a patch with the age of the sender's last contact with the configuration service.
func EncodePatch(p *revision.Patch, age time.Duration) *Revision {
	return &Revision{
		Revision: p.Revision, Digest: p.Digest, Base: p.Base.Revision, Origin: p.Base.Digest,
		Data: p.Data, Age: age.Microseconds(),
	}
}

// Decode returns the patch of its wire form.
func (r *Revision) Decode() *revision.Patch {
	return &revision.Patch{
		Position: revision.Position{Revision: r.Revision, Digest: r.Digest},
		Base:     revision.Position{Revision: r.Base, Digest: r.Origin},
		Data:     r.Data,
	}
}
