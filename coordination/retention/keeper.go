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

// Follower is what the keeper needs of a stream's follower.
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

// Stream is one stream of the log to keep.
type Stream struct {
	Name     string
	Follower Follower
	Writer   Writer
	Bodies   *state.Bodies
	// NeededBodies returns the positions of the bodies to carry over; nil where the
	// stream has none.
	NeededBodies func() []protocol.Position
	// ReadRecord reads a record by its original position.
	ReadRecord func(ctx context.Context, original protocol.Position) (*protocol.Record, error)
}

// The sizes of what the keeper appends, in bytes.
const (
	maxChunkBytes    = 1 << 20
	carryAppendBytes = 1 << 20
)

// maxCarriesPerAppend bounds the records in one append of carries.
const maxCarriesPerAppend = 512

// Maintainer writes what a stream needs to outlive the retention of the log. Two
// keepers of one stream do no harm: they cost appends only.
type Maintainer struct {
	params Params
	stream Stream
	// afterOwnAppend is the first offset after the keeper's own last append.
	afterOwnAppend uint64
	snapshots      prometheus.Counter
	carried        prometheus.Counter
	expired        prometheus.Counter
}

// NewMaintainer returns a keeper of a stream.
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

// Metrics returns the keeper's collectors.
func (k *Maintainer) Metrics() []prometheus.Collector {
	return []prometheus.Collector{k.snapshots, k.carried, k.expired}
}

// Step writes what is due at a time: bodies first, since a snapshot holds their
// positions.
func (k *Maintainer) Step(ctx context.Context, now time.Time) error {
	if err := k.carry(ctx, now); err != nil {
		return err
	}
	next := k.stream.Follower.Folded() + 1
	if !k.params.SnapshotDue(now, k.stream.Bodies.Marks(), next, next != k.afterOwnAppend) {
		return nil
	}
	return k.appendSnapshot(ctx, now)
}

func (k *Maintainer) appendSnapshot(ctx context.Context, now time.Time) error {
	if err := k.appendForget(ctx, now); err != nil {
		return err
	}
	records, err := k.stream.Follower.SnapshotRecords(now, maxChunkBytes)
	if err != nil {
		return err
	}
	var last protocol.Position
	for _, rec := range records {
		if last, err = k.stream.Writer.Append(ctx, rec); err != nil {
			return err
		}
	}
	if err := k.stream.Follower.WaitFor(ctx, last.Offset()); err != nil {
		return err
	}
	k.afterOwnAppend = last.Offset() + 1
	k.snapshots.Inc()
	klog.InfoS("snapshot written", "stream", k.stream.Name, "position", last, "chunks", len(records))
	return nil
}

// appendForget drops what finished long ago and what points to expired entries.
func (k *Maintainer) appendForget(ctx context.Context, now time.Time) error {
	marks := k.stream.Bodies.Marks()
	if k.stream.NeededBodies == nil || len(marks) == 0 {
		return nil
	}
	rec := protocol.Record{ID: protocol.NewID(), Forget: &protocol.Forget{
		Before:  protocol.PositionAt(k.params.ForgetBefore(now, marks), 0),
		Expired: k.stream.Follower.Oldest(),
	}}
	last, err := k.stream.Writer.Append(ctx, rec)
	if err != nil {
		return err
	}
	return k.stream.Follower.WaitFor(ctx, last.Offset())
}

func (k *Maintainer) carry(ctx context.Context, now time.Time) error {
	if k.stream.NeededBodies == nil {
		return nil
	}
	before := k.params.CarryBefore(now, k.stream.Bodies.Marks())
	if before == 0 {
		return nil
	}
	due := DueCarries(k.stream.NeededBodies(), k.stream.Bodies.Locate, before)
	for len(due) > 0 {
		group, rest, err := k.readCarries(ctx, due)
		if err != nil {
			return err
		}
		if err := k.appendCarries(ctx, group); err != nil {
			return err
		}
		due = rest
	}
	return nil
}

// readCarries reads bodies for one append and returns the positions left over.
func (k *Maintainer) readCarries(ctx context.Context, due []protocol.Position) (group []protocol.Record, rest []protocol.Position, err error) {
	size := 0
	for i, original := range due {
		if size >= carryAppendBytes || len(group) == maxCarriesPerAppend {
			return group, due[i:], nil
		}
		rec, err := k.stream.ReadRecord(ctx, original)
		if errorx.IsOfType(err, protocol.ErrOffsetExpired) {
			k.expired.Inc()
			klog.ErrorS(err, "body expired before it was carried over", "stream", k.stream.Name, "position", original)
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		size += rec.BodySize()
		group = append(group, protocol.Record{ID: protocol.NewID(), Carry: &protocol.Carry{Original: original, Record: rec}})
	}
	return group, nil, nil
}

func (k *Maintainer) appendCarries(ctx context.Context, group []protocol.Record) error {
	if len(group) == 0 {
		return nil
	}
	last, err := k.stream.Writer.Append(ctx, group...)
	if err != nil {
		return err
	}
	k.carried.Add(float64(len(group)))
	return k.stream.Follower.WaitFor(ctx, last.Offset())
}
