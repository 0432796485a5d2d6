package power

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// allocator names a policy that divides a site's cap.
type allocator string

const (
	// allocatorFixed gives each target a fixed share.
	allocatorFixed allocator = "fixed"
	// allocatorLoans lends shares with the ledger.
	allocatorLoans allocator = "loans"
	// allocatorPerfect knows all targets and admits each request against the cap of the whole site.
	allocatorPerfect allocator = "perfect"
)

// startTimeout is how long a request waits for its start before it is refused.
const startTimeout = time.Second

// goodput is the result of a run with one allocator.
type goodput struct {
	// offered and started count requests, by priority.
	offered, started [3]int
	// overshoot is the largest draw above the site's cap, in watts.
	overshoot int64
	// idle is the energy left unused while requests were refused, in watt-seconds.
	idle float64
}

// runSite offers a shifting load to a site of five targets for five minutes of simulated time.
func runSite(seed uint64, a allocator, load float64) (g goodput) {
	s := newFakeSite(seed, []int64{500, 500, 500, 500, 500}, 12, DefaultLimits)
	for _, slot := range s.slots {
		if a == allocatorFixed {
			slot.plan.Peers = nil
			slot.ledger.Configure(s.now, slot.plan)
		}
		slot.ledger.recoveryEnd = s.now
	}
	// The demand has its own random source, so that all allocators get the same requests.
	demand := rand.New(rand.NewPCG(seed, 3))
	s.manual = a == allocatorPerfect
	for i := range int(5 * time.Minute / tick) {
		s.offer(demand, &g, load, i)
		s.step()
		if a == allocatorPerfect {
			s.admitPerfect()
		}
		s.refuse(&g)
		g.overshoot = max(g.overshoot, s.draw()-s.cap)
	}
	for _, slot := range s.slots {
		for priority, count := range slot.started {
			g.started[priority] += count
		}
	}
	return g
}

// offer adds requests. The popular targets change every twenty seconds.
func (s *fakeSite) offer(random *rand.Rand, g *goodput, load float64, step int) {
	// The cap allows (cap - idle) / draw requests at once, each of 1.5 seconds on average.
	rate := load * float64(s.cap-int64(len(s.slots))*fakeIdle) / fakeDraw / 1.5 * tick.Seconds()
	popular := step / int(20*time.Second/tick)
	for rate > 0 {
		if random.Float64() < rate {
			request := testRequest{arrived: s.now, priority: random.IntN(3)}
			request.duration = time.Duration(min(5, 1.5*random.ExpFloat64()) * float64(time.Second))
			to := random.IntN(len(s.slots))
			if random.IntN(10) < 6 {
				to = (popular*3 + random.IntN(2)) % len(s.slots)
			}
			s.slots[to].queue = append(s.slots[to].queue, request)
			g.offered[request.priority]++
		}
		rate--
	}
}

// admitPerfect starts queued requests of all targets while the whole site is under its cap.
func (s *fakeSite) admitPerfect() {
	for priority := 2; priority >= 0; priority-- {
		for _, slot := range s.slots {
			for i := 0; i < len(slot.queue); i++ {
				if slot.queue[i].priority != priority || len(slot.work) >= slot.width || s.draw()+fakeDraw > s.cap {
					continue
				}
				slot.work = append(slot.work, s.now.Add(slot.queue[i].duration))
				slot.started[priority]++
				slot.queue = slices.Delete(slot.queue, i, i+1)
				i--
			}
		}
	}
}

// refuse drops the requests that have waited longer than startTimeout.
func (s *fakeSite) refuse(g *goodput) {
	refused := false
	for _, slot := range s.slots {
		before := len(slot.queue)
		slot.queue = slices.DeleteFunc(slot.queue, func(request testRequest) bool { return s.now.Sub(request.arrived) >= startTimeout })
		refused = refused || len(slot.queue) < before
	}
	if refused {
		g.idle += float64(max(0, s.cap-s.draw())) * tick.Seconds()
	}
}

// BenchmarkGoodput compares the ledger with fixed shares and with an allocator that knows the whole site.
func BenchmarkGoodput(b *testing.B) {
	loads := []struct {
		name string
		load float64
	}{{"load=0.6", 0.6}, {"load=0.9", 0.9}, {"load=1.2", 1.2}, {"load=2.0", 2}}
	for _, v := range loads {
		b.Run(v.name, func(b *testing.B) {
			for range b.N {
				report(b, v.load)
			}
		})
	}
}

func report(b *testing.B, load float64) {
	const seeds = 5
	// totals holds, by allocator, the share of started requests of each priority, the started requests and the unused energy.
	totals := map[allocator]*[5]float64{allocatorFixed: {}, allocatorLoans: {}, allocatorPerfect: {}}
	overshoot := int64(math.MinInt64)
	for seed := range uint64(seeds) {
		for a, sum := range totals {
			g := runSite(seed, a, load)
			for p := range 3 {
				sum[p] += float64(g.started[p]) / float64(g.offered[p]) / seeds
				sum[3] += float64(g.started[p])
			}
			sum[4] += g.idle / seeds
			if a == allocatorLoans {
				overshoot = max(overshoot, g.overshoot)
			}
		}
	}
	perfect := totals[allocatorPerfect][3]
	b.ReportMetric(totals[allocatorFixed][3]/perfect, "fixed/perfect")
	b.ReportMetric(totals[allocatorLoans][3]/perfect, "loans/perfect")
	b.ReportMetric(totals[allocatorFixed][2], "fixed-high")
	b.ReportMetric(totals[allocatorLoans][2], "loans-high")
	b.ReportMetric(totals[allocatorPerfect][2], "perfect-high")
	b.ReportMetric(totals[allocatorFixed][4], "fixed-idle-Ws")
	b.ReportMetric(totals[allocatorLoans][4], "loans-idle-Ws")
	b.ReportMetric(float64(max(overshoot, 0)), "overshoot-W")
}
