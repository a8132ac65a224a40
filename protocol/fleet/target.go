package fleet

// Target is one incarnation of a process that runs requests.
type Target struct {
	// ID identifies the incarnation.
	ID string
	// StartUnixMillis is the time of its start in milliseconds since the epoch, 0 if
	// unknown. A target that restarts under the same ID has a later one.
	StartUnixMillis int64
	Service         string
	Address         string
	DataCentre      string
	Slots           int
	// Draining targets accept no new requests.
	Draining bool
	// Provisional is set for a target that the batcher beside it has announced and that is
	// not registered yet.
	Provisional bool
}

// Load is a target's report of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// SlowdownPercent is the current duration of work relative to the usual one, 100
	// being the usual duration.
	SlowdownPercent int
}

// TargetState is the state that the target on the same instance reports.
type TargetState struct {
	ID string
	// StartUnixMillis is the time of its start in milliseconds since the epoch, 0 if unknown.
	StartUnixMillis int64

	Running  int
	Waiting  int
	Draining bool
}
