package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// TestRelayedCentresFitIntoADatagram evacuates more data centres with long names than a datagram has room for. One with targets that
// were left out would go on getting requests.
func TestRelayedCentresFitIntoADatagram(t *testing.T) {
	is := is.New(t)
	const longest, largest = 256, 9 << 10
	var centres []string
	for i := range 1000 {
		centres = append(centres, fmt.Sprintf("%04d%s", i, strings.Repeat("x", longest-4)))
	}
	last := centres[len(centres)-1]
	got := relayedCentres(centres, map[string]site.Target{"i-1": {ID: "i-1", Centre: last}})
	is.True(slices.Contains(got, last))
	is.True(proto.Size(&message.Relay{Evacuated: got}) <= largest)
	is.Equal(relayedCentres(centres[:3], nil), centres[:3])
}
