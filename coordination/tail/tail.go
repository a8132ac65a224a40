// Package tail follows a topic of the platform's store: the newest record of each
// key at first, then every record in the order of their offsets. Where the store
// no longer has the records that follow, it begins again.
//
// It answers many readers of a log whose calls are priced: each process reads at
// a steady pace, whatever the rate of records, and at once where a caller must
// know what others have written.
package tail

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// readTimeout bounds a read, awayTimeout one while the store does not answer,
	// and awayInterval is the time between two of these: calls that hang must not
	// hide its return for long.
	readTimeout  = 900 * time.Millisecond
	awayTimeout  = 500 * time.Millisecond
	awayInterval = 250 * time.Millisecond
	// patientTry is the one of so many reads that has the time of a usual one, for
	// a store that answers slowly.
	patientTry = 4
)

// Params say what to follow.
type Params struct {
	Store fleet.Store
	Topic fleet.Topic
	// Name is the topic's name in log lines.
	Name string
	// Interval is the time between two reads.
	Interval time.Duration
	// Reset replaces all that is known by the newest records; Apply adds to it.
	// They are never called at the same time.
	Reset func(records []fleet.Record)
	Apply func(records []fleet.Record)
	// Returned, if set, is called before the first records are applied after the
	// store did not answer.
	Returned func()
}

// Follower follows one topic.
type Follower struct {
	params Params
	// turn holds a token while no read runs. It is no mutex, so that waiting for
	// it ends with the caller's patience.
	turn chan struct{}
	next int64
	// begun is when the last read that reached the end began, as nanoseconds
	// after base; 0 before the first.
	begun atomic.Int64
	base  time.Time
	away  bool
	// failed counts the reads that failed since the last good one.
	failed int
}

// New returns a follower that knows nothing.
func New(p Params) *Follower {
	f := &Follower{params: p, next: -1, base: time.Now().Add(-time.Nanosecond), turn: make(chan struct{}, 1)}
	f.turn <- struct{}{}
	return f
}

// take waits for the turn to read.
func (f *Follower) take(ctx context.Context) error {
	select {
	case <-f.turn:
		return nil
	case <-ctx.Done():
		return fleet.ErrUnavailable.Wrap(ctx.Err(), "another read goes on")
	}
}

func (f *Follower) give() { f.turn <- struct{}{} }

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := f.params.Interval
		if f.CatchUp(ctx) != nil { // the failure was logged
			interval = min(interval, awayInterval)
		}
		pause.For(ctx, interval)
	}
	return nil
}

// Age returns how old the knowledge is: the time since the last read began that
// reached the end. It returns false where there was none.
func (f *Follower) Age() (time.Duration, bool) {
	begun := f.begun.Load()
	if begun == 0 {
		return 0, false
	}
	return time.Since(f.base.Add(time.Duration(begun))), true
}

// CatchUp returns once everything is known that was in the topic when it was
// called, or an error of the store.
func (f *Follower) CatchUp(ctx context.Context) error {
	called := time.Since(f.base)
	if err := f.take(ctx); err != nil {
		return err
	}
	defer f.give()
	if f.begun.Load() > int64(called) {
		return nil
	}
	err := f.readToEnd(ctx)
	f.note(err)
	return err
}

// back tells of the store's return.
func (f *Follower) back() {
	if f.away && f.params.Returned != nil {
		f.params.Returned()
	}
}

// Next returns the offset after the last record known. Only Locked's function
// may use it to append.
func (f *Follower) Next() int64 { return f.next }

// Locked catches up and calls do while no other read changes what is known.
func (f *Follower) Locked(ctx context.Context, do func() error) error {
	if err := f.take(ctx); err != nil {
		return err
	}
	defer f.give()
	err := f.readToEnd(ctx)
	f.note(err)
	if err != nil {
		return err
	}
	return do()
}

func (f *Follower) readToEnd(ctx context.Context) error {
	for {
		begun, before := time.Since(f.base), f.next
		end, err := f.read(ctx)
		if err != nil {
			return err
		}
		if f.next >= end {
			f.begun.Store(int64(begun))
			return nil
		}
		if f.next == before {
			return fleet.ErrUnavailable.New("no records from offset %d, the topic ends at %d", f.next, end)
		}
	}
}

// read makes one step and returns where the topic ends.
func (f *Follower) read(ctx context.Context) (int64, error) {
	if f.next < 0 {
		records, next, err := f.params.Store.Newest(ctx, f.params.Topic)
		if err != nil {
			return 0, err
		}
		f.back()
		f.params.Reset(records)
		f.next = next
		return next, nil
	}
	page, err := f.readPage(ctx)
	if errorx.IsOfType(err, fleet.ErrExpired) {
		klog.InfoS("records expired, reading the newest again", "topic", f.params.Name, "offset", f.next)
		f.next = -1
		return f.read(ctx)
	}
	if err != nil {
		return 0, err
	}
	f.back()
	if len(page.Records) > 0 {
		f.params.Apply(page.Records)
		f.next = page.Next
	}
	return page.End, nil
}

// readPage reads on from the last record known. Only this call is bounded: the
// newest records may be many, and a process that reads these knows nothing yet.
func (f *Follower) readPage(ctx context.Context) (fleet.Page, error) {
	timeout := readTimeout
	if f.failed%patientTry > 0 {
		timeout = awayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.params.Store.Read(ctx, f.params.Topic, f.next)
}

// note counts failures, and logs when the store is lost and when it is back.
func (f *Follower) note(err error) {
	f.failed++
	if err == nil {
		f.failed = 0
	}
	if (err != nil) == f.away {
		return
	}
	f.away = err != nil
	if f.away {
		klog.InfoS("topic not readable", "topic", f.params.Name, "offset", f.next, "error", protocol.CauseOf(err))
		return
	}
	klog.InfoS("topic readable", "topic", f.params.Name, "offset", f.next)
}
