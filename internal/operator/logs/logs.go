// Package logs writes a process's log in the background, so that a slow output never blocks the process.
package logs

import (
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"
)

const (
	// bufferSize is the largest number of buffered bytes; lines beyond it are dropped and counted.
	bufferSize = 256 << 10
	// flushInterval is the time between two writes, so that a busy process writes many lines at once.
	flushInterval = 100 * time.Millisecond
	// maxBytesPerSecond limits the rate of accepted bytes; lines beyond it are dropped and counted.
	maxBytesPerSecond = 64 << 10
	// timeFormat is the time format of slog.TextHandler.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Writer buffers whole lines and writes them in the background. It is safe for concurrent use.
type Writer struct {
	// writing is held while out is written to, which may block.
	writing sync.Mutex
	out     io.Writer

	mu sync.Mutex
	// buffer holds the lines that are not written yet; guarded by mu.
	buffer []byte
	// credit is the number of bytes that the rate limit still allows; guarded by mu.
	credit int
	// dropped counts the dropped lines that were not reported yet; guarded by mu.
	dropped int
	// scheduled is set while a flush is scheduled; guarded by mu.
	scheduled bool
	// refilled is when credit was last increased; guarded by mu.
	refilled time.Time
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, credit: bufferSize}
}

// New returns a Logger that writes to w.
func New(w *Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: shorten}))
}

// shorten replaces an error by its message, which omits the stack, and removes a nil error.
func shorten(_ []string, a slog.Attr) slog.Attr {
	if a.Key == "error" && a.Value.Any() == nil {
		return slog.Attr{}
	}
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

// Write buffers or drops one line; it never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > bufferSize || w.credit < len(line) {
		w.dropped++
		return len(line), nil
	}
	w.credit -= len(line)
	w.buffer = append(w.buffer, line...)
	if !w.scheduled {
		w.scheduled = true
		time.AfterFunc(flushInterval, w.flush)
	}
	return len(line), nil
}

// flush writes the buffered lines.
func (w *Writer) flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	lines := w.takeBuffer(time.Now())
	if len(lines) == 0 {
		return
	}
	// There is no other place to report that the log cannot be written.
	_, _ = w.out.Write(lines)
}

// takeBuffer empties the buffer and returns its lines, followed by a line with the number of dropped lines if any.
func (w *Writer) takeBuffer(now time.Time) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.buffer
	w.buffer, w.scheduled = nil, false
	w.credit = min(bufferSize, w.credit+int(now.Sub(w.refilled).Seconds()*maxBytesPerSecond))
	w.refilled = now
	if w.dropped > 0 {
		lines = append(lines, "time="...)
		lines = now.AppendFormat(lines, timeFormat)
		lines = append(lines, ` level=WARN msg="log lines dropped" count=`...)
		lines = strconv.AppendInt(lines, int64(w.dropped), 10)
		lines = append(lines, '\n')
		w.dropped = 0
	}
	return lines
}

// Close writes the buffered lines.
func (w *Writer) Close() {
	w.flush()
}
