package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFewEntriesReadTheStore counts the calls of the store. Entries of one data centre read it for each other, so the number
// does not grow with theirs.
func TestFewEntriesReadTheStore(t *testing.T) {
	const playTime = 4 * time.Second
	for _, entries := range []int{1, 4, 12} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newSite(t, entries, 5*time.Second, serveDone)
			time.Sleep(2 * time.Second)
			before := r.store.calls.Load()
			time.Sleep(playTime)
			perSecond := float64(r.store.calls.Load()-before) / playTime.Seconds()
			t.Logf("%.1f calls a second", perSecond)
			is.True(perSecond <= 4)
		})
	}
}

// TestMembersKeepWhatTheStoreSays changes the configuration and the targets while entries fail that others learn from. No entry
// uses a withdrawn key later than the revocation time after its withdrawal, a target that leaves gets no requests later than
// two seconds after its record says so, and keys that hold are served again soon.
func TestMembersKeepWhatTheStoreSays(t *testing.T) {
	const entries, revoke, drain = 6, 5 * time.Second, 2 * time.Second
	tests := []struct {
		name  string
		fault func(r *rig)
		// undo ends the fault.
		undo func(r *rig)
	}{
		{"none", func(*rig) {}, func(*rig) {}},
		{"half of the entries freeze", func(r *rig) {
			for _, e := range r.entries[:entries/2] {
				e.frozen.Lock()
			}
		}, func(r *rig) {
			for _, e := range r.entries[:entries/2] {
				e.frozen.Unlock()
			}
		}},
		{"half of the entries end", func(r *rig) {
			for _, e := range r.entries[:entries/2] {
				e.stop()
			}
		}, func(*rig) {}},
		{"cut off from each other", func(r *rig) { r.split.Store(true) }, func(r *rig) { r.split.Store(false) }},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newSite(t, entries, revoke, serveDone, serveDone)
			time.Sleep(time.Second)
			live := r.entries[entries/2:]
			v.fault(r)
			r.configure(2, newKey)
			r.registerTarget(r.targets[0], 0, "draining")
			changed := time.Now()
			time.Sleep(drain)
			drained := r.targets[0].count()
			for time.Since(changed) < revoke {
				time.Sleep(50 * time.Millisecond)
			}
			for range 20 {
				for _, e := range live {
					is.True(r.callAt(e, "POST", "/once/", nil).status != http.StatusOK)
					is.Equal(r.callAt(e, "POST", "/once/", withNewKey).status, http.StatusOK)
				}
			}
			is.Equal(r.targets[0].count(), drained)
			v.undo(r)
		})
	}
}

// TestEntriesCutOffFromTheStoreLearnTheConfiguration publishes a configuration with a new key while each entry in turn, the one that reads
// the store for the others among them, can't reach the store. It learns the configuration from another entry, so that callers with the new
// key are served and the withdrawn key ends in time.
func TestEntriesCutOffFromTheStoreLearnTheConfiguration(t *testing.T) {
	const entries, revoke = 4, 5 * time.Second
	for i := range entries {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newSite(t, entries, revoke, serveDone)
			time.Sleep(time.Second)
			r.entries[i].storeCut.Store(true)
			r.configure(2, newKey)
			changed := time.Now()
			r.await(func() bool {
				return r.callAt(r.entries[i], "POST", "/once/", withNewKey).status == http.StatusOK
			})
			is.True(time.Since(changed) < revoke)
			time.Sleep(time.Until(changed.Add(revoke)))
			for range 20 {
				is.Equal(r.callAt(r.entries[i], "POST", "/once/", withNewKey).status, http.StatusOK)
				is.True(r.callAt(r.entries[i], "POST", "/once/", nil).status != http.StatusOK)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// TestThawedMemberRefusesWithdrawnKeys freezes each entry in turn while a key is withdrawn. Datagrams that a relay sent before
// are received after the freeze and must not make the old configuration look recent.
func TestThawedMemberRefusesWithdrawnKeys(t *testing.T) {
	const entries, revoke = 4, 3 * time.Second
	t.Parallel()
	is := is.New(t)
	r := newSite(t, entries, revoke, serveDone)
	for i, e := range r.entries {
		r.configure(10*i+1, testKey)
		r.await(func() bool { return r.callAt(e, "POST", "/once/", nil).status == http.StatusOK })
		e.frozen.Lock()
		r.configure(10*i+2, newKey)
		time.Sleep(revoke + 200*time.Millisecond)
		e.frozen.Unlock()
		for range 10 {
			is.True(r.callAt(e, "POST", "/once/", nil).status != http.StatusOK)
		}
		r.await(func() bool { return r.callAt(e, "POST", "/once/", withNewKey).status == http.StatusOK })
	}
}

// TestEntriesCutOffFromTheStoreServe cuts each entry off from the store in turn, the one that reads it for the others among them.
// All go on serving requests with keys, and a key that is withdrawn meanwhile works at none of them later than the revocation time.
func TestEntriesCutOffFromTheStoreServe(t *testing.T) {
	const entries, revoke = 4, 5 * time.Second
	for i := range entries {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newSite(t, entries, revoke, serveDone)
			time.Sleep(time.Second)
			r.entries[i].storeCut.Store(true)
			for cut := time.Now(); time.Since(cut) < revoke+2*time.Second; time.Sleep(50 * time.Millisecond) {
				for _, e := range r.entries {
					is.Equal(r.callAt(e, "POST", "/once/", nil).status, http.StatusOK)
				}
			}
			r.configure(2, newKey)
			time.Sleep(revoke)
			for _, e := range r.entries {
				is.True(r.callAt(e, "POST", "/once/", nil).status != http.StatusOK)
			}
		})
	}
}

// newKey is the API key of the configurations that replace testKey.
const newKey = "k-2"

// withNewKey sets the API key of a request to newKey.
func withNewKey(q *http.Request) {
	q.Header.Set("Authorization", "Bearer "+newKey)
}
