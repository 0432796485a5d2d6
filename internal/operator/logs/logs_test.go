package logs

import (
	"bytes"
	"errors"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestWriterNeverBlocks writes far more than fits in the buffer while the output blocks; the excess must be dropped
// and counted.
func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	s := blockedWriter{release: make(chan struct{})}
	defer close(s.release)
	w := NewWriter(s)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	began := time.Now()
	for range 10_000 {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(time.Since(began) < time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	is.True(len(w.buffer) <= bufferSize)
	is.True(w.dropped > 0)
}

func TestWriterReportsDroppedLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	w.credit = 10
	_, err := w.Write([]byte("short\n"))
	is.NoErr(err)
	_, err = w.Write([]byte("too long for the rest\n"))
	is.NoErr(err)
	w.Close()
	is.True(regexp.MustCompile(`^short\ntime=[0-9T:.+Z-]+ level=WARN msg="log lines dropped" count=1\n$`).MatchString(out.String()))
}

func TestErrorsAreOneLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	New(w).Warn("store lost", "error", errors.New("connection refused"))
	w.Close()
	New(w).Info("stop", "error", nil)
	w.Close()
	is.True(strings.Contains(out.String(), `level=WARN msg="store lost" error="connection refused"`))
	is.True(strings.HasSuffix(out.String(), "msg=stop\n"))
	is.Equal(strings.Count(out.String(), "\n"), 2)
}
