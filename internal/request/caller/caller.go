// Package caller limits what an entry accepts from a caller and how long it waits for it.
package caller

import (
	"net/http"
	"time"
)

// WriteTimeout is the time within which a caller must read a part of its answer.
const WriteTimeout = 30 * time.Second

// ProtocolReason is the reason given to a caller of a refused version of HTTP.
const ProtocolReason = "HTTP/1.0 cannot signal a truncated answer; use HTTP/1.1"

// ShowsTruncation reports whether the caller of a request would see that its answer is truncated.
func ShowsTruncation(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1)
}
