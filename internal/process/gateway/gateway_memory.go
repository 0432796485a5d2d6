package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/call"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/memory"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

const (
	// bufferShare is the part of the memory limit that requests and answers may hold. The rest is for the program and the garbage
	// that is not collected yet.
	bufferShare = 0.5
	// requestBytes is what each request holds: the buffers of its two connections, and answerBytes for its answer.
	requestBytes = 24 << 10
	// answerBytes is what each answer may hold: the buffer into which events are read, or a plain answer.
	answerBytes = chunkSize
	// sendBuffer is the size of the kernel's buffer for what a caller has not read yet. Without a bound the kernel holds some megabytes for
	// each slow reader, which count towards the memory of the machine.
	sendBuffer = 64 << 10
	// memoryRetryAfter is the Retry-After of a request for which there is no memory. Slow readers keep theirs for seconds.
	memoryRetryAfter = time.Second
)

// errNoMemory reports that there is no memory for an answer.
var errNoMemory = errors.New("no memory for the answer")

// buffers is the account of what a process holds for its callers.
type buffers struct {
	*sync.Mutex
	account *memory.Account
}

// newBuffers returns the account of a process with a memory limit in bytes, which is zero if there is none.
func newBuffers(limit int64) buffers {
	return buffers{Mutex: &sync.Mutex{}, account: memory.New(int64(bufferShare * float64(limit)))}
}

// boundConnection bounds what the kernel holds for a caller.
func boundConnection(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*net.TCPConn); ok {
		// An error leaves the kernel's own bound in force.
		_ = t.SetWriteBuffer(sendBuffer)
	}
	return ctx
}

// changeHeld changes what the request holds by a function that reports whether there was room for it.
func (v *request) changeHeld(change func() bool) (fits bool) {
	p := v.process
	p.memory.Lock()
	defer p.memory.Unlock()
	before := v.held.Bytes()
	fits = change()
	if after := v.held.Bytes(); after != before {
		p.metrics.memory.With("event", "held").Add(float64(after - before))
	}
	return fits
}

// holdRequest holds the memory for a request before its body is read. Without room for it memoryShort is set, and the body reads as
// empty.
func (v *request) holdRequest(limit int64) {
	r, workspace := v.caller, ""
	if c := v.process.configuration.Load(); c != nil {
		workspace = c.Workspaces[v.process.Codec.DecodeKey(r)].Name
	}
	v.held = v.process.memory.account.Hold(workspace)
	v.requestHeld = requestBytes
	v.memoryShort = !v.changeHeld(func() bool { return v.held.Add(requestBytes) }) || !v.holdBody(min(r.ContentLength, limit))
	switch {
	case v.memoryShort:
		r.Body, r.ContentLength = http.NoBody, 0
	case r.ContentLength < 0:
		r.Body = &meteredBody{ReadCloser: r.Body, request: v}
	}
}

// holdBody holds more memory for the body of the request.
func (v *request) holdBody(more int64) bool {
	if more <= 0 {
		return true
	}
	v.requestHeld += more
	return v.changeHeld(func() bool { return v.held.Set(v.requestHeld) })
}

// bodyGrowth is the largest number of bytes that are held for each byte of a body of unknown length, as it is copied when it grows.
const bodyGrowth = 3

// meteredBody is a body of unknown length, for which memory is held as it is read.
type meteredBody struct {
	io.ReadCloser
	request *request
}

// Read implements io.Reader.
func (b *meteredBody) Read(data []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(data)
	if !b.request.holdBody(bodyGrowth * int64(n)) {
		b.request.memoryShort = true
		return 0, errNoMemory
	}
	return n, err
}

// holdAnswer holds the memory for a number of bytes of an answer in place of those before, and reports whether there was room for it.
func (v *request) holdAnswer(bytes int) bool {
	want := v.requestHeld + max(int64(bytes)-answerBytes, 0)
	if want == v.held.Bytes() {
		return true
	}
	return v.changeHeld(func() bool { return v.held.Set(want) })
}

// releaseMemory ends what the request holds.
func (v *request) releaseMemory() {
	if v.held != nil {
		v.changeHeld(func() bool { v.held.Release(); return true })
	}
}

// refuseMemory refuses a request for which there is no memory.
func (v *request) refuseMemory() {
	p := v.process
	p.memory.Lock()
	used := p.memory.account.Used()
	p.memory.Unlock()
	id := ""
	if v.Call != nil {
		id = v.ID
	}
	p.metrics.memory.With("event", "refused").Add(1)
	p.Log.Info("no memory", "id", id, "workspace", v.held.Workspace(), "wanted", v.requestHeld, "used", used)
	v.refuse(http.StatusServiceUnavailable, "no memory for the request", memoryRetryAfter)
}

// readPlain reads a plain answer. It is short if there is no memory for the rest.
func (v *request) readPlain(response *http.Response) (body []byte, short bool, err error) {
	size := answerBytes
	if n := response.ContentLength; n > 0 && n <= maxPlainAnswer && v.holdAnswer(int(n)+1) {
		size = int(n) + 1
	}
	body = make([]byte, 0, size)
	for len(body) <= maxPlainAnswer {
		if len(body) == cap(body) {
			larger := min(2*cap(body), maxPlainAnswer+1)
			// Both are held while one is copied into the other.
			if !v.holdAnswer(cap(body) + larger) {
				return body, true, nil
			}
			body = append(make([]byte, 0, larger), body...)
			v.holdAnswer(larger)
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, false, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// passOn passes a plain answer to the caller while it arrives, as there is no memory to hold it. If it is truncated, so is that of the
// caller, whose request can't be sent again.
func (v *request) passOn(ctx context.Context, a *call.Answer, part []byte, response *http.Response) (outcome, *bufferedAnswer, string) {
	p := v.process
	p.metrics.memory.With("event", "passed").Add(1)
	p.Log.Info("answer not held", "id", v.ID, "length", response.ContentLength)
	h := v.writer.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Del("Content-Length")
	if response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	v.headersSent = true
	v.writer.WriteHeader(a.Status)
	passed := 0
	for {
		v.limitWrite()
		if _, err := v.writer.Write(part); err != nil {
			v.fate = suspect.FateSilent
			return outcomeCallerLeft, nil, "caller left: " + err.Error()
		}
		if passed += len(part); passed > maxPlainAnswer {
			return outcomeTruncated, nil, "answer too long"
		}
		n, err := response.Body.Read(part[:cap(part)])
		part = part[:n]
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return outcomeServed, nil, ""
		case err != nil && !errors.Is(err, io.EOF):
			v.fate = lostFate(ctx)
			return outcomeTruncated, nil, "answer truncated: " + err.Error()
		}
	}
}
