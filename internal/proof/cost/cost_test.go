package cost

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms.
const (
	longest = int64(10 * time.Second)
	digits  = 3
)

// cpu returns the processor time of this process so far.
func cpu(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// report gives the latency percentiles and the processor time of each unit of work.
func report(b *testing.B, h *hdrhistogram.Histogram, used time.Duration, units int64, unit string) {
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(used.Microseconds())/float64(units), "cpu-µs/"+unit)
}

func (r *rig) addresses() map[string]string {
	return map[string]string{"direct": r.direct, "system": r.entry}
}

// BenchmarkRequest measures one short request after the other.
func BenchmarkRequest(b *testing.B) {
	r := newRig(b)
	for _, name := range []string{"direct", "system"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			h := hdrhistogram.New(1, longest, digits)
			before := cpu(b)
			for b.Loop() {
				began := time.Now()
				r.whole(b, r.addresses()[name], "/plain", "")
				_ = h.RecordValue(int64(time.Since(began)))
			}
			report(b, h, cpu(b)-before, int64(b.N), "request")
		})
	}
	b.Run("once", func(b *testing.B) {
		b.ReportAllocs()
		h := hdrhistogram.New(1, longest, digits)
		before := cpu(b)
		for b.Loop() {
			began := time.Now()
			r.once(b)
			_ = h.RecordValue(int64(time.Since(began)))
		}
		report(b, h, cpu(b)-before, int64(b.N), "request")
	})
}

// whole makes a request and reads its answer.
func (r *rig) whole(b *testing.B, address, path, key string) {
	response, err := r.post(address, path, "x", key)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "x" {
		b.Fatalf("%d %q %v", response.StatusCode, body, err)
	}
}

// once makes a non-idempotent request: it asks for a key and uses it.
func (r *rig) once(b *testing.B) {
	response, err := r.post(r.entry, "/once", "x", "")
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusPreconditionRequired {
		b.Fatal(response.Status)
	}
	r.whole(b, r.entry, "/once", response.Header.Get("Idempotency-Key"))
}

// BenchmarkConcurrentRequests measures short requests of many callers at once.
func BenchmarkConcurrentRequests(b *testing.B) {
	r := newRig(b)
	for _, name := range []string{"direct", "system"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(4)
			var mu sync.Mutex
			h := hdrhistogram.New(1, longest, digits)
			before := cpu(b)
			b.RunParallel(func(pb *testing.PB) {
				own := hdrhistogram.New(1, longest, digits)
				for pb.Next() {
					began := time.Now()
					r.whole(b, r.addresses()[name], "/plain", "")
					_ = own.RecordValue(int64(time.Since(began)))
				}
				mu.Lock()
				defer mu.Unlock()
				h.Merge(own)
			})
			report(b, h, cpu(b)-before, int64(b.N), "request")
		})
	}
}

const (
	streams      = 100
	streamTokens = 200
	tokenStep    = 5 * time.Millisecond
)

// BenchmarkToken measures tokens of many streams at once, from their writing to their arrival.
func BenchmarkToken(b *testing.B) {
	r := newRig(b)
	for _, name := range []string{"direct", "system"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			h := hdrhistogram.New(1, longest, digits)
			before := cpu(b)
			var units int64
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			mallocs := memory.Mallocs
			for b.Loop() {
				units += r.streams(b, r.addresses()[name], h)
			}
			runtime.ReadMemStats(&memory)
			report(b, h, cpu(b)-before, units, "token")
			b.ReportMetric(float64(memory.Mallocs-mallocs)/float64(units), "allocs/token")
		})
	}
}

// streams reads many streams at once and returns the number of tokens.
func (r *rig) streams(b *testing.B, address string, h *hdrhistogram.Histogram) (units int64) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			own := hdrhistogram.New(1, longest, digits)
			n := r.stream(address, streamTokens, tokenStep, func(age time.Duration) { _ = own.RecordValue(int64(age)) })
			mu.Lock()
			defer mu.Unlock()
			h.Merge(own)
			units += n
		})
	}
	group.Wait()
	if units != streams*streamTokens {
		b.Errorf("%d tokens came", units)
	}
	return units
}

// stream reads the tokens of one answer, plain or as events, and tells the age of each.
func (r *rig) stream(address string, tokens int, step time.Duration, each func(time.Duration)) (n int64) {
	response, err := r.post(address, "/stream", fmt.Sprintf("%d %s", tokens, step), "")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text := lines.Text()
		if body, ok := strings.CutPrefix(text, `data: {"text":"`); ok {
			text = strings.TrimSuffix(body, `\n"}`)
		}
		for text != "" {
			stamp, rest, _ := strings.Cut(text, `\n`)
			text = rest
			written, ok := number(stamp)
			if !ok {
				continue
			}
			each(time.Since(time.Unix(0, written)))
			n++
		}
	}
	return n
}

// number reads a time stamp; other lines of an event stream are none.
func number(text string) (n int64, ok bool) {
	if text == "" || text[0] < '0' || text[0] > '9' {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}

// BenchmarkStreamMemory measures the memory of an open stream in the system and its stand-in.
func BenchmarkStreamMemory(b *testing.B) {
	r := newRig(b)
	for _, name := range []string{"direct", "system"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r.memory(b, r.addresses()[name])
			}
		})
	}
}

func (r *rig) memory(b *testing.B, address string) {
	before, goroutines := inUse(), runtime.NumGoroutine()
	var group, first sync.WaitGroup
	first.Add(streams)
	for range streams {
		group.Go(func() {
			once := sync.OnceFunc(first.Done)
			r.stream(address, 3, 500*time.Millisecond, func(time.Duration) { once() })
		})
	}
	first.Wait()
	b.ReportMetric(float64(inUse()-before)/streams/1024, "KiB/stream")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/streams, "goroutines/stream")
	group.Wait()
}

// inUse returns the bytes of live objects and stacks.
func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
