package fleet

// PeerMessage is what gateways and batchers say to each other, a datagram each.
type PeerMessage struct {
	// QueryID names a question; its answer has the same.
	QueryID uint64 `msgpack:"n"`
	// Announcement says that a request is about to be sent to the target; there is no answer.
	Announcement bool `msgpack:"c,omitempty"`
	// Load answers a question, nil in others.
	Load *PeerLoad `msgpack:"l,omitempty"`
}

// PeerLoad is what a batcher knows of the target beside it.
type PeerLoad struct {
	// Target names the lifetime.
	Target string `msgpack:"t"`
	// Online counts the requests that run, wait or are about to come there, without
	// the items of the batcher, which give way to them.
	Online int `msgpack:"o"`
}
