package fleet

// PeerMessage is a datagram between a gateway and a batcher, or between two gateways. An
// earlier build ignores the fields that it does not know.
type PeerMessage struct {
	// QueryID identifies a query; its answer repeats the ID.
	QueryID uint64 `msgpack:"n"`
	// Announcement is set if a request is about to be sent to the target. It is not answered.
	Announcement bool `msgpack:"c,omitempty"`
	// Load is the answer to a query, nil in other messages.
	Load *PeerLoad `msgpack:"l,omitempty"`
	// RateQuery and RateAnswer are messages about the rates of workspaces.
	RateQuery  *RateQuery  `msgpack:"q,omitempty"`
	RateAnswer *RateAnswer `msgpack:"r,omitempty"`
}

// PeerLoad is the load of a batcher's target.
type PeerLoad struct {
	// Target is the ID of the target's incarnation.
	Target string `msgpack:"t"`
	// Online counts the target's running, waiting and announced requests. It leaves
	// out the batcher's items, because requests preempt them.
	Online int `msgpack:"o"`
}
