// Package route chooses the target of a request.
package route

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is a target that can serve a request, with its reported load.
type Candidate struct {
	// Name is the name of the target.
	Name string
	// SameCentre is set when the target is in the entry's own data centre.
	SameCentre bool
	// Width is the number of requests that the engine runs at once; it is above zero.
	Width int
	// Running and Queued are from the latest report.
	Running, Queued int
	// Age is the age of the report.
	Age time.Duration
	// OwnInFlight is the number of this entry's requests in flight at the target.
	OwnInFlight int
	// SentSinceReport is the part of OwnInFlight that was sent after the report was made.
	SentSinceReport int
	// PrefixCached is set when the target is known to have the request's prompt prefix in its cache.
	PrefixCached bool
	// Failing is set when the target fails much more often than its peers.
	Failing bool
}

const (
	// farCost is the cost of a target in another data centre, in loads relative to the width.
	farCost = 0.25
	// prefixMissCost is the cost of a target without the prompt prefix, in loads relative to the width.
	prefixMissCost = 0.5
	// failingCost is the cost of a failing target, in loads relative to the width.
	failingCost = 2
	// nearSamples is the number of random candidates of the own data centre that are compared.
	nearSamples = 8
	// defaultDecayTime is the time constant with which the weight of a report decays.
	defaultDecayTime = 400 * time.Millisecond
)

// Picker chooses between candidates. It is not safe for concurrent use.
type Picker struct {
	// random is the picker's random source.
	random *rand.Rand
	// decayTime is the time constant with which the weight of a report decays.
	decayTime time.Duration
	// near and far hold the indexes of candidates; they are reused between calls.
	near, far []int
}

// Options are the inputs of NewPicker.
type Options struct {
	// Random is the random source; it must not be shared with another goroutine.
	Random *rand.Rand
	// DecayTime is the time constant with which the weight of a report decays; zero means 400 ms.
	DecayTime time.Duration
}

// NewPicker returns a Picker.
func NewPicker(o Options) *Picker {
	if o.DecayTime == 0 {
		o.DecayTime = defaultDecayTime
	}
	return &Picker{random: o.Random, decayTime: o.DecayTime}
}

// Pick returns the index of the candidate for a request, or -1 when there is none. It may set PrefixCached of one candidate.
// It compares a few random candidates of the own data centre, a random one of another data centre and the cheapest
// one that has the prompt prefix in its cache; a prefix of zero stands for none.
func (p *Picker) Pick(candidates []Candidate, prefix uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	p.split(candidates)
	pool := p.meanOf(candidates)
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
		p.assignPrefix(candidates, prefix)
	}
	for range nearSamples {
		consider(p.randomOf(p.near))
	}
	consider(p.randomOf(p.far))
	if prefix != 0 {
		consider(p.cheapestCached(candidates, pool, prefix))
	}
	return best
}

// split divides the candidates into near and far ones; without near ones the far ones count as near.
func (p *Picker) split(candidates []Candidate) {
	p.near, p.far = p.near[:0], p.far[:0]
	for i := range candidates {
		if candidates[i].SameCentre {
			p.near = append(p.near, i)
		} else {
			p.far = append(p.far, i)
		}
	}
	if len(p.near) == 0 {
		p.near, p.far = p.far, p.near
	}
}

// randomOf returns a random element, or -1 if the list is empty.
func (p *Picker) randomOf(list []int) int {
	if len(list) == 0 {
		return -1
	}
	return list[p.random.IntN(len(list))]
}
