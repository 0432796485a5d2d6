package edge

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// shareRoom is the room of the targets in requests a second: three targets run six requests of shareService at once. All times are
	// multiplied by shareStretch, since under the race detector a machine can't send eight times the room.
	shareRoom    = 180 / shareStretch
	shareService = shareStretch * 100 * time.Millisecond
	shareSlots   = 6
	shareTime    = max(4, 3*shareStretch) * time.Second
	shareGoal    = shareStretch * 500 * time.Millisecond
	shareTimeout = shareStretch * 2 * time.Second
)

// slotted returns a target that runs shareSlots requests at once, queues as many, and turns the others away.
func slotted() http.HandlerFunc {
	slots := make(chan struct{}, shareSlots)
	var inside atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/warm/") {
			serveDone(w, r)
			return
		}
		defer inside.Add(-1)
		if inside.Add(1) > 2*shareSlots {
			refuse(w, r)
			return
		}
		slots <- struct{}{}
		defer func() { <-slots }()
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			writeEvents(w, r, 1, 1, false)
			time.Sleep(shareService)
			fmt.Fprint(w, "id: 2\ndata: end\n\n")
			return
		}
		time.Sleep(shareService)
		serveDone(w, r)
	}
}

// shareTally counts the requests of a workspace.
type shareTally struct{ sent, onTime, late, refused, other atomic.Int64 }

// ask sends a request to an entry and counts its answer. A stream is on time with its first event.
func (t *shareTally) ask(client *http.Client, url, key string) {
	t.sent.Add(1)
	q, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		t.other.Add(1)
		return
	}
	q.Host = "desk.example"
	q.Header.Set("Attempt-Id", strconv.FormatInt(attempts.Add(1), 16))
	q.Header.Set("Timeout-Ms", strconv.FormatInt(shareTimeout.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	response, err := client.Do(q)
	if err != nil {
		t.other.Add(1)
		return
	}
	defer response.Body.Close()
	took := time.Since(began)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.other.Add(1)
		return
	}
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		t.refused.Add(1)
	case response.StatusCode != http.StatusOK:
		t.other.Add(1)
	case took <= shareGoal:
		t.onTime.Add(1)
	default:
		t.late.Add(1)
	}
}

func (t *shareTally) String() string {
	return fmt.Sprintf("sent %d, on time %d, late %d, refused %d, other %d", t.sent.Load(), t.onTime.Load(), t.late.Load(), t.refused.Load(), t.other.Load())
}

// TestSmallWorkspaceBesideLargeOne checks that a workspace which asks for a tenth of the room is served on time beside one that asks
// for eight times the room: in the order of arrival the large one takes nearly all slots.
func TestSmallWorkspaceBesideLargeOne(t *testing.T) {
	for _, route := range []string{"safe", "once", "stream"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			r := newSite(t, 9, time.Minute, slotted(), slotted(), slotted())
			var tenants []any
			for _, name := range []string{"small", "large"} {
				tenants = append(tenants, map[string]any{"name": name, "apiKeys": []string{name}})
			}
			kind := map[string]string{"safe": "safe", "once": "unsafe", "stream": "stream"}[route]
			r.store.put("op/config", map[string]any{
				"version": 2, "services": []any{map[string]any{"name": "holds"}}, "tenants": tenants,
				"routes": []any{map[string]any{
					"name": route, "host": "desk.example", "prefix": "/" + route + "/", "kind": kind, "timeoutMs": shareTimeout.Milliseconds(), "goalMs": shareGoal.Milliseconds(),
					"priority": 1, "service": "holds", "attempts": 2, "gapAimMs": 120,
				}},
			})
			for _, e := range r.entries {
				r.await(func() bool {
					return r.callAt(e, "POST", "/"+route+"/", func(q *http.Request) { q.Header.Set("Authorization", "Bearer small") }).status == http.StatusOK
				})
			}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 400}, Timeout: 10 * time.Second}
			defer client.CloseIdleConnections()
			tallies := map[string]*shareTally{"small": {}, "large": {}}
			var all sync.WaitGroup
			send := func(key string, perSecond int) {
				defer all.Done()
				began := time.Now()
				for i := 0; time.Since(began) < shareTime; i++ {
					time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
					all.Add(1)
					go func() {
						defer all.Done()
						tallies[key].ask(client, r.entries[i%len(r.entries)].front+"/"+route+"/", key)
					}()
				}
			}
			all.Add(2)
			go send("small", shareRoom/10)
			go send("large", shareRoom*8)
			all.Wait()
			t.Logf("small: %v", tallies["small"])
			t.Logf("large: %v", tallies["large"])
			is.True(float64(tallies["small"].onTime.Load()) >= 0.9*float64(tallies["small"].sent.Load()))
			// The large workspace uses what the small one leaves.
			used := float64(tallies["large"].onTime.Load() + tallies["large"].late.Load())
			is.True(used >= 0.7*0.9*shareRoom*shareTime.Seconds())
		})
	}
}
