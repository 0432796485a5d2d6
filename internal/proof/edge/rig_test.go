// Package edge tests an entry on the users' platform against fakes of the store and the targets.
package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/boottime"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/process/gateway"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/loopback"
	"github.com/dragonflydeal/dragonflydeal/platform"
)

// target is a fake target; handle serves its requests.
type target struct {
	*httptest.Server
	id string
	// number is that of the data centre, and born increases with each restart.
	number, born int
	handle       http.HandlerFunc

	mu sync.Mutex
	// arrivals holds the headers of the requests received; guarded by mu.
	arrivals []http.Header
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.arrivals = append(t.arrivals, r.Header.Clone())
	t.mu.Unlock()
	t.handle(w, r)
}

// listen serves at an address.
func (t *target) listen(test *testing.T, address string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		test.Error(err)
		return
	}
	server := httptest.NewUnstartedServer(t)
	server.Listener.Close()
	server.Listener = l
	server.Start()
	t.Server = server
}

func (t *target) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.arrivals)
}

// rig is a fake store and fake targets with one or more entries. The first entry is embedded.
type rig struct {
	*entry
	t       *testing.T
	store   *store
	targets []*target
	entries []*entry
	// timeoutMs is the time limit of requests in the next configuration; zero for two seconds.
	timeoutMs int
	// goalMs is the time within which an answer is on time in the next configuration; zero for half a second.
	goalMs int
	// slots is the number of requests that each target runs at once; zero for six.
	slots int
	// bodyLimit is the largest body of a request in bytes in the next configuration; zero for 1 MiB.
	bodyLimit int
	// edit changes the settings of an entry that is added; nil for none.
	edit func(number int, s *site.Settings)
	// engine describes the engines of a group in the next configuration; nil for a plain service. A cold engine sustains coldPerS
	// requests a second for coldS; zero says that no engine is cold.
	engine          map[string]any
	coldS, coldPerS float64
	// log takes the logs of the entries; nil for none.
	log *slog.Logger
	// bound is that of the settings of the entries that are added.
	bound site.ColdBound
	// split is set while entries of odd and of even numbers do not reach each other.
	split atomic.Bool
}

// entry is one entry of a rig.
type entry struct {
	number   int
	settings *site.Settings
	front    string
	ready    string
	stop     context.CancelFunc
	// ended is closed once the entry's Run has returned.
	ended chan struct{}
	// storeCut is set while the entry can't reach the store.
	storeCut atomic.Bool
	// link is its path to the store at storeAddress.
	link         *storeLink
	storeAddress netip.AddrPort
	// frozen is locked while the entry is frozen: it stops wherever it reads the clock.
	frozen sync.RWMutex
}

func (e *entry) now() time.Time {
	e.frozen.RLock()
	defer e.frozen.RUnlock()
	return time.Now()
}

// The API key and the workspace of the rig's requests.
const (
	testKey       = "k-1"
	testWorkspace = "school"
)

// respond answers a request with the headers that the entry expects from a target.
func respond(w http.ResponseWriter, r *http.Request, status int, body string) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Engine-Seal", "seal")
	w.WriteHeader(status)
	fmt.Fprint(w, body)
}

func serveDone(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "done") }

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// resetConnection resets the connection after receiving the request.
func resetConnection(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// newRig starts an entry with a target for each handler, in the order in which the entry prefers them.
func newRig(t *testing.T, revoke time.Duration, handlers ...http.HandlerFunc) *rig {
	t.Helper()
	return newSite(t, 1, revoke, handlers...)
}

// newSite starts entries that know each other, with a target for each handler.
func newSite(t *testing.T, entries int, revoke time.Duration, handlers ...http.HandlerFunc) *rig {
	t.Helper()
	return newEditedSite(t, entries, revoke, nil, handlers...)
}

// newEditedSite is newSite with a change of the entries' settings.
func newEditedSite(t *testing.T, entries int, revoke time.Duration, edit func(number int, s *site.Settings), handlers ...http.HandlerFunc) *rig {
	t.Helper()
	r := &rig{edit: edit}
	r.startSite(t, entries, revoke, handlers...)
	return r
}

// startSite starts the site of a rig that has no field set but those of the configuration and the settings.
func (r *rig) startSite(t *testing.T, entries int, revoke time.Duration, handlers ...http.HandlerFunc) {
	t.Helper()
	r.t, r.store = t, &store{values: map[string]json.RawMessage{}, created: map[string]int64{}}
	r.configure(1, testKey)
	for i, handle := range handlers {
		x := &target{id: fmt.Sprintf("i-%d", i), number: i, born: 1, handle: handle}
		x.listen(t, loopback.FreeAddress(t).String())
		t.Cleanup(func() { x.Close() })
		r.targets = append(r.targets, x)
		r.registerTarget(x, i, "ready")
	}
	// All entries use the same port for their datagrams.
	peers := loopback.FreeAddress(t)
	for i := range entries {
		r.addEntry(i, revoke, peers)
	}
	r.entry = r.entries[0]
	for _, e := range r.entries {
		r.start(e)
		r.await(func() bool { return r.callAt(e, "GET", "/warm/", nil).status == http.StatusOK || len(handlers) == 0 })
	}
	// Entries take seconds to stop; all stop at once.
	t.Cleanup(func() {
		for _, e := range r.entries {
			if e.stop != nil {
				e.stop()
			}
		}
	})
}

// addEntry adds an entry that is not started. The first entry is the seed of all.
func (r *rig) addEntry(number int, revoke time.Duration, seed netip.AddrPort) *entry {
	host := seed.Addr().As4()
	host[2] += byte(number)
	front, ready := loopback.FreeAddress(r.t), loopback.FreeAddress(r.t)
	e := &entry{number: number, front: "http://" + front.String(), ready: "http://" + ready.String(), settings: &site.Settings{
		Name: fmt.Sprintf("entry-%d", number), Centre: "c0", Peers: netip.AddrPortFrom(netip.AddrFrom4(host), seed.Port()),
		Seeds: []netip.AddrPort{seed}, Metrics: loopback.FreeAddress(r.t), Callers: front, Ready: ready, History: 20 * time.Second,
		Grace: 8 * time.Second, Revoke: revoke, Cold: r.bound, Retries: site.RetryBound{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}}
	if r.edit != nil {
		r.edit(number, e.settings)
	}
	e.link = &storeLink{store: r.store}
	server := httptest.NewServer(e.link)
	r.t.Cleanup(server.Close)
	e.storeAddress = netip.MustParseAddrPort(server.Listener.Addr().String())
	r.entries = append(r.entries, e)
	return e
}

// start starts an entry, also again after it has ended, and waits until it is ready.
func (r *rig) start(e *entry) {
	r.t.Helper()
	boot, err := boottime.New()
	if err != nil {
		r.t.Fatal(err)
	}
	p := gateway.New(gateway.Options{
		Settings: e.settings,
		Codec: gateway.Codec{
			DecodeCall: platform.DecodeCall, DecodeKey: platform.DecodeKey, NewRequest: platform.NewRequest, DecodeAnswer: platform.DecodeAnswer, SetAttemptID: platform.SetAttemptID,
		},
		Store: e.cuttableStore(platform.NewStore(e.storeAddress)),
		Log:   cmp.Or(r.log, slog.New(slog.DiscardHandler)), Random: rand.New(rand.NewPCG(1, uint64(time.Now().UnixNano()))), Now: e.now, Boot: boot,
		Reachable: func(address netip.AddrPort) bool {
			distance := int(address.Addr().As4()[2]) - int(e.settings.Peers.Addr().As4()[2])
			return !r.split.Load() || distance%2 == 0
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	e.stop, e.ended = cancel, ended
	go func() {
		defer close(ended)
		if err := p.Run(ctx); err != nil {
			r.t.Error(err)
		}
	}()
	r.t.Cleanup(func() { cancel(); <-ended })
	r.await(func() bool { return r.status(e.ready) == http.StatusOK })
}

// cuttableStore returns the functions of a store, which fail while storeCut is set.
func (e *entry) cuttableStore(s *platform.Store) gateway.Store {
	errCut := errors.New("cut off from the store")
	return gateway.Store{
		Close: s.Close, Decode: platform.DecodeConfiguration,
		Configuration: func(ctx context.Context) (*site.Configuration, error) {
			if e.storeCut.Load() {
				return nil, errCut
			}
			return s.Configuration(ctx)
		},
		StaleConfiguration: func(ctx context.Context) (*site.Configuration, error) {
			if e.storeCut.Load() {
				return nil, errCut
			}
			return s.StaleConfiguration(ctx)
		},
		Changes: func(ctx context.Context, after int64, wait time.Duration) (site.Changes, error) {
			if e.storeCut.Load() {
				return site.Changes{}, errCut
			}
			return s.Changes(ctx, after, wait)
		},
		Targets: func(ctx context.Context) ([]site.TargetRecord, int64, error) {
			if e.storeCut.Load() {
				return nil, 0, errCut
			}
			return s.Targets(ctx)
		},
		Evacuations: func(ctx context.Context) ([]site.Evacuation, error) {
			if e.storeCut.Load() {
				return nil, errCut
			}
			return s.Evacuations(ctx)
		},
	}
}

func (r *rig) await(condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	r.t.Fatal("condition not met within 10 s")
}

// registerTarget publishes a target in the store; a higher number means a more distant data centre.
func (r *rig) registerTarget(x *target, number int, state string) {
	r.store.put("servers/"+x.id, map[string]any{
		"service": "holds", "addr": x.Listener.Addr().String(), "zone": fmt.Sprintf("c%d", number), "slots": cmp.Or(r.slots, 6), "state": state, "born": x.born,
	})
}

// configure publishes a configuration with one API key; the public route /warm/ is for the rig's own requests.
func (r *rig) configure(version int, key string) {
	route := func(name, kind string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "prefix": "/" + name + "/", "kind": kind, "timeoutMs": cmp.Or(r.timeoutMs, 2000), "goalMs": cmp.Or(r.goalMs, 500),
			"priority": 1, "service": "holds", "attempts": attempts, "resumable": resumable, "gapAimMs": 120,
		}
	}
	warmRoute := route("warm", "safe", 1, false)
	warmRoute["public"] = true
	r.store.put("op/config", map[string]any{
		"version":  version,
		"services": []any{map[string]any{"name": "holds", "engine": r.engine, "coldS": r.coldS, "coldPerS": r.coldPerS}},
		"tenants":  []any{map[string]any{"name": testWorkspace, "apiKeys": []string{key}}},
		"limits":   map[string]any{"maxBodyBytes": cmp.Or(r.bodyLimit, 1<<20)},
		"routes": []any{
			route("once", "unsafe", 1, false), route("safe", "safe", 2, false),
			route("stream", "stream", 2, true), route("fixed", "stream", 1, false), warmRoute,
		},
	})
}

// answer is the answer that a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if there was no answer or a truncated one.
	err error
}

var attempts atomic.Int64

// call sends one request to the first entry on a new connection.
func (r *rig) call(method, path string, edit func(*http.Request)) answer {
	return r.callAt(r.entry, method, path, edit)
}

// callAt sends one request to an entry on a new connection.
func (r *rig) callAt(e *entry, method, path string, edit func(*http.Request)) answer {
	q, err := http.NewRequest(method, e.front+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	q.Host = "desk.example"
	q.Header.Set("Attempt-Id", strconv.FormatInt(attempts.Add(1), 16))
	q.Header.Set("Timeout-Ms", "1500")
	q.Header.Set("Authorization", "Bearer "+testKey)
	if edit != nil {
		edit(q)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (r *rig) status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
