// Package topic follows a topic of the platform's store: the newest record of each
// key at first, then every record in the order of their offsets. Where the store
// no longer has the records that follow, it begins again.
//
// It answers many readers of a log whose calls are priced: each process reads at
// a steady pace, whatever the rate of records, and at once where a caller must
// know what others have written.
package topic

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
	readTimeout    = 900 * time.Millisecond
	outageTimeout  = 500 * time.Millisecond
	outageInterval = 250 * time.Millisecond
	// fullTimeoutEvery is the one of so many reads that has the time of a usual one, for
	// a store that answers slowly.
	fullTimeoutEvery = 4
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
	// OnRecovered, if set, is called before the first records are applied after the
	// store did not answer.
	OnRecovered func()
}

// Follower follows one topic.
type Follower struct {
	params Params
	// readToken holds a token while no read runs. It is no mutex, so that waiting for
	// it ends with the caller's patience.
	readToken chan struct{}
	next      int64
	// lastReadStart is when the last read that reached the end began, as nanoseconds
	// after base; 0 before the first.
	lastReadStart atomic.Int64
	base          time.Time
	unavailable   bool
	// failures counts the reads that failed since the last good one.
	failures int
}

// New returns a follower that knows nothing.
func New(p Params) *Follower {
	f := &Follower{params: p, next: -1, base: time.Now().Add(-time.Nanosecond), readToken: make(chan struct{}, 1)}
	f.readToken <- struct{}{}
	return f
}

// acquire waits for the turn to read.
func (f *Follower) acquire(ctx context.Context) error {
	select {
	case <-f.readToken:
		return nil
	case <-ctx.Done():
		return fleet.ErrUnavailable.Wrap(ctx.Err(), "another read goes on")
	}
}

func (f *Follower) release() { f.readToken <- struct{}{} }

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := f.params.Interval
		if f.CatchUp(ctx) != nil { // the failure was logged
			interval = min(interval, outageInterval)
		}
		pause.For(ctx, interval)
	}
	return nil
}

// Age returns how old the knowledge is: the time since the last read began that
// reached the end. It returns false where there was none.
func (f *Follower) Age() (time.Duration, bool) {
	begun := f.lastReadStart.Load()
	if begun == 0 {
		return 0, false
	}
	return time.Since(f.base.Add(time.Duration(begun))), true
}

// CatchUp returns once everything is known that was in the topic when it was
// called, or an error of the store.
func (f *Follower) CatchUp(ctx context.Context) error {
	called := time.Since(f.base)
	if err := f.acquire(ctx); err != nil {
		return err
	}
	defer f.release()
	if f.lastReadStart.Load() > int64(called) {
		return nil
	}
	err := f.readToEnd(ctx)
	f.recordResult(err)
	return err
}

// notifyRecovery tells of the store's return.
func (f *Follower) notifyRecovery() {
	if f.unavailable && f.params.OnRecovered != nil {
		f.params.OnRecovered()
	}
}

// Next returns the offset after the last record known. Only Locked's function
// may use it to append.
func (f *Follower) Next() int64 { return f.next }

// WhileCaughtUp catches up and calls do while no other read changes what is known.
func (f *Follower) WhileCaughtUp(ctx context.Context, do func() error) error {
	if err := f.acquire(ctx); err != nil {
		return err
	}
	defer f.release()
	err := f.readToEnd(ctx)
	f.recordResult(err)
	if err != nil {
		return err
	}
	return do()
}

func (f *Follower) readToEnd(ctx context.Context) error {
	for {
		begun, before := time.Since(f.base), f.next
		end, err := f.readOnce(ctx)
		if err != nil {
			return err
		}
		if f.next >= end {
			f.lastReadStart.Store(int64(begun))
			return nil
		}
		if f.next == before {
			return fleet.ErrUnavailable.New("no records from offset %d, the topic ends at %d", f.next, end)
		}
	}
}

// readOnce makes one step and returns where the topic ends.
func (f *Follower) readOnce(ctx context.Context) (int64, error) {
	if f.next < 0 {
		records, next, err := f.params.Store.Newest(ctx, f.params.Topic)
		if err != nil {
			return 0, err
		}
		f.notifyRecovery()
		f.params.Reset(records)
		f.next = next
		return next, nil
	}
	page, err := f.readPage(ctx)
	if errorx.IsOfType(err, fleet.ErrExpired) {
		klog.InfoS("records expired, reading the newest again", "topic", f.params.Name, "offset", f.next)
		f.next = -1
		return f.readOnce(ctx)
	}
	if err != nil {
		return 0, err
	}
	f.notifyRecovery()
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
	if f.failures%fullTimeoutEvery > 0 {
		timeout = outageTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.params.Store.Read(ctx, f.params.Topic, f.next)
}

// recordResult counts failures, and logs when the store is lost and when it is back.
func (f *Follower) recordResult(err error) {
	f.failures++
	if err == nil {
		f.failures = 0
	}
	if (err != nil) == f.unavailable {
		return
	}
	f.unavailable = err != nil
	if f.unavailable {
		klog.InfoS("topic not readable", "topic", f.params.Name, "offset", f.next, "error", protocol.CauseOf(err))
		return
	}
	klog.InfoS("topic readable", "topic", f.params.Name, "offset", f.next)
}
