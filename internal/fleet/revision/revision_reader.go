package revision

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// maxContactAge is the age of the last contact with the service above which a process reads the service itself.
	maxContactAge = 3 * time.Second
	// minReadBackoff and maxReadBackoff bound the backoff between reads without an answer.
	minReadBackoff = 250 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// maxReadRate bounds the total reads per second of all processes that are not watchers.
	maxReadRate = 1000
)

// Reader decides when a process reads the service itself. It is not safe for concurrent use.
type Reader struct {
	// random is the only random source.
	random *rand.Rand
	// backoff is the time to wait after the next failed read; it is at least minReadBackoff.
	backoff time.Duration
	// nextRead is the earliest time of the next read.
	nextRead time.Time
	// stale is set while the last contact with the service is older than maxContactAge.
	stale bool
}

// NewReader returns a Reader that may read at once.
func NewReader(random *rand.Rand) *Reader {
	return &Reader{random: random, backoff: minReadBackoff}
}

// Due reports whether to read now. A process that is not a watcher reads only without
// a recent contact with the service, and at most at its share of maxReadRate;
// because many processes lose the contact at the same time, each starts after a random delay.
func (r *Reader) Due(now time.Time, watch bool, age time.Duration, c *configuration.Configuration) bool {
	wasStale := r.stale
	r.stale = !watch && age > maxContactAge
	if r.stale && !wasStale {
		r.nextRead = later(r.nextRead, now.Add(time.Duration(r.random.Float64()*float64(readInterval(c)))))
	}
	return (watch || r.stale) && !now.Before(r.nextRead)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Answered records that the service answered, with a change or with a watch that ended without one.
func (r *Reader) Answered(now time.Time, watch bool, c *configuration.Configuration) {
	r.backoff = minReadBackoff
	r.nextRead = now
	if !watch {
		r.nextRead = now.Add(r.jitter(readInterval(c)))
	}
}

// Failed records that the service did not answer or that its answer was not usable.
func (r *Reader) Failed(now time.Time, watch bool, c *configuration.Configuration) {
	wait := r.backoff
	if !watch {
		wait = max(wait, readInterval(c))
	}
	r.nextRead = now.Add(r.jitter(wait))
	r.backoff = min(2*r.backoff, maxReadBackoff)
}

// readInterval returns the time between reads at which all processes together stay within maxReadRate,
// at least half of maxReadBackoff; without a configuration it is minReadBackoff.
func readInterval(c *configuration.Configuration) time.Duration {
	if c == nil {
		return minReadBackoff
	}
	processes := len(c.Entries) + len(c.Targets)
	return max(maxReadBackoff/2, time.Duration(processes)*time.Second/maxReadRate)
}

// jitter returns a random time between 75% and 125% of d.
func (r *Reader) jitter(d time.Duration) time.Duration {
	return time.Duration((0.75 + r.random.Float64()/2) * float64(d))
}
