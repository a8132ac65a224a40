// Package spare decides how many batch items run at a target beside its online
// requests.
//
// It answers online traffic that comes in steps of a few seconds, at an engine
// that admits in order of arrival and knows no priorities: items fill every slot
// that online requests leave, but for a reserve that takes the next arrival
// without waiting, and give slots back as soon as the engine is about to queue.
package spare

// Load is a target's state, as it reports itself.
type Load struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Running and Waiting count all requests there, Items those that are batch
	// items of this process.
	Running int
	Waiting int
	Items   int
}

// Params tune the decision.
type Params struct {
	// Reserve is the number of slots that items leave free.
	Reserve int
	// MaxStarts bounds the items started at once, since the report does not show
	// them yet.
	MaxStarts int
}

// Plan is what to do now; at most one member is above zero.
type Plan struct {
	Start int
	Stop  int
}

// Decide returns how many items to start or to stop.
func Decide(p Params, l Load) Plan {
	online := max(0, l.Running+l.Waiting-l.Items)
	want := max(0, l.Slots-p.Reserve-online)
	switch {
	case want < l.Items:
		return Plan{Stop: l.Items - want}
	case want > l.Items:
		return Plan{Start: min(want-l.Items, p.MaxStarts)}
	default:
		return Plan{}
	}
}
