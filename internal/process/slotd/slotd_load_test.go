package slotd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
)

// TestLoadReportOfAFailingEngine guards against a load that is read from an answer that is a failure or was broken off after the first value.
func TestLoadReportOfAFailingEngine(t *testing.T) {
	tests := []struct {
		name, length string
		status       int
		alive        bool
	}{
		{"whole", "", http.StatusOK, true},
		{"failure", "", http.StatusInternalServerError, false},
		{"unavailable", "", http.StatusServiceUnavailable, false},
		{"broken off", "100", http.StatusOK, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if v.length != "" {
					w.Header().Set("Content-Length", v.length)
				}
				w.WriteHeader(v.status)
				_, _ = io.WriteString(w, `{"running":3}`)
			}))
			defer server.Close()
			p := &Process{engineClient: newClient(true)}
			p.Node = &node.Node{Settings: &settings.Settings{Engine: netip.MustParseAddrPort(server.Listener.Addr().String())}}
			is.Equal(p.readLoad(t.Context()).Alive, v.alive)
		})
	}
}
