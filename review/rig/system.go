package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: a store, engines and entries on loopback addresses.
type world struct {
	// trouble is false if the disruption is left out.
	trouble bool
	folder  string
	net     string
	store   *store
	entries []*entry
	ports   []int

	mu     sync.Mutex
	out    io.Writer
	began  time.Time
	lastID int
	hosts  int
	// sent holds when each attempt was sent.
	sent map[string]time.Time
}

// entry is one process of the system.
type entry struct {
	name, ip, zone string
	process        *exec.Cmd
	log            *os.File
	settings       string
}

// newWorld starts a store and opens the record.
func newWorld(recordPath string) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{trouble: os.Getenv("TROUBLE") != "0", folder: folder, net: fmt.Sprintf("127.%d.%d.", 10+pid%200, 1+pid/200%250), out: out, began: time.Now(), sent: map[string]time.Time{}}
	if w.store, err = newStore(w.nextIP()); err != nil {
		return nil, err
	}
	w.ports, err = freePorts(w.net+"1", 5)
	return w, err
}

// freePorts returns ports that are free at an IP, in ascending order.
func freePorts(ip string, n int) (ports []int, err error) {
	for range n {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(ports)
	return ports, nil
}

// nextIP returns a loopback address that nothing else of this run has.
func (w *world) nextIP() string {
	w.hosts++
	return w.net + strconv.Itoa(w.hosts)
}

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// newID returns an ID for a consumer's attempt.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	id := fmt.Sprintf("%08x%08x", os.Getpid(), w.lastID)
	w.sent[id] = time.Now()
	return id
}

// sentAt returns when an attempt was sent.
func (w *world) sentAt(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[id]
}

// addEntry adds an entry in a data centre and writes its settings.
func (w *world) addEntry(zone string) error {
	e := &entry{name: fmt.Sprintf("front-%s-%d", zone, len(w.entries)+1), ip: w.nextIP(), zone: zone}
	e.settings = filepath.Join(w.folder, e.name+".toml")
	w.entries = append(w.entries, e)
	return w.editSettings(e, func(text string) string { return text })
}

// editSettings writes the settings of an entry with a change.
func (w *world) editSettings(e *entry, edit func(string) string) error {
	return os.WriteFile(e.settings, []byte(edit(w.settingsText(e))), 0o600)
}

// startAll starts all entries and waits until they are ready.
func (w *world) startAll() error {
	for _, e := range w.entries {
		if err := w.start(e); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if err := w.awaitReady(e); err != nil {
			return err
		}
	}
	return nil
}

// settingsText returns the settings file of an entry with the bounds of slepnis-riga-grown.
func (w *world) settingsText(e *entry) string {
	first := w.entries[0]
	return fmt.Sprintf(`node = %q
role = "entry"
class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "lv-riga"
portRange = [%d,%d]
seeds = ["%s:%d"]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","platform","experts"]
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.384
cores = 1
memoryMb = 184
maxFds = 4100
linkMbps = 40.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 4000
ackMs = 6000
catchUpS = 6
drainMs = 3000
graceS = 8
lossSlackMs = 200
configMs = 3000
rollbackSlackMs = 250
stretchMaxMs = 6000
strictRevoke = true
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 194
recoverS = 15
passMs = 200
againS = 0
stall_ms = 1500
requireFence = false
[platform]
addr = %q
form = "read"
writesPerS = 1200
readsPerS = 6000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, e.name, e.ip, e.zone, w.ports[3], w.ports[4], first.ip, w.ports[2], e.ip, w.ports[0], e.ip, w.ports[1], e.ip, w.ports[2], w.store.address)
}

// start starts an entry as the deploy file does.
func (w *world) start(e *entry) (err error) {
	if e.log == nil {
		if e.log, err = os.Create(filepath.Join(w.folder, e.name+".log")); err != nil {
			return err
		}
	}
	e.process = exec.Command("target/dragonflydeal", "entry", "--platform")
	e.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "DRAGONFLYDEAL_CONFIG=" + e.settings}
	e.process.Stdout, e.process.Stderr = e.log, e.log
	return e.process.Start()
}

// signal sends a signal to an entry.
func (e *entry) signal(s syscall.Signal) {
	if e.process != nil && e.process.Process != nil {
		_ = e.process.Process.Signal(s)
	}
}

// awaitReady waits until an entry is ready.
func (w *world) awaitReady(e *entry) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/dragonflydeal/ready", e.ip, w.ports[1]))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}

// close ends all processes and keeps the logs of the entries if asked to.
func (w *world) close() {
	for _, e := range w.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		if e.process != nil {
			_ = e.process.Wait()
		}
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, e := range w.entries {
			if data, err := os.ReadFile(filepath.Join(w.folder, e.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, e.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.folder)
}

// answer is what a consumer got.
type answer struct {
	id, body string
	status   int
	sealed   bool
	retry    string
	sentAt   time.Time
	took     time.Duration
	err      error
}

// call sends one request of a consumer to an entry on a new channel.
func (w *world) call(e *entry, method, path, body string, timeout time.Duration) (a answer) {
	a.id, a.sentAt = w.newID(), time.Now()
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", e.ip, w.ports[0], path), strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	q.Host = host
	q.Header.Set("Attempt-Id", a.id)
	q.Header.Set("Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer "+apiKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: timeout + time.Second}
	response, err := client.Do(q)
	if err == nil {
		data, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		a.status, a.body, a.sealed, a.retry, err = response.StatusCode, string(data), response.Header.Get("Engine-Seal") != "", response.Header.Get("Retry-After"), readErr
	}
	a.err, a.took = err, time.Since(a.sentAt)
	return a
}

// The host, the API key and the tenant of the stand-ins.
const (
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
)

// route returns a route of a configuration.
func route(name, prefix, kind, service string, attempts, timeoutMs, goalMs int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "goalMs": goalMs, "priority": 2, "service": service,
		"attempts": attempts, "public": false,
	}
}

// configuration returns a configuration with the given routes, whose services are plain.
func configuration(version int, routes []map[string]any, services ...string) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	}
}
