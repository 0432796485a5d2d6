package metrics

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

func TestSetsDoNotClash(t *testing.T) {
	is := is.New(t)
	for _, count := range []float64{1, 2} {
		s := NewSet()
		requests := s.Counter("requests")
		requests.With("outcome", "complete").Add(count)
		requests.Add(count)
		latency := s.Histogram("first")
		for i := range 100 {
			latency.Observe(float64(i+1) / 100)
		}
		latency.Observe(1e9)
		latency.Observe(-1)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
		var v struct {
			Memstats map[string]any     `json:"memstats"`
			Requests map[string]float64 `json:"requests"`
			First    quantiles          `json:"first"`
		}
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &v))
		is.True(len(v.Memstats) > 0)
		is.Equal(v.Requests, map[string]float64{"outcome=complete": count, "all": count})
		is.Equal(v.First.Count, int64(102))
		is.True(v.First.P50 > 0.45 && v.First.P50 < 0.55)
		is.True(v.First.Max > 590)
	}
}
