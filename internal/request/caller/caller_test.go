package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBodyDeadline(t *testing.T) {
	is := is.New(t)
	deadline := make(chan time.Time, 2)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder(), deadlines: deadline}
	request := httptest.NewRequest(http.MethodPost, "/v1/holds", strings.NewReader("room"))
	LimitBody(w, request, 10, now)
	is.Equal(<-deadline, now.Add(BodyTimeout))
	_, err := io.ReadAll(request.Body)
	is.NoErr(err)
	is.True((<-deadline).IsZero()) // the deadline does not truncate a long answer
}

// deadlineWriter records the read deadlines that are set on its connection.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadlines chan time.Time
}

// SetReadDeadline is called by http.ResponseController.
func (w *deadlineWriter) SetReadDeadline(deadline time.Time) error {
	w.deadlines <- deadline
	return nil
}
