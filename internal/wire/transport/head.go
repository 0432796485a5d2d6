package transport

import (
	"bytes"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

// statusLine is the first line of an answer, with its version and status.
var statusLine = regexp.MustCompile(`^HTTP/(1\.[01]) ([1-5][0-9]{2})(?: .*)?$`)

// head checks the head of an answer, with the informational answers before it, line by line as it arrives. The standard library accepts some
// lines that are not valid and then passes over the length or the coding that they name.
type head struct {
	// line is the line that has not ended yet.
	line []byte
	// version is that of the answer, such as "1.1", or empty before its status line.
	version string
	status  int
}

// add adds bytes, and reports whether the head is complete.
func (h *head) add(data []byte) (complete bool, err error) {
	for len(data) > 0 {
		part, rest, ended := bytes.Cut(data, []byte("\n"))
		h.line = append(h.line, part...)
		if !ended {
			return false, nil
		}
		line := string(bytes.TrimSuffix(h.line, []byte("\r")))
		h.line, data = h.line[:0], rest
		switch {
		case h.version == "":
			err = h.readStatus(line)
		case line == "" && h.informational():
			*h = head{}
		case line == "":
			return true, nil
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// informational reports whether another answer follows.
func (h *head) informational() bool { return h.status < http.StatusOK }

// readStatus reads the status line.
func (h *head) readStatus(line string) error {
	m := statusLine.FindStringSubmatch(line)
	if m == nil || !httpguts.ValidHeaderFieldValue(line) {
		return merry.Errorf("status line %q", line)
	}
	h.version = m[1]
	h.status, _ = strconv.Atoi(m[2])
	if h.status == http.StatusSwitchingProtocols {
		return merry.Errorf("status line %q: no other protocol was asked for", line)
	}
	return nil
}

// checkField checks the line of a header. A line that continues the one before it has a name that begins with a blank.
func (h *head) checkField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return merry.Errorf("header line %q", line)
	}
	if h.version == "1.0" && strings.EqualFold(name, "Transfer-Encoding") {
		return merry.Errorf("header line %q in HTTP/1.0", line)
	}
	return nil
}
