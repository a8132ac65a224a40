package protocol

import "fmt"

// Position is the position of a record: the offset of its log entry and its index
// within that entry's batch. Positions of one stream compare with < and ==.
// The zero Position is before every record.
type Position uint64

const indexBits = 12

// MaxEntryBytes is the size limit of one entry of the log in bytes. The log service refuses larger
// ones, each time.
const MaxEntryBytes = 16 << 20

// MaxBatchRecords is the maximum number of records in one log entry.
const MaxBatchRecords = 1 << indexBits

// PositionAt returns the position of the record at index in the entry at offset.
// Offsets start at 1.
func PositionAt(offset uint64, index int) Position {
	return Position(offset<<indexBits | uint64(index))
}

// Offset returns the offset of the log entry that holds the record.
func (p Position) Offset() uint64 { return uint64(p) >> indexBits }

// Index returns the index of the record within its entry.
func (p Position) Index() int { return int(p & (MaxBatchRecords - 1)) }

// String formats p as offset.index.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Offset(), p.Index()) }
