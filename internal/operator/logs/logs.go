// Package logs writes a process's log without ever blocking it.
package logs

import (
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"
)

const (
	// room is the number of bytes that wait for the writer; lines beyond it are dropped and counted.
	room = 256 << 10
	// pause is the time between two writes, so that a busy process writes many lines at once.
	pause = 100 * time.Millisecond
	// fastest is the number of bytes a second that are written; the rest is dropped.
	fastest = 64 << 10
	// timeFormat is how slog writes times.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Writer passes whole lines on in the background. It is safe for concurrent use.
type Writer struct {
	// writing is held while out is written to, which may block.
	writing sync.Mutex
	out     io.Writer

	mu sync.Mutex
	// lines wait for the writer; guarded by mu.
	lines []byte
	// credit is the number of bytes that may still be taken in; guarded by mu.
	credit int
	// dropped is the number of lost lines since the last note of it; guarded by mu.
	dropped int
	// awake is set while a write is due; guarded by mu.
	awake bool
	// filled is when credit was last added to; guarded by mu.
	filled time.Time
}

// NewWriter returns a Writer.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, credit: room}
}

// New returns a Logger on a Writer.
func New(w *Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: shorten}))
}

// shorten writes errors without their stack, and leaves out an error that did not happen.
func shorten(_ []string, a slog.Attr) slog.Attr {
	if a.Key == "error" && a.Value.Any() == nil {
		return slog.Attr{}
	}
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

// Write takes in one line; it never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lines)+len(line) > room || w.credit < len(line) {
		w.dropped++
		return len(line), nil
	}
	w.credit -= len(line)
	w.lines = append(w.lines, line...)
	if !w.awake {
		w.awake = true
		time.AfterFunc(pause, w.flush)
	}
	return len(line), nil
}

// flush writes what waits.
func (w *Writer) flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	lines := w.take(time.Now())
	if len(lines) == 0 {
		return
	}
	// A log that cannot be written has no other place to say so.
	_, _ = w.out.Write(lines)
}

// take returns what waits, with a line on what was dropped.
func (w *Writer) take(now time.Time) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.lines
	w.lines, w.awake = nil, false
	w.credit = min(room, w.credit+int(now.Sub(w.filled).Seconds()*fastest))
	w.filled = now
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

// Close writes what waits.
func (w *Writer) Close() {
	w.flush()
}
