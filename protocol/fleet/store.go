package fleet

import "context"

// Topic is a compacted log of the platform's store: it keeps the newest record of each key.
type Topic int

// The topics.
const (
	// TopicConfiguration is written by the operator.
	TopicConfiguration Topic = iota
	// TopicTargets is written by the targets.
	TopicTargets
	// TopicWork is the system's own log of batch work.
	TopicWork
	// TopicTexts holds the outputs of items; the log of batch work refers to them.
	TopicTexts
)

// Record is one record of a topic. A record without a value deletes its key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Page is a range of consecutive records.
type Page struct {
	Records []Record
	// Next is the offset after the last record of the page, End the offset after the
	// last record of the topic.
	Next int64
	End  int64
}

// NewestPage is a page of the newest records of a topic's keys.
type NewestPage struct {
	// Records are in the order of their keys.
	Records []Record
	// More reports whether records of later keys follow.
	More bool
	// End is the offset after the last record of the topic when the page was read.
	End int64
}

// MaxKeyBytes is the size limit of a record's key.
const MaxKeyBytes = 255

// KeyBefore returns a key that sorts before the given one, such that few others lie between: a read
// of the newest records after it begins with the given one.
func KeyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(rune(key[last]-1)) + "~"
}

// AnyOffset makes an append unconditional on the end of the topic.
const AnyOffset = -1

// Store is the platform's store.
type Store interface {
	// NewestAfter returns the newest records of the keys after the key, as many as fit in
	// one answer of the store. The pages of a topic are no snapshot of it: records may be
	// appended between two reads.
	NewestAfter(ctx context.Context, topic Topic, key string) (NewestPage, error)
	// Read returns a page of records from the offset on, possibly none. A page has limited
	// size, unless its first record is larger. It fails with ErrRecordsExpired if the
	// records are no longer retained.
	Read(ctx context.Context, topic Topic, from int64) (Page, error)
	// ReadOne returns the record at the offset, which has at most the given number of
	// bytes. It fails with ErrRecordsExpired if the record is no longer retained.
	ReadOne(ctx context.Context, topic Topic, at int64, bytes int) (Record, error)
	// Append appends all records or none and returns the first one's offset. It
	// fails with ErrTopicEndMoved if the topic does not end at the offset at, with
	// ErrStoreUnavailable if nothing was appended, with ErrUnstorable if the store will never
	// take the records, and with ErrStoreOutcomeUnknown if the records may have been appended
	// or may still be.
	Append(ctx context.Context, topic Topic, at int64, records []Record) (int64, error)
}
