package caller

import (
	"io"
	"net/http"
	"time"
)

// BodyTimeout is the time within which a caller must send the body of a request.
const BodyTimeout = 15 * time.Second

// timedBody clears the read deadline of the connection once the body was read, so that it does not truncate long answers.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// LimitBody limits the size of a request's body and the time to send it.
func LimitBody(w http.ResponseWriter, r *http.Request, size int64, now time.Time) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(now.Add(BodyTimeout))
	r.Body = &timedBody{ReadCloser: http.MaxBytesReader(w, r.Body, size), control: control}
}

// Read implements io.Reader.
func (b *timedBody) Read(data []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(data)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
