package metrics

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// docs/METRICS.md lists each exported metric and no others.
func TestMetricsPageListsEachMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]bool)
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `"+namespace) {
			column, _, _ := strings.Cut(strings.TrimPrefix(line, "|"), "|")
			for _, name := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(column, -1) {
				listed[name[1]] = true
			}
		}
	}
	e := New()
	described := make(chan *prometheus.Desc, 100)
	e.requests.Describe(described)
	e.latency.Describe(described)
	(&statusCollector{}).Describe(described)
	close(described)
	for d := range described {
		name := regexp.MustCompile(`fqName: "([^"]+)"`).FindStringSubmatch(d.String())[1]
		if !listed[name] {
			t.Errorf("docs/METRICS.md does not list %s", name)
		}
		delete(listed, name)
	}
	for name := range listed {
		t.Errorf("docs/METRICS.md lists %s, which is not served", name)
	}
}
