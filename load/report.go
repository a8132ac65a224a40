package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Result is the outcome of a scenario.
type Result struct {
	Scenario string         `json:"scenario"`
	Seed     uint64         `json:"seed"`
	Policies []PolicyResult `json:"policies"`
}

// PolicyResult is what one policy achieved.
type PolicyResult struct {
	Policy  string         `json:"policy"`
	Streams []StreamResult `json:"streams"`
	// Items is the number of batch items done while requests arrived.
	Items         int     `json:"items"`
	ItemsASecond  float64 `json:"items_a_second"`
	CacheHitShare float64 `json:"prefix_cache_hit_share"`
	// Runs counts the requests that all engines executed.
	Runs int `json:"engine_runs"`
	// Retries and Hedges count the entries' extra attempts.
	Retries int `json:"retries"`
	Hedges  int `json:"hedges"`
	// Appends and AppendBytes count what the site wrote to the log.
	Appends     uint64 `json:"log_appends"`
	AppendBytes uint64 `json:"log_bytes"`
}

func (r *policyRun) result() PolicyResult {
	res := PolicyResult{Policy: r.policy.Name, Items: r.items}
	res.ItemsASecond = float64(r.items) / duration(r.scenario.Duration).Seconds()
	for _, q := range r.scenario.Requests {
		res.Streams = append(res.Streams, r.recorder.Result(q.Name))
	}
	var hits, misses uint64
	for _, e := range r.site.Engines {
		hit, miss := e.CacheTokens()
		hits, misses = hits+hit, misses+miss
		res.Runs += len(e.Runs())
	}
	if hits+misses > 0 {
		res.CacheHitShare = float64(hits) / float64(hits+misses)
	}
	for _, e := range r.site.Entries {
		res.Retries += int(counterValue(e.Metrics(), "sycamoretally_entry_retries_total"))
		res.Hedges += int(counterValue(e.Metrics(), "sycamoretally_entry_hedges_total"))
	}
	res.Appends, res.AppendBytes = r.site.Log.Appends()
	return res
}

// counterValue reads a counter without labels from a registry.
func counterValue(registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	if err != nil {
		return 0
	}
	for _, f := range families {
		if f.GetName() == name && len(f.GetMetric()) == 1 {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// WriteTable writes the results for people.
func (r *Result) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "scenario %s, seed %d\n", r.Scenario, r.Seed)
	_, _ = fmt.Fprintln(w, "POLICY\tSTREAM\tFIRST p50\tp95\tp99\tGAP p95\tWHOLE p99\tCOMPLETED\tNOT RUN\tOTHER\tWRONG\tITEMS/s\tCACHE\tRETRIES\tHEDGES")
	for _, p := range r.Policies {
		for _, s := range p.Streams {
			other := s.Outcomes[protocol.OutcomeUnknown] + s.Outcomes[protocol.OutcomeFailed]
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%.1f\t%.2f\t%d\t%d\n",
				p.Policy, s.Stream, s.First.P50, s.First.P95, s.First.P99, s.Gap.P95, s.Whole.P99,
				s.Outcomes[protocol.OutcomeCompleted], s.Outcomes[protocol.OutcomeNotRun], other, s.Wrong, p.ItemsASecond, p.CacheHitShare, p.Retries, p.Hedges)
		}
	}
	if err := w.Flush(); err != nil {
		return ErrScenario.Wrap(err, "write table")
	}
	return nil
}

// WriteFiles writes table, JSON and plots into a directory.
func (r *Result) WriteFiles(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return ErrScenario.Wrap(err, "make %s", dir)
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return ErrScenario.Wrap(err, "encode result")
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), data, 0o600); err != nil {
		return ErrScenario.Wrap(err, "write result")
	}
	table, err := os.Create(filepath.Join(dir, "result.txt"))
	if err != nil {
		return ErrScenario.Wrap(err, "write table")
	}
	defer func() { _ = table.Close() }()
	if err := r.WriteTable(table); err != nil {
		return err
	}
	return r.plot(dir)
}

// runTimeout bounds a run beyond the scenario's duration.
const runTimeout = 5 * time.Minute

// Timeout returns the longest time that a run of the scenario may take.
func (s *Scenario) Timeout() time.Duration { return duration(s.Duration) + runTimeout }
