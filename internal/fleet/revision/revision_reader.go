package revision

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// patience is the age of the last contact with the service at which a process reads it itself.
	patience = 3 * time.Second
	// firstPause and lastPause bound the time between reads that bring no news.
	firstPause = 250 * time.Millisecond
	lastPause  = 2 * time.Second
	// readRate bounds the reads a second of all processes together that are not watchers.
	readRate = 1000
)

// Reader decides when a process reads the service itself. It is not safe for concurrent use.
type Reader struct {
	// random is the only source of chance.
	random *rand.Rand
	// pause is the present time between reads without news; it is at least firstPause.
	pause time.Duration
	// next is the earliest time of the next read.
	next time.Time
	// stale is set while the last contact with the service is too old.
	stale bool
}

// NewReader returns a Reader that may read at once.
func NewReader(random *rand.Rand) *Reader {
	return &Reader{random: random, pause: firstPause}
}

// Due reports whether to read now. A process that is not a watcher reads only without
// a fresh contact with the service, and no oftener than its part of the shared rate;
// because many lose the contact together, each begins at a time of its own.
func (r *Reader) Due(now time.Time, watch bool, age time.Duration, c *configuration.Configuration) bool {
	before := r.stale
	r.stale = !watch && age > patience
	if r.stale && !before {
		r.next = later(r.next, now.Add(time.Duration(r.random.Float64()*float64(share(c)))))
	}
	return (watch || r.stale) && !now.Before(r.next)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Answered notes that the service answered: news, or a watch that ended without any.
func (r *Reader) Answered(now time.Time, watch bool, c *configuration.Configuration) {
	r.pause = firstPause
	r.next = now
	if !watch {
		r.next = now.Add(r.jitter(share(c)))
	}
}

// Failed notes that the service did not answer, or that its answer was of no use.
func (r *Reader) Failed(now time.Time, watch bool, c *configuration.Configuration) {
	wait := r.pause
	if !watch {
		wait = max(wait, share(c))
	}
	r.next = now.Add(r.jitter(wait))
	r.pause = min(2*r.pause, lastPause)
}

// share returns the time between reads at which all processes together keep to readRate.
func share(c *configuration.Configuration) time.Duration {
	if c == nil {
		return firstPause
	}
	processes := len(c.Entries) + len(c.Targets)
	return max(lastPause/2, time.Duration(processes)*time.Second/readRate)
}

// jitter returns between three quarters and five quarters of a time.
func (r *Reader) jitter(d time.Duration) time.Duration {
	return time.Duration((0.75 + r.random.Float64()/2) * float64(d))
}
