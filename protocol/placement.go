package protocol

// TargetRegistration makes a sidecar process the holder of its target. The last one in
// log order holds it.
type TargetRegistration struct {
	Target string `msgpack:"t"`
	// Holder is unique to the process.
	Holder string `msgpack:"h"`
	// Instance is the name of the process in the instance list.
	Instance string `msgpack:"i"`
	Labels   Labels `msgpack:"l"`
}

// LoadClaim asks for a turn to take the target out of service and load what its
// placement says. It counts only where the sender holds the target and no
// placement of the target then has more targets out than it allows.
type LoadClaim struct {
	Target string `msgpack:"t"`
	Holder string `msgpack:"h"`
	// Fence is the version of the placement to load.
	Fence Position `msgpack:"f"`
}

// LoadRenew extends a turn. Read back, it proves that its sender is current.
type LoadRenew struct {
	Target string `msgpack:"t"`
	Holder string `msgpack:"h"`
}

// LoadEnd gives a turn back.
type LoadEnd struct {
	Target string   `msgpack:"t"`
	Holder string   `msgpack:"h"`
	Fence  Position `msgpack:"f"`
	Loaded bool     `msgpack:"k"`
	// Content and Boot say what is loaded, and in which start of the target.
	Content string `msgpack:"c,omitempty"`
	Boot    string `msgpack:"b,omitempty"`
}

// LoadRevoke ends a turn whose lease has lapsed by the sender's monotonic clock.
// It counts only where the log has nothing of the target after Seen.
type LoadRevoke struct {
	Target string   `msgpack:"t"`
	Seen   Position `msgpack:"s"`
	// Gone is set where the target's instance has left: the target is forgotten.
	Gone bool `msgpack:"g,omitempty"`
}
