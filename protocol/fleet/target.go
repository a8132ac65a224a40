package fleet

// Target is a lifetime of a process that runs requests.
type Target struct {
	// ID names this lifetime.
	ID string
	// StartUnixMillis is the Unix millisecond of its start, 0 if not known. A target that
	// starts again under its ID has a later one.
	StartUnixMillis int64
	Service         string
	Address         string
	DataCentre      string
	Slots           int
	// Draining targets take no new requests.
	Draining bool
}

// Load is a target's own report of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// SlowdownPercent is how long work takes there now, 100 as usual.
	SlowdownPercent int
}

// TargetState is the state that a target on the same instance reports of itself.
type TargetState struct {
	ID       string
	Running  int
	Waiting  int
	Draining bool
}
