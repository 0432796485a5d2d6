package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOldRecordsOfLeavingTargets has the record of a target that leaves say once more that it is ready. It guards against a record that is older
// than what is known, and is believed because it arrives later.
func TestOldRecordsOfLeavingTargets(t *testing.T) {
	tests := []struct {
		name string
		// old makes the store list the target as ready again; before is what the store had before the target left.
		old func(r *rig, before contents)
		// restarts is set if the target starts again, with a new record.
		restarts bool
	}{
		{"late write", func(r *rig, _ contents) { r.registerTarget(r.targets[0], 0, "ready") }, false},
		{"store back from an older copy", func(r *rig, before contents) { r.store.restore(before) }, false},
		{"removed and written late", func(r *rig, _ contents) {
			r.store.remove("servers/" + r.targets[0].id)
			time.Sleep(500 * time.Millisecond)
			r.registerTarget(r.targets[0], 0, "ready")
		}, false},
		{"new incarnation", func(r *rig, _ contents) {
			r.targets[0].born++
			r.registerTarget(r.targets[0], 0, "ready")
		}, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newSite(t, 4, time.Minute, serveDone, serveDone)
			before := r.store.save()
			r.registerTarget(r.targets[0], 0, "draining")
			time.Sleep(time.Second)
			v.old(r, before)
			time.Sleep(300 * time.Millisecond)
			at := r.targets[0].count()
			for range 50 {
				for _, e := range r.entries {
					is.Equal(r.callAt(e, "POST", "/once/", nil).status, http.StatusOK)
				}
				time.Sleep(20 * time.Millisecond)
			}
			is.Equal(r.targets[0].count() > at, v.restarts)
		})
	}
}
