package trace

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Write writes a trace as text for people.
func (t *Trace) Write(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "Request %s\n\n", t.ID)
	for _, c := range t.Causes {
		fmt.Fprintf(b, "- %s\n", c)
	}
	from, _ := t.span()
	writeLines(b, "\nWhat happened to it:\n", t.Lines, from)
	writeLines(b, "\nState of the processes:\n", t.States, from)
	if t.Dropped > 0 {
		fmt.Fprintf(b, "\nThe processes dropped %d lines to bound these logs.\n", t.Dropped)
	}
	if t.Unparsed > 0 {
		fmt.Fprintf(b, "\n%d lines are not in the format of this system's logs.\n", t.Unparsed)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeLines writes lines with their time since from.
func writeLines(b *strings.Builder, title string, lines []Line, from time.Time) {
	if len(lines) == 0 {
		return
	}
	b.WriteString(title)
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		fmt.Fprintf(t, "  %+.3f s\t%s\t%s\t%s\n", l.Time.Sub(from).Seconds(), l.Instance, l.Message, fields(l))
	}
	// A strings.Builder does not fail.
	_ = t.Flush()
}

// fields returns the keys and values of a line except the request ID and empty values.
func fields(l Line) string {
	var parts []string
	for _, f := range l.Fields {
		switch {
		case f.Key == "id" || f.Value == "":
		case strings.ContainsAny(f.Value, " \t"):
			parts = append(parts, fmt.Sprintf("%s=%q", f.Key, f.Value))
		default:
			parts = append(parts, f.Key+"="+f.Value)
		}
	}
	return strings.Join(parts, " ")
}
