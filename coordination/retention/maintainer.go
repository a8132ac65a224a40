package retention

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

// Follower is the part of a stream's follower that a Maintainer uses.
type Follower interface {
	Folded() uint64
	Oldest() uint64
	WaitFor(ctx context.Context, offset uint64) error
	SnapshotRecords(now time.Time, size int) ([]protocol.Record, error)
}

// Writer appends records to the stream.
type Writer interface {
	Append(ctx context.Context, records ...protocol.Record) (protocol.Position, error)
}

// Stream is a stream of the log that a Maintainer preserves.
type Stream struct {
	Name     string
	Follower Follower
	Writer   Writer
	Bodies   *state.Bodies
	// NeededBodies returns the positions of the bodies that callers may still read.
	// It is nil for a stream without bodies.
	NeededBodies func() []protocol.Position
	// ReadRecord reads a record by its original position.
	ReadRecord func(ctx context.Context, original protocol.Position) (*protocol.Record, error)
}

const (
	// maxChunkBytes is the maximum size of a snapshot chunk.
	maxChunkBytes = 1 << 20
	// carryAppendBytes is the size at which an append of carry records is full.
	carryAppendBytes = 1 << 20
)

// maxCarriesPerAppend is the maximum number of carry records in one append.
const maxCarriesPerAppend = 512

// Maintainer appends what a stream needs to outlive the log's retention. Two
// maintainers of one stream are harmless; they only cost additional appends.
type Maintainer struct {
	params Params
	stream Stream
	// afterOwnAppend is the offset after the last record of the maintainer's newest
	// snapshot.
	afterOwnAppend uint64
	snapshots      prometheus.Counter
	carried        prometheus.Counter
	expired        prometheus.Counter
}

// NewMaintainer returns a Maintainer of a stream.
func NewMaintainer(p Params, s Stream) *Maintainer {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamoretally_log_" + name, Help: help, ConstLabels: prometheus.Labels{"stream": s.Name},
		})
	}
	return &Maintainer{
		params:    p,
		stream:    s,
		snapshots: counter("snapshots_total", "Snapshots written."),
		carried:   counter("carried_total", "Bodies carried over."),
		expired:   counter("bodies_expired_total", "Needed bodies that expired before they were carried over."),
	}
}

// Metrics returns the collectors of the maintainer.
func (m *Maintainer) Metrics() []prometheus.Collector {
	return []prometheus.Collector{m.snapshots, m.carried, m.expired}
}

// Step appends what is due at the time now. Bodies go first, since a snapshot holds
// their positions.
func (m *Maintainer) Step(ctx context.Context, now time.Time) error {
	if err := m.carry(ctx, now); err != nil {
		return err
	}
	next := m.stream.Follower.Folded() + 1
	if !m.params.SnapshotDue(now, m.stream.Bodies.Marks(), next, next != m.afterOwnAppend) {
		return nil
	}
	return m.appendSnapshot(ctx, now)
}

func (m *Maintainer) appendSnapshot(ctx context.Context, now time.Time) error {
	if err := m.appendForget(ctx, now); err != nil {
		return err
	}
	records, err := m.stream.Follower.SnapshotRecords(now, maxChunkBytes)
	if err != nil {
		return err
	}
	var last protocol.Position
	for _, rec := range records {
		if last, err = m.stream.Writer.Append(ctx, rec); err != nil {
			return err
		}
	}
	if err := m.stream.Follower.WaitFor(ctx, last.Offset()); err != nil {
		return err
	}
	m.afterOwnAppend = last.Offset() + 1
	m.snapshots.Inc()
	klog.InfoS("snapshot written", "stream", m.stream.Name, "position", last, "chunks", len(records))
	return nil
}

// appendForget appends a record that drops finished work that is kept no longer,
// and state that refers to expired entries.
func (m *Maintainer) appendForget(ctx context.Context, now time.Time) error {
	marks := m.stream.Bodies.Marks()
	if m.stream.NeededBodies == nil || len(marks) == 0 {
		return nil
	}
	rec := protocol.Record{ID: protocol.NewID(), Forget: &protocol.Forget{
		Before:  protocol.PositionAt(m.params.ForgetBefore(now, marks), 0),
		Expired: m.stream.Follower.Oldest(),
	}}
	last, err := m.stream.Writer.Append(ctx, rec)
	if err != nil {
		return err
	}
	return m.stream.Follower.WaitFor(ctx, last.Offset())
}

// carry appends the needed bodies that are due to be carried over.
func (m *Maintainer) carry(ctx context.Context, now time.Time) error {
	if m.stream.NeededBodies == nil {
		return nil
	}
	before := m.params.CarryBefore(now, m.stream.Bodies.Marks())
	if before == 0 {
		return nil
	}
	due := DueCarries(m.stream.NeededBodies(), m.stream.Bodies.Locate, before)
	for len(due) > 0 {
		carries, rest, err := m.readCarries(ctx, due)
		if err != nil {
			return err
		}
		if err := m.appendCarries(ctx, carries); err != nil {
			return err
		}
		due = rest
	}
	return nil
}

// readCarries reads the bodies for one append, and returns their carry records and
// the remaining positions.
func (m *Maintainer) readCarries(ctx context.Context, due []protocol.Position) (carries []protocol.Record, rest []protocol.Position, err error) {
	size := 0
	for i, original := range due {
		if size >= carryAppendBytes || len(carries) == maxCarriesPerAppend {
			return carries, due[i:], nil
		}
		rec, err := m.stream.ReadRecord(ctx, original)
		if errorx.IsOfType(err, protocol.ErrOffsetExpired) {
			m.expired.Inc()
			klog.ErrorS(err, "body expired before it was carried over", "stream", m.stream.Name, "position", original)
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		size += rec.BodySize()
		carries = append(carries, protocol.Record{ID: protocol.NewID(), Carry: &protocol.Carry{Original: original, Record: rec}})
	}
	return carries, nil, nil
}

func (m *Maintainer) appendCarries(ctx context.Context, carries []protocol.Record) error {
	if len(carries) == 0 {
		return nil
	}
	last, err := m.stream.Writer.Append(ctx, carries...)
	if err != nil {
		return err
	}
	m.carried.Add(float64(len(carries)))
	return m.stream.Follower.WaitFor(ctx, last.Offset())
}
