package fleet

import "context"

// Topic is a log of the platform's store that keeps the newest record of each key.
type Topic int

// The topics.
const (
	// TopicConfiguration is written by the operator.
	TopicConfiguration Topic = iota
	// TopicTargets is written by the targets.
	TopicTargets
	// TopicWork is the system's own log of batch work.
	TopicWork
)

// Record is one record of a topic. A record without a value deletes its key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Page is a run of consecutive records.
type Page struct {
	Records []Record
	// Next is the offset after the last record, End that after the topic's last.
	Next int64
	End  int64
}

// AnyOffset lets an append succeed wherever the topic ends.
const AnyOffset = -1

// Store is the platform's store.
type Store interface {
	// Newest returns the newest record of each key, in order of their offsets,
	// and the offset to read on from.
	Newest(ctx context.Context, topic Topic) ([]Record, int64, error)
	// Read returns records from the offset on, possibly none. It fails with
	// ErrExpired where they are no longer there.
	Read(ctx context.Context, topic Topic, from int64) (Page, error)
	// Append appends all records or none and returns the first one's offset. It
	// fails with ErrMoved where the topic does not end at the offset at, with
	// ErrUnavailable where nothing was done, and with ErrUnknown where the
	// records may have been or may yet be appended.
	Append(ctx context.Context, topic Topic, at int64, records []Record) (int64, error)
}
