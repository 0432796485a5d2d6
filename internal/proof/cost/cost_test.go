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
	maxLatency        = int64(10 * time.Second)
	significantDigits = 3
)

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportLatency reports latency percentiles and the processor time per unit of work.
func reportLatency(b *testing.B, h *hdrhistogram.Histogram, used time.Duration, units int64, unit string) {
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(used.Microseconds())/float64(units), "cpu-µs/"+unit)
}

func (r *rig) addresses() map[string]string {
	return map[string]string{"direct": r.direct, "system": r.entry}
}

// BenchmarkRequest measures sequential short requests.
func BenchmarkRequest(b *testing.B) {
	r := newRig(b)
	for _, name := range []string{"direct", "system"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			h := hdrhistogram.New(1, maxLatency, significantDigits)
			before := cpuTime(b)
			for b.Loop() {
				began := time.Now()
				r.request(b, r.addresses()[name], "/plain", "")
				_ = h.RecordValue(int64(time.Since(began)))
			}
			reportLatency(b, h, cpuTime(b)-before, int64(b.N), "request")
		})
	}
	b.Run("once", func(b *testing.B) {
		b.ReportAllocs()
		h := hdrhistogram.New(1, maxLatency, significantDigits)
		before := cpuTime(b)
		for b.Loop() {
			began := time.Now()
			r.requestOnce(b)
			_ = h.RecordValue(int64(time.Since(began)))
		}
		reportLatency(b, h, cpuTime(b)-before, int64(b.N), "request")
	})
}

// request makes a request and checks its answer.
func (r *rig) request(b *testing.B, address, path, key string) {
	response, err := r.post(address, path, "x", key)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "x" {
		b.Fatalf("status %d, body %q, error %v", response.StatusCode, body, err)
	}
}

// requestOnce makes a non-idempotent request: it asks for an idempotency key and uses it.
func (r *rig) requestOnce(b *testing.B) {
	response, err := r.post(r.entry, "/once", "x", "")
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusPreconditionRequired {
		b.Fatal(response.Status)
	}
	r.request(b, r.entry, "/once", response.Header.Get("Idempotency-Key"))
}

// BenchmarkConcurrentRequests measures concurrent short requests of many callers.
func BenchmarkConcurrentRequests(b *testing.B) {
	r := newRig(b)
	for _, name := range []string{"direct", "system"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(4)
			var mu sync.Mutex
			h := hdrhistogram.New(1, maxLatency, significantDigits)
			before := cpuTime(b)
			b.RunParallel(func(pb *testing.PB) {
				own := hdrhistogram.New(1, maxLatency, significantDigits)
				for pb.Next() {
					began := time.Now()
					r.request(b, r.addresses()[name], "/plain", "")
					_ = own.RecordValue(int64(time.Since(began)))
				}
				mu.Lock()
				defer mu.Unlock()
				h.Merge(own)
			})
			reportLatency(b, h, cpuTime(b)-before, int64(b.N), "request")
		})
	}
}

const (
	streamCount   = 100
	streamTokens  = 200
	tokenInterval = 5 * time.Millisecond
)

// BenchmarkToken measures the tokens of concurrent streams, from the time the engine writes them to their arrival.
func BenchmarkToken(b *testing.B) {
	r := newRig(b)
	for _, name := range []string{"direct", "system"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			h := hdrhistogram.New(1, maxLatency, significantDigits)
			before := cpuTime(b)
			var tokens int64
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			mallocs := memory.Mallocs
			for b.Loop() {
				tokens += r.readStreams(b, r.addresses()[name], h)
			}
			runtime.ReadMemStats(&memory)
			reportLatency(b, h, cpuTime(b)-before, tokens, "token")
			b.ReportMetric(float64(memory.Mallocs-mallocs)/float64(tokens), "allocs/token")
		})
	}
}

// readStreams reads concurrent streams and returns the number of tokens.
func (r *rig) readStreams(b *testing.B, address string, h *hdrhistogram.Histogram) (tokens int64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range streamCount {
		wg.Go(func() {
			own := hdrhistogram.New(1, maxLatency, significantDigits)
			n := r.readStream(address, streamTokens, tokenInterval, func(age time.Duration) { _ = own.RecordValue(int64(age)) })
			mu.Lock()
			defer mu.Unlock()
			h.Merge(own)
			tokens += n
		})
	}
	wg.Wait()
	if tokens != streamCount*streamTokens {
		b.Errorf("%d tokens arrived", tokens)
	}
	return tokens
}

// readStream reads the tokens of one answer, plain or as events, and calls onToken with the age of each.
func (r *rig) readStream(address string, tokens int, interval time.Duration, onToken func(time.Duration)) (n int64) {
	response, err := r.post(address, "/stream", fmt.Sprintf("%d %s", tokens, interval), "")
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
			written, ok := parseTimestamp(stamp)
			if !ok {
				continue
			}
			onToken(time.Since(time.Unix(0, written)))
			n++
		}
	}
	return n
}

// parseTimestamp parses a token's timestamp; other lines of an event stream hold none.
func parseTimestamp(text string) (n int64, ok bool) {
	if text == "" || text[0] < '0' || text[0] > '9' {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}

// BenchmarkStreamMemory measures the memory of an open stream, through the system and directly from the fake engine.
func BenchmarkStreamMemory(b *testing.B) {
	r := newRig(b)
	for _, name := range []string{"direct", "system"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r.measureMemory(b, r.addresses()[name])
			}
		})
	}
}

func (r *rig) measureMemory(b *testing.B, address string) {
	before, goroutines := liveBytes(), runtime.NumGoroutine()
	var wg, first sync.WaitGroup
	first.Add(streamCount)
	for range streamCount {
		wg.Go(func() {
			once := sync.OnceFunc(first.Done)
			r.readStream(address, 3, 500*time.Millisecond, func(time.Duration) { once() })
		})
	}
	first.Wait()
	b.ReportMetric(float64(liveBytes()-before)/streamCount/1024, "KiB/stream")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/streamCount, "goroutines/stream")
	wg.Wait()
}

// inUse returns the bytes of live objects and stacks.
func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
