// Package cost measures the latency, processor time and memory of requests and tokens through an entry and a slot.
package cost

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/process/entryd"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/process/slotd"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/loopback"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/platform"
)

const (
	width   = 4096
	timeout = 60 * time.Second
)

// rig is an entry and a slot in this process with a fake engine.
type rig struct {
	// entry and direct are the URLs of the entry and of the fake engine.
	entry, direct string
	client        *http.Client
	ctx           context.Context
}

// serveEngine echoes the body at once, or streams the requested number of tokens, each of which is the time at which it
// is written.
func serveEngine(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_, _ = io.WriteString(w, `{"running":0}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	tokens, step, stream := strings.Cut(string(body), " ")
	if !stream {
		_, _ = w.Write(body)
		return
	}
	n, _ := strconv.Atoi(tokens)
	d, _ := time.ParseDuration(step)
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for range n {
		fmt.Fprintf(w, "%d\n", time.Now().UnixNano())
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func newRig(b *testing.B) *rig {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	engine := httptest.NewServer(http.HandlerFunc(serveEngine))
	fakePlatform := platform.New()
	service := httptest.NewServer(fakePlatform.Handler())
	entry, slot := newSettings(b, service, "entry-1"), newSettings(b, service, "slot-1")
	entry.Callers = loopback.FreeAddress(b)
	slot.Engine = addressOf(engine)
	c := configuration.Configuration{
		Format: "1.0", Revision: 1, Centres: []configuration.Centre{{Name: "c1"}},
		Entries:    []configuration.Entry{{Name: "entry-1", Centre: "c1", Address: entry.Listen}},
		Targets:    []configuration.Target{{Name: "slot-1", Centre: "c1", Kind: configuration.KindEngine, Pool: "p", Address: slot.Listen, Width: width}},
		Workspaces: []configuration.Workspace{{Name: "school"}},
		Routes: []configuration.Route{
			{Name: "plain", Prefix: "/plain", Pool: "p", Timeout: configuration.Duration(timeout)},
			{Name: "stream", Prefix: "/stream", Pool: "p", Stream: true, Timeout: configuration.Duration(timeout)},
			{Name: "once", Prefix: "/once", Pool: "p", Once: true, Timeout: configuration.Duration(timeout)},
		},
	}
	data, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	fakePlatform.Publish(1, data)
	done := make(chan error, 2)
	random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
	options := func(s *settings.Settings) node.Options {
		return node.Options{Settings: s, Log: slog.New(slog.DiscardHandler), Now: time.Now}
	}
	go func() { done <- entryd.New(entryd.Options{Options: options(entry), Random: random()}).Run(ctx) }()
	go func() { done <- slotd.New(slotd.Options{Options: options(slot), Random: random()}).Run(ctx) }()
	r := &rig{entry: "http://" + entry.Callers.String(), direct: engine.URL, ctx: ctx}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: width, DisableCompression: true}}
	b.Cleanup(func() {
		cancel()
		r.client.CloseIdleConnections()
		for range cap(done) {
			if err := <-done; err != nil {
				b.Error(err)
			}
		}
		engine.CloseClientConnections()
		engine.Close()
		service.CloseClientConnections()
		service.Close()
	})
	r.await(b)
	return r
}

func newSettings(b *testing.B, service *httptest.Server, name string) *settings.Settings {
	s := &settings.Settings{
		Name: name, Centre: "c1", Platform: addressOf(service), Listen: loopback.FreeAddress(b), Operators: loopback.FreeAddress(b),
		Stop: configuration.Duration(time.Millisecond), Drain: configuration.Duration(time.Millisecond),
	}
	s.Default()
	return s
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// await waits until the system serves requests.
func (r *rig) await(b *testing.B) {
	b.Helper()
	for range 500 {
		if response, err := r.post(r.entry, "/plain", "x", ""); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("the system did not become ready")
}

func (r *rig) post(address, path, body, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(r.ctx, http.MethodPost, address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Workspace", "school")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return r.client.Do(request)
}
