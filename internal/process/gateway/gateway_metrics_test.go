package gateway

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
)

// TestMetricsAreDocumented checks that the page for operators lists exactly the metrics of an entry.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	is.NoErr(err)
	var documented []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| (entry|both) \\| (count|s) \\|").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, row[1])
	}
	slices.Sort(documented)
	set := metrics.NewSet()
	newProcessMetrics(set)
	is.Equal(documented, set.Names())
}
