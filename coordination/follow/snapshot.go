package follow

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Snapshot encodes the state of every fold at one offset.
func (f *Follower) Snapshot() (*protocol.Snapshot, error) {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	s := &protocol.Snapshot{Next: f.position()}
	for _, fold := range f.folds {
		stateful, ok := fold.(Stateful)
		if !ok {
			continue
		}
		data, err := stateful.Snapshot()
		if err != nil {
			return nil, err
		}
		s.Parts = append(s.Parts, protocol.SnapshotPart{Name: stateful.SnapshotName(), Data: data})
	}
	return s, nil
}

// restore replaces the folds' state by a newer snapshot; an older one has no
// effect, so that no state ever goes back.
func (f *Follower) restore(s *protocol.Snapshot) error {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	if s.Next <= f.position() {
		return nil
	}
	parts := make(map[string][]byte, len(s.Parts))
	for _, p := range s.Parts {
		parts[p.Name] = p.Data
	}
	for _, fold := range f.folds {
		stateful, ok := fold.(Stateful)
		if !ok {
			continue
		}
		data, found := parts[stateful.SnapshotName()]
		if !found {
			return protocol.ErrBadRequest.New("snapshot of %s lacks the part %q", f.params.Stream, stateful.SnapshotName())
		}
		if err := stateful.Restore(data); err != nil {
			return err
		}
	}
	f.mu.Lock()
	f.next = s.Next
	f.recent.clear()
	f.mu.Unlock()
	for _, fold := range f.folds {
		if told, ok := fold.(Restored); ok {
			told.Restored()
		}
	}
	f.notifyWaiters()
	klog.InfoS("snapshot restored", "stream", f.params.Stream, "next", s.Next)
	return nil
}

// bootstrap starts from the newest whole snapshot in the log. Without one it
// starts at the first entry, if that is the first ever appended: a reader never
// goes on with a gap.
func (f *Follower) bootstrap(ctx context.Context) error {
	page, err := f.readOneEntry(ctx, 0)
	if err != nil {
		return err
	}
	snapshot, after, err := f.findSnapshot(ctx, page.First, page.Next)
	if err != nil {
		return err
	}
	if snapshot != nil {
		if err := f.restore(snapshot); err != nil {
			return err
		}
		f.applyEntries(after)
		return nil
	}
	if page.First > 1 {
		return protocol.ErrOffsetExpired.New("stream %s begins at %d and holds no usable snapshot", f.params.Stream, page.First)
	}
	f.mu.Lock()
	f.next = max(f.next, 1)
	f.mu.Unlock()
	return nil
}

func (f *Follower) readOneEntry(ctx context.Context, from uint64) (backend.LogPage, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.params.Source.Read(readCtx, f.params.Stream, from, 1, 0)
}

// findSnapshot reads pages from the end of the stream backwards until it has
// the newest snapshot whose chunks are all retained and after which no entry
// has expired. It returns nil where there is none, and the entries that it read.
func (f *Follower) findSnapshot(ctx context.Context, first, next uint64) (*protocol.Snapshot, []backend.LogEntry, error) {
	collected := chunkCollector{}
	var read pageBuffer
	for end := next; end > first; {
		begin := max(first, end-min(end, backwardPageSize))
		page, err := f.readRange(ctx, begin, end)
		if err != nil {
			return nil, nil, err
		}
		read.add(page)
		for i := len(page) - 1; i >= 0; i-- {
			whole := collected.add(page[i], first)
			if whole == nil {
				continue
			}
			snapshot, err := protocol.DecodeSnapshot(whole.data, whole.sum)
			if err == nil {
				return snapshot, read.entries(), nil
			}
			klog.ErrorS(err, "snapshot skipped", "stream", f.params.Stream)
		}
		end = begin
	}
	return nil, nil, nil
}

// backwardPageSize is the number of entries in one read towards the beginning.
const backwardPageSize = 64

// readRange reads the entries from begin to before end.
func (f *Follower) readRange(ctx context.Context, begin, end uint64) ([]backend.LogEntry, error) {
	var entries []backend.LogEntry
	for begin < end {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := f.params.Source.Read(readCtx, f.params.Stream, begin, int(end-begin), 0)
		cancel()
		if errorx.IsOfType(err, protocol.ErrOffsetExpired) && page.First > begin {
			begin = page.First
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(page.Entries) == 0 {
			break
		}
		entries = append(entries, page.Entries...)
		begin = entries[len(entries)-1].Offset + 1
	}
	f.addBytesRead(entries)
	return entries, nil
}

// pageBufferBytes bounds what a backlog keeps, in bytes.
const pageBufferBytes = 64 << 20

// pageBuffer keeps pages read towards the beginning of a stream, so that they need
// not be read again. Past its bound it keeps nothing.
type pageBuffer struct {
	pages [][]backend.LogEntry
	size  int
}

func (b *pageBuffer) add(page []backend.LogEntry) {
	for _, e := range page {
		b.size += len(e.Data)
	}
	b.pages = append(b.pages, page)
	if b.size > pageBufferBytes {
		b.pages = nil
	}
}

// entries returns what was kept, in order of offsets.
func (b *pageBuffer) entries() []backend.LogEntry {
	if b.size > pageBufferBytes {
		return nil
	}
	slices.Reverse(b.pages)
	return slices.Concat(b.pages...)
}

// chunkCollector gathers the chunks of snapshots.
type chunkCollector map[string]*snapshotChunks

type snapshotChunks struct {
	parts    [][]byte
	received int
	sum      string
	data     []byte
}

// add takes the chunks in an entry and returns the snapshot that they complete.
// A snapshot after which entries have expired is of no use.
func (c chunkCollector) add(e backend.LogEntry, first uint64) *snapshotChunks {
	records, err := protocol.DecodeBatch(e.Data)
	if err != nil {
		return nil
	}
	for i := range records {
		chunk := records[i].Snapshot
		if chunk == nil || chunk.Next < first || chunk.Chunks < 1 || chunk.Index < 0 || chunk.Index >= chunk.Chunks {
			continue
		}
		if whole := c.addChunk(chunk); whole != nil {
			return whole
		}
	}
	return nil
}

func (c chunkCollector) addChunk(chunk *protocol.SnapshotChunk) *snapshotChunks {
	have := c[chunk.Snapshot]
	if have == nil {
		have = &snapshotChunks{parts: make([][]byte, chunk.Chunks), sum: chunk.Sum}
		c[chunk.Snapshot] = have
	}
	if len(have.parts) != chunk.Chunks || have.parts[chunk.Index] != nil {
		return nil
	}
	have.parts[chunk.Index] = chunk.Data
	have.received++
	if have.received < chunk.Chunks {
		return nil
	}
	for _, part := range have.parts {
		have.data = append(have.data, part...)
	}
	delete(c, chunk.Snapshot)
	return have
}

// SnapshotRecords encodes the present state for the log, in chunks of at most
// size bytes.
func (f *Follower) SnapshotRecords(now time.Time, size int) ([]protocol.Record, error) {
	snapshot, err := f.Snapshot()
	if err != nil {
		return nil, err
	}
	data, err := snapshot.Encode()
	if err != nil {
		return nil, err
	}
	id, sum := protocol.NewID(), protocol.Fingerprint(data)
	n := (len(data) + size - 1) / size
	records := make([]protocol.Record, 0, n)
	for i := range n {
		part := data[i*size : min((i+1)*size, len(data))]
		records = append(records, protocol.Record{ID: protocol.NewID(), Snapshot: &protocol.SnapshotChunk{
			Snapshot: id, Next: snapshot.Next, Index: i, Chunks: n, Sum: sum, UnixMillis: now.UnixMilli(), Data: part,
		}})
	}
	return records, nil
}
