package protocol

// TargetRegistration makes a sidecar process the holder of its target. The last
// registration in log order takes effect.
type TargetRegistration struct {
	Target string `msgpack:"t"`
	// Holder is the holder ID, unique to the process.
	Holder string `msgpack:"h"`
	// Instance is the name of the process in the instance list.
	Instance string `msgpack:"i"`
	Labels   Labels `msgpack:"l"`
}

// LoadClaim requests a turn: the permission to take the target out of service and
// load the model that its placement specifies. It takes effect only if the sender
// holds the target and no placement of the target would then have more unavailable
// targets than it allows.
type LoadClaim struct {
	Target string `msgpack:"t"`
	Holder string `msgpack:"h"`
	// Fence is the version of the placement to load.
	Fence Position `msgpack:"f"`
}

// LoadRenew extends a turn. A sender that reads it back from the log knows that its
// view of the log is current.
type LoadRenew struct {
	Target string `msgpack:"t"`
	Holder string `msgpack:"h"`
}

// LoadEnd ends a turn.
type LoadEnd struct {
	Target string   `msgpack:"t"`
	Holder string   `msgpack:"h"`
	Fence  Position `msgpack:"f"`
	Loaded bool     `msgpack:"k"`
	// Content is the loaded content, Boot the start of the target that it was loaded in.
	Content string `msgpack:"c,omitempty"`
	Boot    string `msgpack:"b,omitempty"`
}

// LoadRevoke ends a turn whose lease has expired by the sender's monotonic clock.
// It takes effect only if the log has no record of the target after Seen.
type LoadRevoke struct {
	Target string   `msgpack:"t"`
	Seen   Position `msgpack:"s"`
	// Gone is set if the target's instance has left: the target is then removed.
	Gone bool `msgpack:"g,omitempty"`
}
