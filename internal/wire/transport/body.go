package transport

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// DecodeJSON reads the body of an answer to its end and decodes it. A status other than 200, a body of more than limit bytes, one that was broken off
// and one that is more than one JSON value are errors.
func DecodeJSON(r *http.Response, limit int64, into any) error {
	if r.StatusCode != http.StatusOK {
		return merry.Errorf("unexpected status %d", r.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return err
	case int64(len(data)) > limit:
		return merry.Errorf("response of more than %d bytes", limit)
	}
	return json.Unmarshal(data, into)
}
