// Package commit appends records to one stream of the log with group commit:
// records that arrive while an append is in flight share the next one.
package commit

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Appender is the part of the log API that a Writer uses.
type Appender interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// Params configure a writer.
type Params struct {
	Stream string
	Log    Appender
	// Linger is how long an append waits for more records to join it.
	Linger time.Duration
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
	// Attempts is how often an append is sent while its answers are lost, the first
	// time included.
	Attempts int
	// Forward hands records to another process, which appends them. It fails with
	// ErrNotSent if no other process will append them, and with ErrAnswerLost if
	// that is unknown. If it is nil, the writer appends all records itself.
	Forward func(ctx context.Context, records []protocol.Record) (protocol.Position, error)
	// Observe is called after every successful append; it may be nil.
	Observe func(records, bytes int)
}

// The defaults of Params.
const (
	DefaultLinger        = 2 * time.Millisecond
	DefaultAppendTimeout = 2 * time.Second
	DefaultAttempts      = 3
)

// MaxGroupBytes bounds the estimated size of the records in one append, in bytes.
const MaxGroupBytes = 4 << 20

// queueLength bounds the calls of Append that wait for the next append.
const queueLength = 1024

// Writer appends records in groups. It is safe for concurrent use.
type Writer struct {
	params Params
	queue  chan *pending
}

type pending struct {
	records []protocol.Record
	done    chan result
	// local is set if the records must not be forwarded.
	local bool
}

type result struct {
	last protocol.Position
	err  error
}

// New returns a writer; Run starts it.
func New(p Params) *Writer {
	if p.Linger <= 0 {
		p.Linger = DefaultLinger
	}
	if p.AppendTimeout <= 0 {
		p.AppendTimeout = DefaultAppendTimeout
	}
	if p.Attempts <= 0 {
		p.Attempts = DefaultAttempts
	}
	return &Writer{params: p, queue: make(chan *pending, queueLength)}
}

// Append appends records in one entry of the log and returns the position of the
// last one. It fails with ErrLogUnavailable if none was or will be appended, with
// ErrTooLarge if they never can be in one entry, and with ErrAnswerLost if that is unknown.
func (w *Writer) Append(ctx context.Context, records ...protocol.Record) (protocol.Position, error) {
	return w.enqueue(ctx, &pending{records: records, done: make(chan result, 1)})
}

// AppendLocal is like Append for records that another process has forwarded. It
// never forwards them again, so that records cannot circulate among processes.
func (w *Writer) AppendLocal(ctx context.Context, records ...protocol.Record) (protocol.Position, error) {
	return w.enqueue(ctx, &pending{records: records, done: make(chan result, 1), local: true})
}

func (w *Writer) enqueue(ctx context.Context, p *pending) (protocol.Position, error) {
	select {
	case w.queue <- p:
	case <-ctx.Done():
		return 0, protocol.ErrLogUnavailable.New("append queue is full")
	}
	select {
	case r := <-p.done:
		return r.last, r.err
	case <-ctx.Done():
		return 0, protocol.ErrAnswerLost.New("append not answered in time")
	}
}

// Run appends until ctx ends. Records that are still queued then fail with
// ErrLogUnavailable.
func (w *Writer) Run(ctx context.Context) error {
	var heldOver *pending
	for {
		group, next := w.gather(ctx, heldOver)
		if group == nil {
			w.refuseQueued()
			return nil
		}
		heldOver = next
		w.commit(group)
	}
}

func (w *Writer) refuseQueued() {
	for {
		select {
		case p := <-w.queue:
			p.done <- result{err: protocol.ErrLogUnavailable.New("process is stopping")}
		default:
			return
		}
	}
}

// gather collects a group that begins with first, or with the next call queued if
// first is nil. A call that no longer fits is returned as the first of the next
// group. The group is nil once ctx has ended.
func (w *Writer) gather(ctx context.Context, first *pending) (group []*pending, next *pending) {
	if first == nil {
		select {
		case first = <-w.queue:
		case <-ctx.Done():
			return nil, nil
		}
	}
	group = []*pending{first}
	count, size := len(first.records), sizeOf(first.records)
	timer := time.NewTimer(w.params.Linger)
	defer timer.Stop()
	for {
		select {
		case p := <-w.queue:
			count += len(p.records)
			size += sizeOf(p.records)
			if count > protocol.MaxBatchRecords || size > MaxGroupBytes {
				return group, p
			}
			group = append(group, p)
		case <-timer.C:
			return group, nil
		}
	}
}

// commit appends the records of a group of calls in one entry. If that is too large for the log,
// those of each call get an entry of their own, so that a call fails only for its own records.
func (w *Writer) commit(group []*pending) {
	var all []protocol.Record
	local := w.params.Forward == nil
	for _, p := range group {
		all = append(all, p.records...)
		local = local || p.local
	}
	last, err := w.store(all, local)
	if errorx.IsOfType(err, protocol.ErrTooLarge) && len(group) > 1 {
		for i := range group {
			w.commit(group[i : i+1])
		}
		return
	}
	index := last.Index() - len(all)
	for _, p := range group {
		index += len(p.records)
		r := result{err: err}
		if err == nil {
			r.last = protocol.PositionAt(last.Offset(), index)
		}
		p.done <- r
	}
}

// store forwards records to another process, or appends them if no process accepts
// them. If it is unknown whether another process has appended them, this one
// appends them again.
func (w *Writer) store(records []protocol.Record, local bool) (protocol.Position, error) {
	var forwardErr error
	if !local {
		ctx, cancel := context.WithTimeout(context.Background(), w.params.AppendTimeout)
		defer cancel()
		var last protocol.Position
		if last, forwardErr = w.params.Forward(ctx, records); forwardErr == nil {
			return last, nil
		}
	}
	offset, err := w.append(records)
	if err == nil {
		return protocol.PositionAt(offset, len(records)-1), nil
	}
	if errorx.IsOfType(forwardErr, protocol.ErrAnswerLost) {
		return 0, forwardErr
	}
	return 0, err
}

// append appends records in one entry. It sends the entry again if the answer was
// lost, since folds ignore a second copy of a record.
func (w *Writer) append(records []protocol.Record) (uint64, error) {
	data, err := protocol.EncodeBatch(records)
	if err != nil {
		return 0, err
	}
	var lost error
	for range w.params.Attempts {
		offset, err := w.appendOnce(data)
		if err == nil {
			if w.params.Observe != nil {
				w.params.Observe(len(records), len(data))
			}
			return offset, nil
		}
		if !errorx.IsOfType(err, protocol.ErrAnswerLost) {
			if lost != nil {
				return 0, lost
			}
			return 0, err
		}
		lost = err
	}
	return 0, lost
}

func (w *Writer) appendOnce(data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), w.params.AppendTimeout)
	defer cancel()
	return w.params.Log.Append(ctx, w.params.Stream, data)
}

// sizeOf estimates the encoded size of records from their bodies.
func sizeOf(records []protocol.Record) int {
	const overhead = 128
	size := 0
	for i := range records {
		size += overhead + records[i].BodySize()
	}
	return size
}
