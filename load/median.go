package load

import (
	"cmp"
	"slices"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Median merges the results of one scenario run with several seeds. Times, rates and
// items become the median over the seeds; outcomes and wrong answers are summed. Other
// figures are those of the first seed.
func Median(results []*Result) *Result {
	merged := &Result{Scenario: results[0].Scenario, Seed: results[0].Seed}
	for p := range results[0].Policies {
		all := make([]PolicyResult, 0, len(results))
		for _, r := range results {
			all = append(all, r.Policies[p])
		}
		merged.Policies = append(merged.Policies, medianPolicy(all))
	}
	return merged
}

func medianPolicy(all []PolicyResult) PolicyResult {
	m := all[0]
	m.ItemsASecond = medianOf(all, func(p PolicyResult) float64 { return p.ItemsASecond })
	m.CacheHitShare = medianOf(all, func(p PolicyResult) float64 { return p.CacheHitShare })
	m.Items = int(medianOf(all, func(p PolicyResult) float64 { return float64(p.Items) }))
	m.Streams = nil
	for i := range all[0].Streams {
		streams := make([]StreamResult, 0, len(all))
		for _, p := range all {
			streams = append(streams, p.Streams[i])
		}
		m.Streams = append(m.Streams, medianStream(streams))
	}
	return m
}

func medianStream(all []StreamResult) StreamResult {
	m := all[0]
	m.First = medianPercentiles(all, func(s StreamResult) Percentiles { return s.First })
	m.Gap = medianPercentiles(all, func(s StreamResult) Percentiles { return s.Gap })
	m.Whole = medianPercentiles(all, func(s StreamResult) Percentiles { return s.Whole })
	m.Outcomes = map[protocol.Outcome]int{}
	m.Wrong = 0
	for _, s := range all {
		m.Wrong += s.Wrong
		for outcome, n := range s.Outcomes {
			m.Outcomes[outcome] += n
		}
	}
	return m
}

func medianPercentiles(all []StreamResult, of func(StreamResult) Percentiles) Percentiles {
	return Percentiles{
		P50: medianOf(all, func(s StreamResult) float64 { return of(s).P50 }),
		P95: medianOf(all, func(s StreamResult) float64 { return of(s).P95 }),
		P99: medianOf(all, func(s StreamResult) float64 { return of(s).P99 }),
		Max: medianOf(all, func(s StreamResult) float64 { return of(s).Max }),
	}
}

func medianOf[T any, V cmp.Ordered](all []T, of func(T) V) V {
	values := make([]V, 0, len(all))
	for _, a := range all {
		values = append(values, of(a))
	}
	slices.Sort(values)
	return values[len(values)/2]
}
