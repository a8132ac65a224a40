package demo

import (
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/batcher"
	"github.com/sycamoretally/sycamoretally/gateway"
	"github.com/sycamoretally/sycamoretally/instrument"
	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/platform"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

var update = flag.Bool("update-metrics", false, "write docs/METRICS.md anew")

const metricsPage = "../docs/METRICS.md"

// descriptionPattern reads the text form of a metric's description, which has no other.
var descriptionPattern = regexp.MustCompile(`fqName: "([^"]+)", help: "([^"]*)", (?:unit: "[^"]*", )?constLabels: \{[^}]*\}, variableLabels: \{([^}]*)\}`)

// metricRow is one line of the page.
type metricRow struct{ name, role, labels, query, help string }

func metricRows(t *testing.T, role string, registry *prometheus.Registry) []metricRow {
	const most = 1000
	descs := make(chan *prometheus.Desc, most)
	registry.Describe(descs)
	close(descs)
	var rows []metricRow
	for d := range descs {
		m := descriptionPattern.FindStringSubmatch(d.String())
		assert.Assert(t, m != nil, "%s", d)
		rows = append(rows, metricRow{name: m[1], role: role, labels: m[3], query: queryFor(m[1], m[3]), help: m[2]})
	}
	return rows
}

// queryFor suggests how to draw the metric.
func queryFor(name, labels string) string {
	by := ""
	if labels != "" {
		by = " by (" + strings.ReplaceAll(labels, ",", ", ") + ")"
	}
	switch {
	case strings.HasSuffix(name, "_total"):
		return fmt.Sprintf("sum%s (rate(%s[5m]))", by, name)
	case strings.HasSuffix(name, "request_seconds"):
		return fmt.Sprintf("histogram_quantile(0.95, sum by (le) (rate(%s_bucket[5m])))", name)
	default:
		return fmt.Sprintf("max%s (%s)", by, name)
	}
}

func metricsText(rows []metricRow) string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nMade from the code by `go test ./demo -run MetricsPage -update-metrics`; CI checks it.\n")
	b.WriteString("No label names a caller, a key or a workspace. Each query is ready for a panel.\n\n")
	b.WriteString("| metric | role | labels | query | meaning |\n|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| `%s` | %s | %s | `%s` | %s |\n", r.name, r.role, r.labels, r.query, r.help)
	}
	return b.String()
}

// TestMetricsPage checks that the page names every metric of every role, and that
// no label can name a caller.
func TestMetricsPage(t *testing.T) {
	site, err := Start(Layout{Entries: 1, Engines: 1, Slots: 1})
	t.Cleanup(site.Close)
	assert.NilError(t, err)
	rows := append(metricRows(t, "entry", site.Entries[0].Metrics()), metricRows(t, "sidecar", site.Sidecars[0].Metrics())...)
	rows = append(rows, platformRows(t)...)
	slices.SortFunc(rows, func(a, b metricRow) int { return strings.Compare(a.name+a.role, b.name+b.role) })
	rows = slices.Compact(rows) // a constant label gives a metric several descriptions
	for _, r := range rows {
		for _, label := range strings.Split(r.labels, ",") {
			assert.Assert(t, !slices.Contains([]string{"caller", "key", "workspace", "job"}, label), "%s has the label %s", r.name, label)
		}
	}
	text := metricsText(rows)
	if *update {
		assert.NilError(t, os.WriteFile(metricsPage, []byte(text), 0o600))
	}
	page, err := os.ReadFile(metricsPage)
	assert.NilError(t, err)
	assert.Equal(t, string(page), text)
}

// platformRows returns the metrics of the roles on the users' platform.
func platformRows(t *testing.T) []metricRow {
	node := &fleet.Node{Name: "page"}
	log := logs.NewWriter(io.Discard)
	defer log.Close(time.Second)
	var rows []metricRow
	for _, role := range []string{"gateway", "batcher"} {
		registry := prometheus.NewRegistry()
		store := instrument.NewStore(fleetstore.New(), registry)
		instrument.RegisterLogMetrics(log, registry)
		if role == "gateway" {
			gateway.New(gateway.Params{Node: node, Store: store, Decoder: platform.Decoder{}, Registry: registry})
		} else {
			batcher.New(batcher.Params{Node: node, Store: store, Decoder: platform.Decoder{}, Registry: registry})
		}
		rows = append(rows, metricRows(t, role, registry)...)
	}
	return rows
}
