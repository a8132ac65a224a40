package protocol

// MethodGather is the net/rpc method for GatherArgs; entries serve it.
const MethodGather = PeerService + ".Gather"

// GatherArgs asks an entry to append records in one entry of the log together with
// records of other processes.
type GatherArgs struct {
	Stream string
	// Data holds the records as EncodeBatch encodes them.
	Data []byte
}

// GatherReply carries the position of the last of the records. The records are
// consecutive in one entry of the log.
type GatherReply struct {
	Last    Position
	Problem *Problem
}
