package edge

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/budget"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/group"
	registry "github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// slots reports targets to entries as their slots do, until the test ends or stop is called.
type slots struct {
	mu sync.Mutex
	// paces holds the pace of each target.
	paces []float64
	// epoch is the incarnation of all groups, and down is set while they run no requests.
	epoch uint64
	down  bool
	stop  context.CancelFunc
}

// slotInterval is the time between two reports of a slot.
const slotInterval = 300 * time.Millisecond

// setGroups sets the state of all groups.
func (s *slots) setGroups(epoch uint64, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.down = epoch, down
}

// reportTargets starts slots beside all targets, of which each is in a group of its own.
func (r *rig) reportTargets() *slots {
	r.t.Helper()
	s := &slots{paces: make([]float64, len(r.targets))}
	ctx, cancel := context.WithCancel(r.t.Context())
	s.stop = cancel
	var to []netip.AddrPort
	for _, e := range r.entries {
		to = append(to, e.settings.Peers)
	}
	for i, x := range r.targets {
		host := r.entries[0].settings.Peers.Addr().As4()
		host[2] += byte(100 + i)
		socket, err := datagram.Listen(netip.AddrPortFrom(netip.AddrFrom4(host), to[0].Port()))
		if err != nil {
			r.t.Fatal(err)
		}
		var sequence atomic.Uint64
		head := func() *message.News {
			return &message.News{Name: "slot-" + x.id, Centre: "c0", Incarnation: 7, Sequence: sequence.Add(1), Slot: true}
		}
		archive := budget.NewArchive()
		go func() {
			_ = socket.Receive(ctx, func(from netip.AddrPort, n *message.News) {
				if n.Retries == nil {
					return
				}
				now := time.Now()
				archive.Keep(now, from, n.Incarnation, n.Retries.Decode(now), n.Retries.Complete, r.entries[0].settings.Retries.Window)
				if earlier := archive.Earlier(from); !n.Retries.Complete && earlier.Services != nil {
					reply := head()
					reply.Retries = message.EncodeRecords(now, earlier, true)
					_ = socket.Send(reply, []netip.AddrPort{from})
				}
			}, func(error) {})
		}()
		hash := registry.Hash(&site.Target{ID: x.id, StartUnixMilli: int64(x.born)})
		go func() {
			for ctx.Err() == nil {
				s.mu.Lock()
				m := group.Member{Target: hash, Group: group.Hash(x.id), Pace: s.paces[i]}
				state := group.State{Group: m.Group, Epoch: s.epoch, Down: s.down, ReadAt: time.Now()}
				s.mu.Unlock()
				n := head()
				n.Report = &message.Report{Member: message.EncodeMember(m), Group: message.EncodeState(time.Now(), state)}
				_ = socket.Send(n, to)
				time.Sleep(slotInterval)
			}
		}()
	}
	return s
}

func (s *slots) set(target int, pace float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paces[target] = pace
}

// TestEntriesAvoidASlowTarget has the target that all entries prefer become twelve times slower. Its slot tells the relays of its
// data centre; the other entries learn of it from the relay that reads the store there, those of another data centre from the
// relays. Once the slot is dead, the pace counts no longer.
func TestEntriesAvoidASlowTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newSite(t, 4, time.Minute, serveDone, serveDone)
	far := r.addEntry(4, time.Minute, r.entries[0].settings.Peers)
	far.settings.Centre = "c9"
	r.start(far)
	r.await(func() bool { return r.callAt(far, "GET", "/warm/", nil).status == http.StatusOK })
	s := r.reportTargets()
	// preferred reports whether all requests of all entries get to a target; the far entry has no preference of its own.
	preferred := func(target int) bool {
		before := r.targets[1-target].count()
		for _, e := range r.entries {
			for range 3 {
				is.Equal(r.callAt(e, "GET", "/warm/", nil).status, http.StatusOK)
			}
		}
		return r.targets[1-target].count() == before
	}
	near := func(target int) bool {
		before := r.targets[1-target].count()
		for _, e := range r.entries[:4] {
			is.Equal(r.callAt(e, "GET", "/warm/", nil).status, http.StatusOK)
		}
		return r.targets[1-target].count() == before
	}
	r.await(func() bool { return near(0) })
	s.set(0, 12)
	began := time.Now()
	r.await(func() bool { return preferred(1) })
	t.Logf("avoided by all entries after %v", time.Since(began))
	is.True(time.Since(began) < 4*time.Second)
	for range 5 {
		is.True(preferred(1))
	}
	s.set(0, 1)
	r.await(func() bool { return near(0) })
	s.set(0, 12)
	r.await(func() bool { return preferred(1) })
	s.stop()
	began = time.Now()
	r.await(func() bool { return near(0) })
	t.Logf("used again %v after the last report", time.Since(began))
	is.True(time.Since(began) > 2*time.Second)
}

// TestStreamsAvoidAStalledGroup has the group that the entry prefers pause after the first event of each stream. New streams must go to
// the other group while two are paused, and back after the pause.
func TestStreamsAvoidAStalledGroup(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var paused atomic.Bool
	resume := make(chan struct{})
	serve := func(w http.ResponseWriter, q *http.Request) {
		if !strings.HasPrefix(q.URL.Path, "/fixed/") {
			serveDone(w, q)
			return
		}
		writeEvents(w, q, 1, 1, false)
		if paused.Load() {
			select {
			case <-resume:
			case <-q.Context().Done():
			}
		}
		writeEvents(w, q, 2, 3, false)
	}
	r := newRig(t, time.Minute, serve, withWarmRoute(func(w http.ResponseWriter, q *http.Request) { writeEvents(w, q, 1, 3, false) }))
	r.engine = map[string]any{"stride": 4, "step_ms": 1, "per_seq_ms": 0.1, "sets": 2, "experts": 4, "places": 4}
	r.configure(2, testKey)
	// The other target costs two and a half requests more, so that three streams at once go to the first one.
	r.reportTargets().set(1, 2.9)
	time.Sleep(2 * time.Second) // the entry has read the configuration and knows the groups
	stream := func() int { return r.call("POST", "/fixed/", nil).status }
	first := r.targets[0].count()
	is.Equal(stream(), http.StatusOK)
	is.Equal(r.targets[0].count(), first+1)
	paused.Store(true)
	var wait sync.WaitGroup
	for range 2 {
		wait.Go(func() { is.Equal(stream(), http.StatusOK) })
	}
	r.await(func() bool { return r.targets[0].count() == first+3 })
	time.Sleep(600 * time.Millisecond)
	before := r.targets[0].count()
	other := r.targets[1].count()
	for range 3 {
		is.Equal(stream(), http.StatusOK)
	}
	is.Equal(r.targets[0].count(), before)
	is.Equal(r.targets[1].count(), other+3)
	paused.Store(false)
	close(resume)
	wait.Wait()
	time.Sleep(100 * time.Millisecond)
	is.Equal(stream(), http.StatusOK)
	is.Equal(r.targets[0].count(), before+1)
}
