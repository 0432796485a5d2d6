package entryd

import (
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// server serves the entry's peers.
type server struct {
	message.DRPCEntryUnimplementedServer
	process *Process
}

// Changes streams configuration revisions that are newer than the caller's.
func (s *server) Changes(p *message.Position, out message.DRPCEntry_ChangesStream) error {
	return s.process.Changes(p, out)
}
