package message

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
)

// FromPatch returns the wire form of a patch with the age of the sender's last contact with the configuration service.
func FromPatch(p *revision.Patch, age time.Duration) *Revision {
	return &Revision{
		Revision: p.Revision, Digest: p.Digest, Base: p.Base.Revision, Origin: p.Base.Digest,
		Data: p.Data, Age: age.Microseconds(),
	}
}

// Patch returns the change of its wire form.
func (r *Revision) Patch() *revision.Patch {
	return &revision.Patch{
		Position: revision.Position{Revision: r.Revision, Digest: r.Digest},
		Base:     revision.Position{Revision: r.Base, Digest: r.Origin},
		Data:     r.Data,
	}
}
