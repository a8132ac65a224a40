package protocol

import "time"

// ReadLogArgs asks a process for entries of a stream that it follows.
type ReadLogArgs struct {
	Stream string
	// From is the first offset wanted; zero asks for a snapshot first.
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

// ReadLogReply carries consecutive entries, or a snapshot where the process no
// longer holds the entry asked for.
type ReadLogReply struct {
	Entries []RawEntry
	// Snapshot is the encoding of a Snapshot; empty where entries follow on.
	Snapshot []byte
	// Sum is the content hash of Snapshot.
	Sum string
	// Next is the first offset that the process has not folded.
	Next uint64
	// AgeMillis is how long ago the process last knew that it was current, in
	// milliseconds; negative where it never was.
	AgeMillis int64
	// ProvenMillis is how long ago the log itself proved the process current, in
	// milliseconds rounded up, over all processes between; zero where it never did.
	ProvenMillis int64
	// HeldMillis is how long the process held the question before it counted the
	// ages, in milliseconds rounded down.
	HeldMillis int64
	Problem    *Problem
}

// Age gives how long ago the peer was current, and whether it ever was.
func (r *ReadLogReply) Age() (time.Duration, bool) {
	return time.Duration(r.AgeMillis) * time.Millisecond, r.AgeMillis >= 0
}

// Proven gives how long before the question was sent the log proved the peer
// current, and whether it ever did. It is negative where that was later.
func (r *ReadLogReply) Proven() (time.Duration, bool) {
	return time.Duration(r.ProvenMillis-r.HeldMillis) * time.Millisecond, r.ProvenMillis > 0
}
