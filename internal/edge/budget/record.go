package budget

import (
	"maps"
	"net/netip"
	"time"
)

// keepTime is the age above which the records of a process are not given to the one after it: one that was cut off for so long before
// its end may have sent anything meanwhile.
const keepTime = 3 * time.Second

// Record is what an entry has counted of one service in the window before a time.
type Record struct {
	At time.Time
	// Requests and Retries are the counts by bucket, the latest first; missing ones are zero.
	Requests, Retries []int
}

// age returns the number of whole buckets since the record.
func (r Record) age(now time.Time, window time.Duration) int {
	width := window / windowBuckets
	if width <= 0 {
		return buckets
	}
	return int(max(now.Sub(r.At), 0) / width)
}

// count returns an element of counts by bucket, or zero if there is none or it is negative.
func count(counts []int, i int) int {
	if i < 0 || i >= len(counts) {
		return 0
	}
	return max(counts[i], 0)
}

// add returns the sum with an earlier record, as of the time of r.
func (r Record) add(earlier Record, window time.Duration) Record {
	b := Budget{bucketStart: r.At}
	b.Window = window
	b.Inherit(r.At, earlier)
	sum := b.Record(r.At)
	for i := range buckets {
		sum.Requests[i] += count(r.Requests, i)
		sum.Retries[i] += count(r.Retries, i)
	}
	return sum
}

// Records are the records of an entry.
type Records struct {
	// Entries is the number of entries among which the entry divides the slack, or zero.
	Entries int
	// Services holds the record of each service; it is nil if the records are not known.
	Services map[string]Record
}

// add returns the sums by service.
func (r Records) add(earlier Records, window time.Duration) Records {
	sum := Records{Entries: max(r.Entries, earlier.Entries), Services: maps.Clone(earlier.Services)}
	for service, s := range r.Services {
		if e, ok := sum.Services[service]; ok {
			s = s.add(e, window)
		}
		sum.Services[service] = s
	}
	return sum
}

// Archive keeps the records of entries for the processes that follow them at the same addresses. It is not safe for concurrent use.
type Archive struct {
	entries map[netip.AddrPort]*history
	// expiredAt is when records that are too old were last removed.
	expiredAt time.Time
}

// history is what is known of the processes at an address.
type history struct {
	incarnation uint64
	// latest are the records of the present process as of at. They are complete if they contain those of the processes before it.
	latest   Records
	at       time.Time
	complete bool
	// earlier are the records of the processes before it; they are not known if those of one are not.
	earlier Records
}

// NewArchive returns an empty Archive.
func NewArchive() *Archive {
	return &Archive{entries: map[netip.AddrPort]*history{}}
}

// Keep keeps the records of a process, which are complete if they contain those of the processes before it.
func (a *Archive) Keep(now time.Time, address netip.AddrPort, incarnation uint64, latest Records, complete bool, window time.Duration) {
	if now.Sub(a.expiredAt) > window {
		a.expiredAt = now
		maps.DeleteFunc(a.entries, func(_ netip.AddrPort, h *history) bool { return now.Sub(h.at) > window })
	}
	h := a.entries[address]
	if h == nil {
		h = &history{incarnation: incarnation}
		a.entries[address] = h
	}
	if h.incarnation != incarnation {
		h.earlier = h.before(now, window)
	}
	h.incarnation, h.at, h.latest, h.complete = incarnation, now, latest, complete
}

// before returns the records that a process that starts now inherits.
func (h *history) before(now time.Time, window time.Duration) Records {
	switch {
	case now.Sub(h.at) > keepTime:
		return Records{}
	case h.complete:
		return h.latest
	case h.earlier.Services != nil:
		return h.latest.add(h.earlier, window)
	}
	return Records{}
}

// Earlier returns the records of the processes at an address before the present one.
func (a *Archive) Earlier(address netip.AddrPort) Records {
	if h := a.entries[address]; h != nil {
		return h.earlier
	}
	return Records{}
}
