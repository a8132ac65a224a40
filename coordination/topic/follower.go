// Package topic follows a topic of the platform's store. It reads the newest record of
// each key first, and then every record in the order of the offsets. If the store no
// longer has the next records, it starts again with the newest ones.
//
// It is designed for many readers of a log that charges for each call: each process
// reads at a constant interval, whatever the rate of records, and immediately when a
// caller must know what others have written.
package topic

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// readTimeout is the timeout of a read, outageTimeout that of a read while the
	// store does not answer, and outageInterval the time between two of the latter.
	// They are short so that calls that hang do not delay the detection of the
	// store's recovery.
	readTimeout    = 900 * time.Millisecond
	outageTimeout  = 500 * time.Millisecond
	outageInterval = 250 * time.Millisecond
	// largeReadTimeout is the timeout of reads of a topic that has records of more than
	// largeRecordBytes, from a store that answers other reads. Hundreds of processes may
	// read that record at the same moment, and each read that is given up and repeated
	// takes the store's bandwidth twice.
	largeReadTimeout = 4 * time.Second
	largeRecordBytes = 64 << 10
	// maxStartInterval is the longest time between two reads of a follower that has not read
	// its topic yet.
	maxStartInterval = time.Second
	// fullTimeoutEvery is the number of reads during an outage of which one has the
	// full readTimeout, for a store that only answers slowly.
	fullTimeoutEvery = 4
)

// Params are the parameters of a Follower.
type Params struct {
	Store fleet.Store
	Topic fleet.Topic
	// Name is the name of the topic in log lines.
	Name string
	// Interval is the time between two reads by Run.
	Interval time.Duration
	// StartSpread is the time over which processes that start at the same moment spread the
	// first reads of RunAfter, at random. Otherwise the first of them take the store's
	// bandwidth while the others wait for what they need first.
	StartSpread time.Duration
	// Reset replaces the caller's state by that of the newest records. Apply adds the
	// records that follow. They are never called concurrently.
	Reset func(records []fleet.Record)
	Apply func(records []fleet.Record)
	// StoreAnswers, if set, reports whether the store has answered reads of another topic
	// lately.
	StoreAnswers func() bool
	// Now is the clock by which the state ages. If nil, it is the monotonic clock, which may
	// stand still while the instance is suspended.
	Now func() time.Duration
	// OnRecovered, if set, is called when the store answers again after an outage,
	// before its records are applied.
	OnRecovered func()
}

// Follower follows one topic.
type Follower struct {
	params Params
	// readToken holds a token while no read is in progress. It is a channel instead of
	// a mutex so that waiting for it ends with the caller's context.
	readToken chan struct{}
	next      int64
	// newest is the reading of the newest records while it is not complete.
	newest *newestRead
	// lastReadStart is the start of the last read that reached the end of the topic,
	// in nanoseconds after base, or 0 before the first.
	lastReadStart atomic.Int64
	base          time.Duration
	// firstRead is closed once the topic has been read to its end for the first time.
	firstRead   chan struct{}
	unavailable atomic.Bool
	// failures is the number of failed reads since the last successful one.
	failures int
	// largestRecord is the size of the largest record read so far, in bytes.
	largestRecord int
}

// New returns a Follower that has read nothing.
func New(p Params) *Follower {
	if p.Now == nil {
		created := time.Now()
		p.Now = func() time.Duration { return time.Since(created) }
	}
	f := &Follower{params: p, next: -1, base: p.Now() - time.Nanosecond, firstRead: make(chan struct{}), readToken: make(chan struct{}, 1)}
	f.readToken <- struct{}{}
	return f
}

// elapsed returns the time since base.
func (f *Follower) elapsed() time.Duration { return f.params.Now() - f.base }

// acquire waits until no other read is in progress and takes the read token.
func (f *Follower) acquire(ctx context.Context) error {
	select {
	case <-f.readToken:
		return nil
	case <-ctx.Done():
		return fleet.ErrStoreUnavailable.Wrap(ctx.Err(), "wait for another read")
	}
}

// release returns the read token.
func (f *Follower) release() { f.readToken <- struct{}{} }

// Run reads the topic periodically until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff := pause.Backoff{Min: outageInterval, Max: maxStartInterval}
	for ctx.Err() == nil {
		interval := f.params.Interval
		err := f.CatchUp(ctx) // a failure is logged
		_, known := f.Age()
		switch {
		case err != nil && !known:
			interval = backoff.Next()
		case err != nil:
			interval = min(interval, outageInterval)
		}
		pause.For(ctx, interval)
	}
	return nil
}

// RunAfter is Run once all the other followers have read their topics, which hold what a
// process needs first. Callers of CatchUp do not wait for that.
func (f *Follower) RunAfter(ctx context.Context, others ...*Follower) error {
	for _, other := range others {
		select {
		case <-other.FirstRead():
		case <-ctx.Done():
		}
	}
	if f.params.StartSpread > 0 {
		pause.For(ctx, rand.N(f.params.StartSpread))
	}
	return f.Run(ctx)
}

// FirstRead returns a channel that is closed once the topic has been read to its end for
// the first time.
func (f *Follower) FirstRead() <-chan struct{} { return f.firstRead }

// IsFailing reports whether the last read failed.
func (f *Follower) IsFailing() bool { return f.unavailable.Load() }

// Age returns the age of the state: the time since the start of the last read that
// reached the end of the topic. It returns false if there was none.
func (f *Follower) Age() (time.Duration, bool) {
	start := f.lastReadStart.Load()
	if start == 0 {
		return 0, false
	}
	return f.elapsed() - time.Duration(start), true
}

// CatchUp returns once every record that was in the topic at the time of the call has
// been applied, or an error of the store.
func (f *Follower) CatchUp(ctx context.Context) error { return f.CatchUpWithin(ctx, 0) }

// CatchUpWithin returns once every record that was in the topic maxAge before the call has
// been applied, or an error of the store.
func (f *Follower) CatchUpWithin(ctx context.Context, maxAge time.Duration) error {
	since := f.elapsed() - maxAge
	if f.hasReadSince(since) {
		return nil
	}
	if err := f.acquire(ctx); err != nil {
		return err
	}
	defer f.release()
	if f.hasReadSince(since) {
		return nil
	}
	err := f.readToEnd(ctx)
	f.recordResult(err)
	return err
}

// hasReadSince reports whether a read that reached the end of the topic began after since,
// a time after base.
func (f *Follower) hasReadSince(since time.Duration) bool {
	last := f.lastReadStart.Load()
	return last != 0 && last > int64(since)
}

// notifyRecovery calls OnRecovered if the store did not answer before.
func (f *Follower) notifyRecovery() {
	if f.unavailable.Load() && f.params.OnRecovered != nil {
		f.params.OnRecovered()
	}
}

// Next returns the offset after the last applied record. Only the function passed to
// WhileCaughtUp may use it to append.
func (f *Follower) Next() int64 { return f.next }

// WhileCaughtUp reads up to the end of the topic and calls do before any other read
// can start.
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

// readToEnd reads up to the end that the topic had at the time of the call. The read token
// must be held.
func (f *Follower) readToEnd(ctx context.Context) error {
	called := f.elapsed()
	for {
		before := f.next
		end, asOf, err := f.readOnce(ctx)
		if err != nil {
			return err
		}
		if f.next >= end && asOf >= called {
			f.recordReadStart(asOf)
			return nil
		}
		if f.next < end && f.next == before {
			return fleet.ErrStoreUnavailable.New("read no records from offset %d, but the topic ends at %d", f.next, end)
		}
	}
}

// recordReadStart notes that a read which began at asOf has reached the end of the topic.
// The read token must be held.
func (f *Follower) recordReadStart(asOf time.Duration) {
	if f.lastReadStart.Swap(int64(asOf)) == 0 {
		close(f.firstRead)
	}
}

// readOnce reads the newest records or one page of the records that follow. It returns the
// end offset that the topic had at asOf, the time at which the read that told it began.
func (f *Follower) readOnce(ctx context.Context) (end int64, asOf time.Duration, err error) {
	if f.next < 0 {
		return f.readNewest(ctx)
	}
	asOf = f.elapsed()
	page, err := f.readPage(ctx)
	if errorx.IsOfType(err, fleet.ErrRecordsExpired) {
		klog.InfoS("records expired, reading the newest record of each key again", "topic", f.params.Name, "offset", f.next)
		f.next = -1
		return f.readOnce(ctx)
	}
	if err != nil {
		return 0, 0, err
	}
	f.notifyRecovery()
	if len(page.Records) > 0 {
		f.measure(page.Records)
		f.params.Apply(page.Records)
		f.next = page.Next
	}
	return page.End, asOf, nil
}

// readNewest reads the newest records, or those that remain after a failed read. The end is
// that of the first page, which may have been read by an earlier call.
func (f *Follower) readNewest(ctx context.Context) (end int64, asOf time.Duration, err error) {
	if f.newest == nil || f.newest.next < 0 {
		f.newest = &newestRead{next: -1, begun: f.elapsed()}
	}
	if err := f.newest.read(ctx, f.params.Store, f.params.Topic); err != nil {
		return 0, 0, err
	}
	f.notifyRecovery()
	records := f.newest.inOrder()
	f.next, asOf = f.newest.next, f.newest.begun
	f.newest = nil
	f.measure(records)
	f.params.Reset(records)
	return f.next, asOf, nil
}

// measure notes the size of the largest record.
func (f *Follower) measure(records []fleet.Record) {
	for _, r := range records {
		f.largestRecord = max(f.largestRecord, len(r.Value))
	}
}

// Answers reports whether the store has answered a read of this topic lately. It is for
// the StoreAnswers of another Follower.
func (f *Follower) Answers() bool {
	age, known := f.Age()
	return known && age < outageTimeout+readTimeout
}

// readPage reads the records after the last applied one. Only this call has a
// timeout: reading the newest records may take long since they may be many, and a
// process that reads them has no state yet.
func (f *Follower) readPage(ctx context.Context) (fleet.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, f.readTimeout())
	defer cancel()
	return f.params.Store.Read(ctx, f.params.Topic, f.next)
}

// readTimeout returns the timeout of the next read.
func (f *Follower) readTimeout() time.Duration {
	switch {
	case f.largestRecord > largeRecordBytes && f.params.StoreAnswers != nil && f.params.StoreAnswers():
		return largeReadTimeout
	case f.failures%fullTimeoutEvery > 0:
		return outageTimeout
	}
	return readTimeout
}

// recordResult counts failures, and logs when the store stops answering and when it
// answers again.
func (f *Follower) recordResult(err error) {
	f.failures++
	if err == nil {
		f.failures = 0
	}
	if f.unavailable.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		klog.InfoS("topic not readable", "topic", f.params.Name, "offset", f.next, "error", protocol.CauseOf(err))
		return
	}
	klog.InfoS("topic readable", "topic", f.params.Name, "offset", f.next)
}
