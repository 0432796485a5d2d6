// Package route chooses the target of a request.
package route

import (
	"math"
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
	// Since is the part of Own that was sent after the report was made.
	Since int
	// Warm tells that the target is known to have the request's prompt prefix in its cache.
	Warm bool
	// Failing tells that the target fails much more than its peers.
	Failing bool
}

const (
	// farCost is what a target in another data centre must be less loaded, relative to the width.
	farCost = 0.25
	// coldCost is what a target without the prompt prefix must be less loaded, relative to the width.
	coldCost = 0.5
	// failingCost is what a failing target must be less loaded, relative to the width.
	failingCost = 2
	// samples is the number of random candidates of the own data centre that are compared.
	samples = 8
	// defaultRelaxation is the age at which a report has lost most of its worth.
	defaultRelaxation = 400 * time.Millisecond
)

// Picker chooses between candidates. It is not safe for concurrent use.
type Picker struct {
	// random is the only source of chance.
	random *rand.Rand
	// relaxation is the age at which a report has lost most of its worth.
	relaxation time.Duration
	// near and far are reused between calls.
	near, far []int
}

// Options are the inputs of NewPicker.
type Options struct {
	// Random is the source of chance; it must not be shared with another goroutine.
	Random *rand.Rand
	// Relaxation is the age at which a report has lost most of its worth; zero means 400 ms.
	Relaxation time.Duration
}

// NewPicker returns a Picker.
func NewPicker(o Options) *Picker {
	if o.Relaxation == 0 {
		o.Relaxation = defaultRelaxation
	}
	return &Picker{random: o.Random, relaxation: o.Relaxation}
}

// Pick returns the index of the candidate for a request, or -1 when there is none. It may set Warm of one.
// It compares a few candidates of the own data centre, one of another and the holder of the
// prompt prefix; a prefix of zero has no holder.
func (p *Picker) Pick(candidates []Candidate, prefix uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	p.split(candidates)
	pool := p.poolOf(candidates)
	best, bestCost := -1, math.Inf(1)
	consider := func(i int) {
		if i < 0 {
			return
		}
		if cost := p.cost(&candidates[i], pool, prefix); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if prefix != 0 {
		p.appoint(candidates, prefix)
	}
	for range samples {
		consider(p.one(p.near))
	}
	consider(p.one(p.far))
	if prefix != 0 {
		consider(p.holder(candidates, pool, prefix))
	}
	return best
}

// split sorts the candidates by data centre; without near ones the far ones count as near.
func (p *Picker) split(candidates []Candidate) {
	p.near, p.far = p.near[:0], p.far[:0]
	for i := range candidates {
		if candidates[i].Near {
			p.near = append(p.near, i)
		} else {
			p.far = append(p.far, i)
		}
	}
	if len(p.near) == 0 {
		p.near, p.far = p.far, p.near
	}
}

// one returns a random element, or -1.
func (p *Picker) one(list []int) int {
	if len(list) == 0 {
		return -1
	}
	return list[p.random.IntN(len(list))]
}
