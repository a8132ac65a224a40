package fleet

// PeerMessage is a datagram between a gateway and a batcher.
type PeerMessage struct {
	// QueryID identifies a query; its answer repeats the ID.
	QueryID uint64 `msgpack:"n"`
	// Announcement is set if a request is about to be sent to the target. It is not answered.
	Announcement bool `msgpack:"c,omitempty"`
	// Load is the answer to a query, nil in other messages.
	Load *PeerLoad `msgpack:"l,omitempty"`
}

// PeerLoad is the load of a batcher's target.
type PeerLoad struct {
	// Target is the ID of the target's incarnation.
	Target string `msgpack:"t"`
	// Online counts the target's running, waiting and announced requests. It leaves
	// out the batcher's items, because requests preempt them.
	Online int `msgpack:"o"`
	// Service is the target's service, and StartUnixMillis the time of the incarnation's start
	// in milliseconds since the epoch, 0 if unknown.
	Service         string `msgpack:"sv,omitempty"`
	StartUnixMillis int64  `msgpack:"bn,omitempty"`
	// Address is the address that was asked. It is empty in the message itself.
	Address string `msgpack:"-"`
}
