package quarantine

import (
	"slices"
	"time"
)

// PartObserver decides when parts of prompts to which crashes point are quarantined. When
// many targets are lost at the same time, crashes also point to popular parts that are
// harmless. Such a part is cleared as soon as a request with it runs to completion, so each
// part is observed first, until other requests have run to completion and none with the
// part has. It is not safe for concurrent use.
type PartObserver struct {
	// Period is how long a part is observed at least, from the first other request on that
	// runs to completion: targets that are all down complete no harmless request either. It
	// must cover a run and the time until all processes know that the part was cleared.
	Period time.Duration
	// Completions is the number of other requests that must have run to completion.
	Completions int

	observed map[string]*observation
}

// observation counts the other requests that ran to completion, since the first of them.
type observation struct {
	since       time.Time
	completions int
}

// Observe sets the parts to which crashes point. A part that was not among them before is
// observed from now on.
func (o *PartObserver) Observe(parts map[string]bool) {
	observed := make(map[string]*observation, len(parts))
	for part := range parts {
		observed[part] = o.observed[part]
		if observed[part] == nil {
			observed[part] = &observation{}
		}
	}
	o.observed = observed
}

// Completed records that a request with the parts has run to completion. The observation
// of these parts begins again.
func (o *PartObserver) Completed(now time.Time, parts []string) {
	for part, state := range o.observed {
		if slices.Contains(parts, part) {
			*state = observation{}
			continue
		}
		if state.completions == 0 {
			state.since = now
		}
		state.completions++
	}
}

// Quarantined returns the parts whose observation is over.
func (o *PartObserver) Quarantined(now time.Time) map[string]bool {
	quarantined := map[string]bool{}
	for part, state := range o.observed {
		if state.completions >= max(1, o.Completions) && now.Sub(state.since) >= o.Period {
			quarantined[part] = true
		}
	}
	return quarantined
}
