package protocol

// TargetCrash lists the calls that were in flight when a target crashed. Each of
// them becomes a suspect.
type TargetCrash struct {
	Target string `msgpack:"t"`
	// Fingerprints holds the distinct fingerprints of the calls in flight.
	Fingerprints []string `msgpack:"f"`
	// Productive holds the fingerprints of the calls that had produced output.
	Productive []string `msgpack:"p,omitempty"`
	// HoldMillis is how long suspicion and quarantine last, in milliseconds.
	HoldMillis int64 `msgpack:"h"`
}

// SuspectTrial claims the only permitted run of a suspect. The first one in log
// order holds it until a crash or a TrialEnd.
type SuspectTrial struct {
	Fingerprint string `msgpack:"f"`
	Attempt     string `msgpack:"a"`
}

// TrialEnd ends the trial of an attempt. A completed run clears the suspect.
type TrialEnd struct {
	Fingerprint string `msgpack:"f"`
	Attempt     string `msgpack:"a"`
	Completed   bool   `msgpack:"c"`
}

// Elapsed states that at least Millis milliseconds have passed, by the sender's
// monotonic clock, since it applied the record at Since. It takes effect only if
// Since is still the last record that took effect, so that no period is counted
// twice.
type Elapsed struct {
	Since  Position `msgpack:"s"`
	Millis int64    `msgpack:"m"`
}

// PermitArgs asks an entry whether a sidecar may run a call now.
type PermitArgs struct {
	Instance string
	Attempt  string
	// Key is the request's key, empty for a batch item. Two attempts of one key may
	// run concurrently, since one may be a hedge.
	Key         string
	Fingerprint string
	// WaitMillis is how long to wait for another run of the call to end, in milliseconds.
	WaitMillis int64
}

// PermitReply reports whether the call may run. ErrQuarantined in Problem is final.
type PermitReply struct {
	Granted bool
	// Alone is set if nothing else may run on the target at the same time.
	Alone   bool
	Problem *Problem
}

// EndPermitArgs releases a permit.
type EndPermitArgs struct {
	Attempt     string
	Fingerprint string
	// Completed is set if the call ran to its end.
	Completed bool
	// Crash is the position of the crash record that ended the run, zero if there is none.
	Crash Position
}

// EndPermitReply is the answer to EndPermitArgs.
type EndPermitReply struct {
	Problem *Problem
}

// HoldsArgs asks a sidecar whether it still holds the permit of an attempt.
type HoldsArgs struct {
	Attempt string
}

// HoldsReply is the answer to HoldsArgs.
type HoldsReply struct {
	Held bool
	// Completed is set if the call ran to its end.
	Completed bool
}
