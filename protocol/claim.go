package protocol

// The net/rpc methods about keys. Sidecars serve MethodRunning, entries the others.
const (
	MethodRunning = PeerService + ".Running"
	MethodClaim   = PeerService + ".Claim"
	MethodUnclaim = PeerService + ".Unclaim"
	MethodJoin    = PeerService + ".Join"
	MethodKnown   = PeerService + ".Known"
)

// RunningArgs asks a sidecar whether an attempt is in progress there.
type RunningArgs struct {
	Attempt string
}

// RunningReply is the answer to RunningArgs.
type RunningReply struct {
	Running bool
}

// ClaimArgs tells the owner of a key which entry runs its request. The claim is a
// hint that avoids duplicate work.
type ClaimArgs struct {
	Key string
	// Peer is the address of the entry that runs the request.
	Peer string
	// Replaces is the address of an earlier claimant that no longer runs it.
	Replaces string
}

// ClaimReply names the entry that holds the key; it is empty if the claim succeeded.
type ClaimReply struct {
	Peer string
}

// UnclaimReply is empty.
type UnclaimReply struct{}

// JoinArgs asks an entry to wait for a request that it runs.
type JoinArgs struct {
	Key         string
	Fingerprint string
}

// JoinReply carries the outcome, or reports that the request still runs. Neither
// is set if the entry does not run the request.
type JoinReply struct {
	Running  bool
	Result   *Result
	Retained bool
	Problem  *Problem
}

// KnownArgs asks an entry for the state of a key.
type KnownArgs struct {
	Key string
}

// KnownReply is the answer to KnownArgs.
type KnownReply struct {
	Started   bool
	Completed bool
}

// Err returns the problem of a reply as an error.
func (r *StartReply) Err() error { return r.Problem.Err() }

// Err returns the problem of a reply as an error.
func (r *AppendReply) Err() error { return r.Problem.Err() }
