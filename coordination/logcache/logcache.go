// Package logcache reads single records back from the log by position, through
// a cache of decoded entries of bounded size.
package logcache

import (
	"container/list"
	"context"
	"sync"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// DefaultBytes is the size of the cache, in bytes of encoded entries.
const DefaultBytes = 8 << 20

// Cache reads records of one stream. Its methods may be called at the same time.
type Cache struct {
	log    backend.Log
	stream string
	limit  int
	locate func(protocol.Position) protocol.Position

	mu      sync.Mutex
	size    int
	recency *list.List
	entries map[uint64]*list.Element
}

type cachedEntry struct {
	offset  uint64
	size    int
	records []protocol.Record
}

// New returns an empty cache of limit bytes over a stream. locate gives the
// position at which the body of a record can be read.
func New(log backend.Log, stream string, limit int, locate func(protocol.Position) protocol.Position) *Cache {
	return &Cache{log: log, stream: stream, limit: limit, locate: locate, recency: list.New(), entries: map[uint64]*list.Element{}}
}

// Record reads the record at its original position, wherever it was carried. It
// fails with ErrLogUnavailable or ErrOffsetExpired.
func (c *Cache) Record(ctx context.Context, original protocol.Position) (*protocol.Record, error) {
	pos := c.locate(original)
	records, err := c.entry(ctx, pos.Offset())
	if err != nil {
		return nil, err
	}
	if pos.Index() >= len(records) {
		return nil, protocol.ErrInternal.New("entry %d has no record %d", pos.Offset(), pos.Index())
	}
	rec := &records[pos.Index()]
	if pos == original {
		return rec, nil
	}
	if rec.Carry == nil || rec.Carry.Original != original || rec.Carry.Record == nil {
		return nil, protocol.ErrInternal.New("record %s does not carry %s", pos, original)
	}
	return rec.Carry.Record, nil
}

func (c *Cache) entry(ctx context.Context, offset uint64) ([]protocol.Record, error) {
	if records := c.lookup(offset); records != nil {
		return records, nil
	}
	page, err := c.log.Read(ctx, c.stream, offset, 1, 0)
	if err != nil {
		return nil, err
	}
	if len(page.Entries) == 0 {
		return nil, protocol.ErrOffsetExpired.New("no entry at offset %d", offset)
	}
	records, err := protocol.DecodeBatch(page.Entries[0].Data)
	if err != nil {
		return nil, err
	}
	c.store(cachedEntry{offset: offset, size: len(page.Entries[0].Data), records: records})
	return records, nil
}

func (c *Cache) lookup(offset uint64) []protocol.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[offset]
	if e == nil {
		return nil
	}
	c.recency.MoveToFront(e)
	return e.Value.(*cachedEntry).records
}

func (c *Cache) store(entry cachedEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[entry.offset] != nil || entry.size > c.limit {
		return
	}
	c.entries[entry.offset] = c.recency.PushFront(&entry)
	c.size += entry.size
	for c.size > c.limit {
		oldest := c.recency.Remove(c.recency.Back()).(*cachedEntry)
		delete(c.entries, oldest.offset)
		c.size -= oldest.size
	}
}
