// Package route chooses the target of a request.
package route

import (
	"math/rand/v2"
	"time"
)

// Candidate is a target that can serve a request.
type Candidate struct {
	// Name is the name of the target.
	Name string
	// Near tells that the target is in the entry's own data centre.
	Near bool
	// Width is the number of requests that the engine runs at once; it is above zero.
	Width int
	// Running and Queued are from the newest report.
	Running, Queued int
	// Age is the age of the report.
	Age time.Duration
	// Own is the number of this entry's requests in flight at the target.
	Own int
	// Warm tells that the target reported the request's prompt prefix in its cache.
	Warm bool
}

// Load returns the expected number of requests before a new one, relative to the width.
func (c *Candidate) Load() float64 {
	return float64(max(c.Running+c.Queued, c.Own)) / float64(max(c.Width, 1))
}

// Picker chooses between candidates.
type Picker struct {
	// random is the only source of chance.
	random *rand.Rand
}

// Options are the inputs of NewPicker.
type Options struct {
	// Random is the source of chance; it must not be shared with another goroutine.
	Random *rand.Rand
}

// NewPicker returns a Picker.
func NewPicker(o Options) *Picker {
	return &Picker{random: o.Random}
}

// Pick returns the index of the less loaded of two candidates, or -1 when there is none.
func (p *Picker) Pick(candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	near := p.nearest(candidates)
	first := near[p.random.IntN(len(near))]
	second := near[p.random.IntN(len(near))]
	if candidates[second].Load() < candidates[first].Load() {
		return second
	}
	return first
}

// nearest returns the indices of the candidates in the own data centre, or of all when none is.
func (p *Picker) nearest(candidates []Candidate) []int {
	var near, all []int
	for i := range candidates {
		all = append(all, i)
		if candidates[i].Near {
			near = append(near, i)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}
