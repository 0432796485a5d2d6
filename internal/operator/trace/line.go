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

// maxLineBytes is the largest length of a log line in bytes; the processes write shorter ones.
const maxLineBytes = 1 << 20

// Field is one key and value of a line.
type Field struct {
	Key, Value string
}

// Line is one parsed line of a process's log.
type Line struct {
	// Time is when the process logged the line, by its own clock.
	Time time.Time
	// Instance is the name of the process that logged the line, or empty if the line has none.
	Instance string
	// Message is the log message; it tells the kind of event.
	Message string
	// Fields are the other keys and values, in the order of the line.
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

// parse parses one logfmt line. A prefix that a log collector added before the time is skipped;
// ok is false for a line that is not in the format of this system's logs.
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

// scan calls handle with each line of a log and counts the lines that could not be parsed.
func scan(r io.Reader, handle func(Line)) (unparsed int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		if l, ok := parse(s.Bytes()); ok {
			handle(l)
		} else {
			unparsed++
		}
	}
	return unparsed, merry.Prepend(s.Err(), "read the log")
}
