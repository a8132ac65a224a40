package protocol

// MethodGather is served by entries.
const MethodGather = PeerService + ".Gather"

// GatherArgs asks an entry to append records together with those of others.
type GatherArgs struct {
	Stream string
	// Data are the records as EncodeBatch encodes them.
	Data []byte
}

// GatherReply carries the position of the last of the records. They stand side
// by side in one entry of the log.
type GatherReply struct {
	Last    Position
	Problem *Problem
}
