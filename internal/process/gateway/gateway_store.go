package gateway

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// storeState is what an entry has read from the store.
type storeState struct {
	// revision is that of the latest change read; zero requests a full read.
	revision int64
	// lastFullRead is when everything was last read.
	lastFullRead time.Time
	// targets holds the usable targets by ID, unserved those of services that the configuration does not name, and invalid the faulty
	// fields of the records that can't be used.
	targets, unserved map[string]site.Target
	invalid           map[string]string
	// services holds the services that a configuration has named, up to the version servicesVersion.
	services        map[string]bool
	servicesVersion int64
	// evacuated holds the evacuated data centres. It is complete as of the revision if listsCentres is set, and otherwise empty.
	evacuated    map[string]bool
	listsCentres bool
	// resumedAt is the latest start or pause after which a failed read was repeated at once.
	resumedAt time.Duration
	// colds holds until when the targets are cold whose records say so, by ID.
	colds map[string]coldRecord
	// reachable is false after a failed read.
	reachable bool
	// dueAt is the time from which the next call may be made.
	dueAt time.Time
}

func newStoreState() *storeState {
	return &storeState{
		reachable: true, targets: map[string]site.Target{}, unserved: map[string]site.Target{}, invalid: map[string]string{},
		services: map[string]bool{}, evacuated: map[string]bool{}, colds: map[string]coldRecord{},
	}
}

// pace returns the time until which the call after one that began at a time waits. Calls are minWatchInterval apart on average, and
// one that follows a longer call waits less.
func (s *storeState) pace(began time.Time) time.Time {
	if earliest := began.Add(-minWatchInterval); s.dueAt.Before(earliest) {
		s.dueAt = earliest
	}
	s.dueAt = s.dueAt.Add(minWatchInterval)
	return s.dueAt
}
