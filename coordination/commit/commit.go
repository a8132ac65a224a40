// Package commit appends records to one stream of the log in groups: records
// that arrive while an append is on its way share the next one.
package commit

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Appender is the part of the log that a writer needs.
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
	// Attempts is how often an append whose answer was lost is sent again.
	Attempts int
	// Forward gives records to another process that appends them; nil stands for
	// none. It fails with ErrNotSent where no other process will append them, and
	// with ErrAnswerLost where that is not known.
	Forward func(ctx context.Context, records []protocol.Record) (protocol.Position, error)
	// Observe is told of every append that took effect; it may be nil.
	Observe func(records, bytes int)
}

// The defaults of Params.
const (
	DefaultLinger        = 2 * time.Millisecond
	DefaultAppendTimeout = 2 * time.Second
	DefaultAttempts      = 3
)

// MaxGroupBytes bounds the bodies gathered into one append, in bytes.
const MaxGroupBytes = 4 << 20

// queueLength bounds the records that wait for an append.
const queueLength = 1024

// Writer appends records in groups. Its methods may be called at the same time.
type Writer struct {
	params Params
	queue  chan *pending
}

type pending struct {
	records []protocol.Record
	done    chan result
	// local is set where the records must not be handed on.
	local bool
}

type result struct {
	last protocol.Position
	err  error
}

// New returns a writer. Run starts it.
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

// Append adds records in one entry of the log and returns the position of the
// last one. It fails with ErrLogUnavailable where none was or will be added,
// and with ErrAnswerLost where that is not known.
func (w *Writer) Append(ctx context.Context, records ...protocol.Record) (protocol.Position, error) {
	return w.enqueue(ctx, &pending{records: records, done: make(chan result, 1)})
}

// AppendLocal is Append for records that another process has handed over: this
// one appends them itself, so that none are handed round.
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
		return 0, protocol.ErrAnswerLost.New("append has not answered in time")
	}
}

// Run appends until ctx ends. Records still queued then fail with ErrLogUnavailable.
func (w *Writer) Run(ctx context.Context) error {
	var carried *pending
	for {
		group, next := w.gather(ctx, carried)
		if group == nil {
			w.refuseQueued()
			return nil
		}
		carried = next
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

// gather collects a group. It returns the first append that no longer fits, to
// open the next group, and a nil group once ctx has ended.
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

func (w *Writer) commit(group []*pending) {
	var all []protocol.Record
	here := w.params.Forward == nil
	for _, p := range group {
		all = append(all, p.records...)
		here = here || p.local
	}
	last, err := w.store(all, here)
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

// store hands records to another process, or appends them where none takes them.
// Where it is not known whether another did, they are appended again.
func (w *Writer) store(records []protocol.Record, here bool) (protocol.Position, error) {
	var handErr error
	if !here {
		ctx, cancel := context.WithTimeout(context.Background(), w.params.AppendTimeout)
		defer cancel()
		var last protocol.Position
		if last, handErr = w.params.Forward(ctx, records); handErr == nil {
			return last, nil
		}
	}
	offset, err := w.append(records)
	if err == nil {
		return protocol.PositionAt(offset, len(records)-1), nil
	}
	if errorx.IsOfType(handErr, protocol.ErrAnswerLost) {
		return 0, handErr
	}
	return 0, err
}

// append sends one entry, again where its answer was lost: a fold counts a
// record that stands in the log twice once.
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

// sizeOf estimates the encoded size of records by their bodies.
func sizeOf(records []protocol.Record) int {
	const overhead = 128
	size := 0
	for i := range records {
		size += overhead + records[i].BodySize()
	}
	return size
}
