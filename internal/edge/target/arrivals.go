package target

import (
	"math"
	"time"
)

// arrivalTime is the time constant of the rate of arrivals.
const arrivalTime = 2 * time.Second

// Arrivals estimates the rate at which an entry gets requests for a service. The zero value has had none.
type Arrivals struct {
	// weight is the number of arrivals, with exponential decay by arrivalTime, as of at.
	weight float64
	at     time.Time
}

// Count counts a request.
func (a *Arrivals) Count(now time.Time) {
	a.weight, a.at = a.decayed(now)+1, now
}

// Rate returns the requests a second.
func (a *Arrivals) Rate(now time.Time) float64 {
	return a.decayed(now) / arrivalTime.Seconds()
}

func (a *Arrivals) decayed(now time.Time) float64 {
	return a.weight * math.Exp(-now.Sub(a.at).Seconds()/arrivalTime.Seconds())
}
