package answer

import "net/http"

// Disposition is what is done with the complete answer of a target that may have run the request.
type Disposition uint8

// The dispositions.
const (
	// Deliver means that the caller gets the answer.
	Deliver Disposition = iota
	// DeliverLast means that the target failed: the caller gets the answer if the request can't be sent again.
	DeliverLast
	// Withhold means that the caller must not get the answer, because its status says more than is known. The request may be sent again
	// if it is idempotent.
	Withhold
)

// PromisesNotRun reports whether a status tells a caller that its request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Dispose returns what is done with an answer that does not state that the request has not run. It holds for every kind of request:
// callers send even an idempotent one again sooner after such a promise.
func Dispose(status int) Disposition {
	switch {
	case status < http.StatusOK, PromisesNotRun(status):
		return Withhold
	case status >= http.StatusInternalServerError:
		return DeliverLast
	}
	return Deliver
}
