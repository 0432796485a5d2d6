package group

import "time"

const (
	// minChance is the chance that a group is up in time from which a request waits.
	minChance = 1.0 / 4
	// returnPart is the part of its time left after which a caller returns in any case.
	returnPart = 3
	// resumeRate is the rate of the requests that go on after they have waited for a group, relative to that at which seats become free,
	// and maxResumeSpread bounds the time over which they go on.
	resumeRate      = 2
	maxResumeSpread = 1500 * time.Millisecond
	// minOutage is the least time for which a group is expected to be down: it takes some tenths of a second to form.
	minOutage = 500 * time.Millisecond
)

// Plan is what to do with a request while all groups of its service are down.
type Plan struct {
	// Wait means that the request waits, until Until at the latest. Otherwise its caller is told to return after Return.
	Wait   bool
	Until  time.Time
	Return time.Duration
}

// PlanOutage decides whether a request waits, given since when the groups are down, when the request ends in any case, the time from a
// seat to the end of its answer, and whether its caller has returned before.
//
// A caller that has not returned yet is told to return as late as it may: then its request is served if the group is up by then, at
// another time than those of the others. One that has returned does not do so again, so its request waits. Nothing tells for how
// long a group is down. An outage that has lasted for a time is as likely as not to last for as long again, so the chance that it ends
// within a time is that time in relation to the sum of both. A request without such a chance is refused at once.
func PlanOutage(now, since, deadline time.Time, held time.Duration, returned bool) Plan {
	age := max(now.Sub(since), minOutage).Seconds()
	until := deadline.Add(-held)
	left := until.Sub(now).Seconds()
	if returned && left > 0 && left/(left+age) >= minChance {
		return Plan{Wait: true, Until: until}
	}
	return Plan{Return: OutageReturn(now, deadline)}
}

// OutageReturn returns the time after which a refused caller is told to return.
func OutageReturn(now, deadline time.Time) time.Duration {
	return max(deadline.Sub(now)/returnPart, 0)
}

// ResumeSpread returns the time over which requests that have waited for a group go on, given their number and the number of seats that
// they share, each of which is held for a time. If all went on at once, the reading of their prompts would delay every answer.
func ResumeSpread(waiting int, seats float64, held time.Duration) time.Duration {
	spread := float64(waiting) / (resumeRate * max(seats, 1)) * float64(held)
	return min(time.Duration(spread), maxResumeSpread)
}

// Kept returns the number of requests that wait for a group: as many as there are seats beyond those that first tries, which can be on time, will take
// once a group is up. More would only displace those. The rate of first tries is in requests a second.
func Kept(seats, rate float64, held time.Duration) int {
	return max(int(seats-rate*held.Seconds()), 0)
}
