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
	// TopicTexts holds the outputs of items, which the log of batch work names.
	TopicTexts
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
	// ReadOne returns the record at the offset, which has at most so many bytes.
	// It fails with ErrExpired where it is no longer there.
	ReadOne(ctx context.Context, topic Topic, at int64, bytes int) (Record, error)
	// NewestAfter returns newest records whose keys follow the key, in order of
	// keys: as many as one answer of the store holds, none where there are none.
	NewestAfter(ctx context.Context, topic Topic, key string) ([]Record, error)
	// Append appends all records or none and returns the first one's offset. It
	// fails with ErrMoved where the topic does not end at the offset at, with
	// ErrUnavailable where nothing was done, and with ErrUnknown where the
	// records may have been or may yet be appended.
	Append(ctx context.Context, topic Topic, at int64, records []Record) (int64, error)
}
