package site

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a trial.
type Report struct {
	// Seed is the seed of the run.
	Seed uint64 `json:"seed"`
	// Took is the duration of the run.
	Took string `json:"took"`
	// Invariants are the results of the checked invariants.
	Invariants []Invariant `json:"promises"`
	// Measures are the figures of the run.
	Measures []Measure `json:"measures"`
	// Details are the first violations in words.
	Details []string `json:"details,omitempty"`
}

// Invariant is the result of checking one invariant.
type Invariant struct {
	// Name states the invariant.
	Name string `json:"name"`
	// Checked is the number of cases that were checked; without any the invariant counts as violated.
	Checked int `json:"checked"`
	// Violations is the number of cases in which the invariant did not hold.
	Violations int `json:"broken"`
}

// Held reports whether at least one case was checked and none violated the invariant.
func (v *Invariant) Held() bool {
	return v.Checked > 0 && v.Violations == 0
}

// Measure is one figure.
type Measure struct {
	// Name is the name of the measured quantity.
	Name string `json:"name"`
	// Value is the measured value in Unit.
	Value float64 `json:"value"`
	// Unit is the unit of Value.
	Unit string `json:"unit"`
}

// Held reports whether every invariant held.
func (r *Report) Held() bool {
	for i := range r.Invariants {
		if !r.Invariants[i].Held() {
			return false
		}
	}
	return true
}

// Write prints the report as tables.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nINVARIANT\tRESULT\tCHECKED\tBROKEN")
	for i := range r.Invariants {
		v := &r.Invariants[i]
		result := "held"
		if !v.Held() {
			result = "BROKEN"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", v.Name, result, v.Checked, v.Violations)
	}
	fmt.Fprintln(w, "\nMEASURE\tVALUE\tUNIT\t")
	for _, m := range r.Measures {
		fmt.Fprintf(w, "%s\t%.6g\t%s\t\n", m.Name, m.Value, m.Unit)
	}
	for _, d := range r.Details {
		fmt.Fprintf(w, "detail: %s\n", d)
	}
	return w.Flush()
}

// quantiles returns the median and the 95th percentile of a histogram of microseconds.
func quantiles(name string, h *hdrhistogram.Histogram) []Measure {
	milliseconds := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return []Measure{
		{Name: name + ", p50", Value: milliseconds(50), Unit: "ms"},
		{Name: name + ", p95", Value: milliseconds(95), Unit: "ms"},
	}
}
