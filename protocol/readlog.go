package protocol

import "time"

// ReadLogArgs asks a process for entries of a stream that it follows.
type ReadLogArgs struct {
	Stream string
	// From is the first requested offset; zero requests a snapshot first.
	From  uint64
	Limit int
	// WaitMillis is how long to wait for the first entry, in milliseconds.
	WaitMillis int64
}

// RawEntry is one encoded entry of the log.
type RawEntry struct {
	Offset uint64
	Data   []byte
}

// ReadLogReply carries consecutive entries, or a snapshot if the process no longer
// holds the requested entry.
type ReadLogReply struct {
	Entries []RawEntry
	// Snapshot is an encoded Snapshot; empty if the requested entry was available.
	Snapshot []byte
	// Sum is the content hash of Snapshot.
	Sum string
	// Next is the first offset that the process has not applied.
	Next uint64
	// AgeMillis is how long ago the process was last known to be current, in
	// milliseconds; negative if it never was.
	AgeMillis int64
	// ProvenMillis is how long ago the log itself last proved the process current, in
	// milliseconds rounded up, including the time in all processes in between; zero if
	// it never did.
	ProvenMillis int64
	// HeldMillis is how long the process held the request before it computed the
	// ages, in milliseconds rounded down.
	HeldMillis int64
	Problem    *Problem
}

// Age returns how long ago the peer was current, and whether it ever was.
func (r *ReadLogReply) Age() (time.Duration, bool) {
	return time.Duration(r.AgeMillis) * time.Millisecond, r.AgeMillis >= 0
}

// Proven returns how long before the request was sent the log last proved the peer
// current, and whether it ever did. The duration is negative if that was after the
// request was sent.
func (r *ReadLogReply) Proven() (time.Duration, bool) {
	return time.Duration(r.ProvenMillis-r.HeldMillis) * time.Millisecond, r.ProvenMillis > 0
}
