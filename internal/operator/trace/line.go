package trace

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logfmt/logfmt"
)

// longestLine bounds one line of a log in bytes; no process writes as much.
const longestLine = 1 << 20

// Field is one key and value of a line.
type Field struct {
	Key, Value string
}

// Line is one line of a process's log.
type Line struct {
	// Time is when the process wrote it, by its own clock.
	Time time.Time
	// Instance is the process that wrote it, or empty where the line does not say.
	Instance string
	// Message is the kind of line.
	Message string
	// Fields are the other keys in their order.
	Fields []Field
}

// Get returns the value of a key, or an empty string.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// parse reads one line. What a collector puts before the time is skipped; ok is false for what is no line of ours.
func parse(text []byte) (l Line, ok bool) {
	start := bytes.Index(text, []byte("time="))
	if start < 0 {
		return Line{}, false
	}
	d := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			l.Time = at
		case "instance":
			l.Instance = value
		case "msg":
			l.Message = value
		case "level":
		default:
			l.Fields = append(l.Fields, Field{Key: key, Value: strings.TrimSpace(value)})
		}
	}
	return l, d.Err() == nil && l.Message != ""
}

// scan passes each line of a log to use and counts those that could not be read.
func scan(r io.Reader, use func(Line)) (unread int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		if l, ok := parse(s.Bytes()); ok {
			use(l)
		} else {
			unread++
		}
	}
	return unread, merry.Prepend(s.Err(), "read the log")
}
