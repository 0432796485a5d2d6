package entryd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/loopback"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/platform"
)

// readyTimeout bounds the wait for the entry to become ready.
const readyTimeout = 10 * time.Second

// sendTimeout bounds every request of the tests.
const sendTimeout = 20 * time.Second

// runningEntry is an entry under test.
type runningEntry struct {
	settings settings.Settings
	log      *bytes.Buffer
	// stop stops the entry and returns its error.
	stop func() error
}

// startEntry starts an entry with a configuration whose only target is not running.
func startEntry(t *testing.T) *runningEntry {
	t.Helper()
	fakePlatform := platform.New()
	server := httptest.NewServer(fakePlatform.Handler())
	config := &configuration.Configuration{
		Format: "1.0", Revision: 1, Centres: []configuration.Centre{{Name: "c1"}},
		Entries:    []configuration.Entry{},
		Workspaces: []configuration.Workspace{{Name: "school"}, {Name: "council"}},
		Targets: []configuration.Target{{
			Name: "hold-1", Centre: "c1", Kind: configuration.KindService, Pool: "hold", Width: 1, Address: loopback.FreeAddress(t),
		}},
		Routes: []configuration.Route{{Name: "hold", Prefix: "/v1/holds", Pool: "hold", Once: true, Timeout: configuration.Duration(time.Second)}},
	}
	data, err := config.Encode()
	if err != nil {
		t.Fatal(err)
	}
	fakePlatform.Publish(1, data)
	r := &runningEntry{log: &bytes.Buffer{}, settings: settings.Settings{
		Name: "entry-1", Centre: "c1", Platform: netip.MustParseAddrPort(server.Listener.Addr().String()),
		Listen: loopback.FreeAddress(t), Operators: loopback.FreeAddress(t), Callers: loopback.FreeAddress(t),
		Drain: configuration.Duration(10 * time.Millisecond), Body: 1 << 16,
	}}
	r.settings.Default()
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	log := slog.New(slog.NewTextHandler(r.log, nil))
	p := New(Options{
		Options: node.Options{Settings: &r.settings, Log: log, Now: time.Now},
		Random:  rand.New(rand.NewPCG(1, 1)),
	})
	go func() { result <- p.Run(ctx) }()
	r.stop = sync.OnceValue(func() error {
		cancel()
		defer server.Close()
		return <-result
	})
	t.Cleanup(func() { _ = r.stop() })
	r.awaitReady(t)
	return r
}

// awaitReady waits until the entry is ready.
func (r *runningEntry) awaitReady(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		response, err := http.Get("http://" + r.settings.Operators.String() + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the entry is not ready")
}

// send sends a request and returns its status and problem.
func send(t *testing.T, method string, address netip.AddrPort, path string, header http.Header, body io.Reader) (status int, p problem) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+address.String()+path, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header
	client := http.Client{Timeout: sendTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, p
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&p)
	return response.StatusCode, p
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(data []byte) (int, error) { return len(data), nil }

func TestHostileRequests(t *testing.T) {
	r := startEntry(t)
	councilKey := key.Key{Home: "hold-1", Workspace: key.WorkspaceHash("council")}.String()
	school := http.Header{"Workspace": {"school"}}
	with := func(name, value string) http.Header {
		h := school.Clone()
		h.Set(name, value)
		return h
	}
	tests := []struct {
		name   string
		method string
		path   string
		header http.Header
		body   io.Reader
		// status and outcome are the expected ones; outcome is empty if the HTTP server refuses the request itself.
		status  int
		outcome string
	}{
		{"huge body", "POST", "/v1/holds", school, io.LimitReader(zeros{}, 1<<30), http.StatusRequestEntityTooLarge, "not-run"},
		{"huge header", "POST", "/v1/holds", with("Extra", strings.Repeat("x", 1<<20)), nil, http.StatusRequestHeaderFieldsTooLarge, ""},
		{"malformed resume token", "POST", "/v1/holds", with("Last-Event-ID", "../../x/-1"), nil, http.StatusBadRequest, "not-run"},
		{"token with a negative offset", "POST", "/v1/holds", with("Last-Event-ID", strings.Repeat("ab", 16)+"/hold-1/-1"), nil, http.StatusBadRequest, "unknown"},
		{"damaged key", "POST", "/v1/holds", with("Idempotency-Key", "dd1.AAAA"), nil, http.StatusBadRequest, "unknown"},
		{"another workspace's key", "POST", "/v1/holds", with("Idempotency-Key", councilKey), nil, http.StatusForbidden, "unknown"},
		{"unknown workspace", "POST", "/v1/holds", http.Header{"Workspace": {"nobody"}}, nil, http.StatusForbidden, "not-run"},
		{"no workspace", "POST", "/v1/holds", http.Header{}, nil, http.StatusForbidden, "not-run"},
		{"bad time limit", "POST", "/v1/holds", with("Request-Timeout", "-1s"), nil, http.StatusBadRequest, "not-run"},
		{"operators' path", "POST", "/status", school, nil, http.StatusNotFound, "not-run"},
		{"reading method", "GET", "/debug/vars", school, nil, http.StatusMethodNotAllowed, "not-run"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			status, p := send(t, test.method, r.settings.Callers, test.path, test.header, test.body)
			if test.name == "huge body" && status == 0 {
				return // the connection was closed while the body was sent
			}
			is.Equal(status, test.status)
			is.Equal(p.Outcome, test.outcome)
		})
	}
}

func TestHugeBodiesCostBoundedMemory(t *testing.T) {
	is := is.New(t)
	r := startEntry(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			send(t, http.MethodPost, r.settings.Callers, "/v1/holds", http.Header{"Workspace": {"school"}}, io.LimitReader(zeros{}, 64<<20))
		})
	}
	group.Wait()
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 64<<20) // 16 bodies of 64 MB, refused at 64 KB each
}

func TestAddressesServeTheirOwnSide(t *testing.T) {
	is := is.New(t)
	r := startEntry(t)
	status, _ := send(t, http.MethodPost, r.settings.Operators, "/v1/holds", http.Header{"Workspace": {"school"}}, nil)
	is.Equal(status, http.StatusNotFound)
	status, _ = send(t, http.MethodPost, r.settings.Operators, "/status", nil, nil)
	is.Equal(status, http.StatusMethodNotAllowed)
	conn, err := net.Dial("tcp", r.settings.Listen.String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(sendTimeout)))
	_, err = io.WriteString(conn, "POST /v1/holds HTTP/1.1\r\nHost: x\r\nWorkspace: school\r\nContent-Length: 4\r\n\r\nroom")
	is.NoErr(err)
	answer, err := io.ReadAll(conn)
	is.NoErr(err) // the address for processes closes the connection
	is.Equal(len(answer), 0)
}

func TestRequestIdentityIsLogged(t *testing.T) {
	is := is.New(t)
	r := startEntry(t)
	status, _ := send(t, http.MethodPost, r.settings.Callers, "/v1/holds", http.Header{"Workspace": {"school"}}, strings.NewReader("room"))
	is.Equal(status, http.StatusServiceUnavailable)
	response, err := http.Get("http://" + r.settings.Operators.String() + "/debug/vars")
	is.NoErr(err)
	defer response.Body.Close()
	var vars struct {
		Requests map[string]float64 `json:"requests"`
		Refusals map[string]float64 `json:"refusals"`
	}
	is.NoErr(json.NewDecoder(response.Body).Decode(&vars))
	is.Equal(vars.Requests, map[string]float64{"outcome=not-run": 1})
	is.Equal(vars.Refusals, map[string]float64{"status=503": 1})
	is.NoErr(r.stop())
	_, accepted, _ := strings.Cut(r.log.String(), "msg=accepted ")
	_, id, _ := strings.Cut(accepted, "id=")
	id, _, _ = strings.Cut(id, " ")
	is.Equal(len(id), 32)
	is.True(strings.Contains(r.log.String(), "msg=ended instance=entry-1 id="+id+" outcome=not-run status=503"))
}

func TestStopLeavesNoGoroutine(t *testing.T) {
	is := is.New(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r := startEntry(t)
	is.NoErr(r.stop())
	http.DefaultClient.CloseIdleConnections()
}
