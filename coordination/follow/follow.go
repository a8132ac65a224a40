// Package follow tails one stream of the log and applies its records to folds
// in order.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/platform"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Source is where a follower reads: the log itself or a peer that follows it.
type Source interface {
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.LogPage, error)
}

// Fold receives records in order of their positions.
type Fold interface {
	Apply(pos protocol.Position, rec *protocol.Record)
}

// Params configure a follower.
type Params struct {
	Stream string
	Source Source
	// PollWait bounds one read that waits for new entries.
	PollWait time.Duration
	// RetryDelay is the time between a failed read and the next one.
	RetryDelay time.Duration
}

// The defaults of Params.
const (
	DefaultPollWait   = 2 * time.Second
	DefaultRetryDelay = 100 * time.Millisecond
)

// Follower tails one stream. Its methods may be called at the same time.
type Follower struct {
	params Params
	folds  []Fold

	mu sync.Mutex
	// next is the first offset not yet folded; zero before the first read.
	next uint64
	// current is the time of the last read that reached the end of the stream.
	current time.Time
	// begun is the time at which that read began: the fold holds everything
	// that was appended before it.
	begun   time.Time
	changed chan struct{}
}

// New returns a follower that applies records to folds. Run starts it.
func New(p Params, folds ...Fold) *Follower {
	if p.PollWait <= 0 {
		p.PollWait = DefaultPollWait
	}
	if p.RetryDelay <= 0 {
		p.RetryDelay = DefaultRetryDelay
	}
	return &Follower{params: p, folds: folds, changed: make(chan struct{})}
}

// Run tails the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("log read failed", "stream", f.params.Stream, "error", err)
			sleep(ctx, f.params.RetryDelay)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	from := f.next
	f.mu.Unlock()
	// A read that never answers is given up: the connection may have gone silent.
	readCtx, cancel := context.WithTimeout(ctx, f.params.PollWait+protocol.HeartbeatTimeout)
	defer cancel()
	wait := f.params.PollWait
	if !f.CaughtUp() {
		wait = 0
	}
	begun := time.Now()
	page, err := f.params.Source.Read(readCtx, f.params.Stream, from, platform.PageLimit, wait)
	if err != nil {
		if errorx.IsOfType(err, protocol.ErrOffsetExpired) {
			klog.ErrorS(err, "log offset expired", "stream", f.params.Stream, "from", from)
		}
		return err
	}
	for _, e := range page.Entries {
		f.fold(e)
	}
	f.advance(page, begun)
	return nil
}

func (f *Follower) fold(e platform.LogEntry) {
	records, err := protocol.DecodeBatch(e.Data)
	if err != nil {
		// Every reader skips the same entry, so the folds stay the same.
		klog.ErrorS(err, "log entry skipped", "stream", f.params.Stream, "offset", e.Offset)
		return
	}
	for i := range records {
		for _, fold := range f.folds {
			fold.Apply(protocol.PositionAt(e.Offset, i), &records[i])
		}
	}
}

func (f *Follower) advance(page platform.LogPage, begun time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = max(f.next, page.First)
	if n := len(page.Entries); n > 0 {
		f.next = page.Entries[n-1].Offset + 1
	}
	if f.next >= page.Next {
		f.current = time.Now()
		f.begun = begun
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// CaughtUp reports whether a read has ever reached the end of the stream.
func (f *Follower) CaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.current.IsZero()
}

// Age returns how long ago the follower last knew that it was current.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.current)
}

// Staleness bounds the age of what the fold may lack: it holds everything that
// was appended before that long ago, also after a pause of the process.
func (f *Follower) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.begun)
}

// Next returns the first offset that was not folded; zero before the first read.
func (f *Follower) Next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Folded returns the last offset that was folded.
func (f *Follower) Folded() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == 0 {
		return 0
	}
	return f.next - 1
}

// WaitFor waits until the entry at offset was folded. It fails with ErrTimeout
// when ctx ends first.
func (f *Follower) WaitFor(ctx context.Context, offset uint64) error {
	for {
		f.mu.Lock()
		reached := f.next > offset
		changed := f.changed
		f.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return protocol.ErrTimeout.New("stream %s has not reached offset %d", f.params.Stream, offset)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
