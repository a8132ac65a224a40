// Package follow tails one stream of the log and applies its records to folds
// in order. Where the log fails or is silent it reads from peers, and where the
// entry that it needs has expired it starts again from a snapshot.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Source is where a follower reads: the log itself or a peer that follows it.
type Source interface {
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (backend.LogPage, error)
}

// Fold receives records in order of their positions.
type Fold interface {
	Apply(pos protocol.Position, rec *protocol.Record)
}

// Stateful is a fold whose state a snapshot carries. Restore either replaces
// the whole state or fails and changes nothing.
type Stateful interface {
	Fold
	SnapshotName() string
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Restored is a fold that is told when other folds were restored from a snapshot.
type Restored interface {
	Restored()
}

// Peers reads the stream from other processes that follow it.
type Peers interface {
	// Addresses returns the peers to read from, the preferred ones first.
	Addresses() []string
	// Authorities returns the addresses of the processes that acknowledge
	// records: a process that is level with all of them is current, also while
	// the log is down.
	Authorities() []string
	// Listed reports whether the platform has listed this process's peers yet.
	Listed() bool
	// TailsLog reports whether this process is one of those that read the log
	// itself while they can.
	TailsLog() bool
	ReadLog(ctx context.Context, addr string, args protocol.ReadLogArgs) (protocol.ReadLogReply, error)
}

// Params configure a follower.
type Params struct {
	Stream string
	Source Source
	// Peers is read where the log fails or is silent; it may be nil.
	Peers Peers
	// PollWait bounds one read that waits for new entries.
	PollWait time.Duration
	// RetryDelay is the time between a failed read and the next one.
	RetryDelay time.Duration
	// PeerReadAge is the age from which on peers are read beside the log.
	PeerReadAge time.Duration
	// RecentBytes bounds the entries kept for peers, in bytes.
	RecentBytes int
}

// The defaults of Params.
const (
	DefaultPollWait    = time.Second
	DefaultRetryDelay  = 100 * time.Millisecond
	DefaultPeerReadAge = 1500 * time.Millisecond
	DefaultRecentBytes = 4 << 20
)

// The times after its wait in which a read must answer: the connection may have
// gone silent.
const (
	readTimeout = 3 * time.Second
	peerTimeout = time.Second
)

// Follower tails one stream. Its methods may be called at the same time.
type Follower struct {
	params Params
	folds  []Fold

	// foldMu serialises folding, restoring and snapshots.
	foldMu sync.Mutex

	mu sync.Mutex
	// next is the first offset not yet folded; zero before the first read.
	next uint64
	// currentAt is the newest time at which the follower is known to have held
	// the whole stream.
	currentAt time.Time
	// provenAt is the newest time at which the log itself showed that.
	provenAt  time.Time
	startedAt time.Time
	changed   chan struct{}
	recent    recentEntries
	// oldest is the oldest offset that the log still held at the last read.
	oldest uint64
	// logFailed is set while the last read of the log failed.
	logFailed bool
	// offsetExpired is set while the log is known to have dropped entries not folded.
	offsetExpired bool
	// bytesRead counts the bytes of entries taken from the log or from peers.
	bytesRead uint64
}

// New returns a follower that applies records to folds. Run starts it.
func New(p Params, folds ...Fold) *Follower {
	if p.PollWait <= 0 {
		p.PollWait = DefaultPollWait
	}
	if p.RetryDelay <= 0 {
		p.RetryDelay = DefaultRetryDelay
	}
	if p.PeerReadAge <= 0 {
		p.PeerReadAge = DefaultPeerReadAge
	}
	if p.RecentBytes <= 0 {
		p.RecentBytes = DefaultRecentBytes
	}
	return &Follower{params: p, folds: folds, changed: make(chan struct{}), recent: recentEntries{limit: p.RecentBytes}}
}

// Run tails the stream until ctx ends. Peers are read at the same time as the
// log, so that a silent log holds nothing up.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.startedAt = time.Now()
	f.mu.Unlock()
	var group sync.WaitGroup
	if f.params.Peers != nil {
		group.Go(func() { f.tailPeers(ctx) })
	}
	f.tailLog(ctx)
	group.Wait()
	return nil
}

func (f *Follower) tailLog(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.shouldReadLog() {
			pause.For(ctx, f.params.RetryDelay)
			continue
		}
		err := f.readLog(ctx)
		f.mu.Lock()
		f.logFailed = err != nil
		f.offsetExpired = errorx.IsOfType(err, protocol.ErrOffsetExpired)
		f.mu.Unlock()
		if err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("log read failed", "stream", f.params.Stream, "error", protocol.CauseOf(err))
			pause.For(ctx, f.params.RetryDelay)
		}
	}
}

// shouldReadLog reports whether this process reads the log itself: always where it
// is one of the chosen, and otherwise once its peers leave it behind.
func (f *Follower) shouldReadLog() bool {
	if f.params.Peers == nil || f.params.Peers.TailsLog() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(latest(f.startedAt, f.currentAt)) > 2*f.params.PeerReadAge
}

func (f *Follower) readLog(ctx context.Context) error {
	from := f.position()
	if from == 0 {
		return f.bootstrap(ctx)
	}
	begun := time.Now()
	page, err := f.read(ctx, from, f.params.PollWait)
	if errorx.IsOfType(err, protocol.ErrOffsetExpired) {
		klog.InfoS("log offset expired", "stream", f.params.Stream, "from", from)
		return f.bootstrap(ctx)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.oldest = page.First
	f.mu.Unlock()
	f.addBytesRead(page.Entries)
	if f.applyEntries(page.Entries) >= page.Next {
		f.setCurrent(begun)
		f.setProven(begun)
	}
	return nil
}

// read reads one page. A read that never answers is given up.
func (f *Follower) read(ctx context.Context, from uint64, wait time.Duration) (backend.LogPage, error) {
	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return f.params.Source.Read(readCtx, f.params.Stream, from, backend.PageLimit, wait)
}

// applyEntries folds the entries that follow on and returns the first offset not folded.
func (f *Follower) applyEntries(entries []backend.LogEntry) uint64 {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	next := f.position()
	for _, e := range entries {
		if e.Offset > next {
			klog.V(1).InfoS("gap in log entries", "stream", f.params.Stream, "expected", next, "offset", e.Offset)
			break
		}
		if e.Offset < next {
			continue
		}
		f.applyEntry(e)
		next++
		f.mu.Lock()
		f.next = next
		f.recent.add(e)
		f.mu.Unlock()
	}
	f.notifyWaiters()
	return next
}

func (f *Follower) notifyWaiters() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) applyEntry(e backend.LogEntry) {
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

func (f *Follower) position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// setCurrent records that the follower held the whole stream at a time.
func (f *Follower) setCurrent(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.currentAt) {
		f.currentAt = at
	}
}

// setProven records that the log proved the follower current at a time.
func (f *Follower) setProven(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.provenAt = latest(f.provenAt, at)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Follower) addBytesRead(entries []backend.LogEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		f.bytesRead += uint64(len(e.Data))
	}
}

// Oldest returns the oldest offset that the log held when it was last read.
func (f *Follower) Oldest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.oldest
}

// BytesRead returns the bytes of entries and snapshots taken so far.
func (f *Follower) BytesRead() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytesRead
}

// CaughtUp reports whether the follower has ever held the whole stream.
func (f *Follower) CaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.currentAt.IsZero()
}

// Age returns how long ago the follower last knew that it was current.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.currentAt)
}

// Staleness bounds the age of what the fold may lack: it holds everything that
// was appended before that long ago, as reads of the log proved, its own or those
// of the peers that it reads from, also after a pause of the process.
func (f *Follower) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.provenAt)
}

// Next returns the first offset that was not folded; zero before the first read.
func (f *Follower) Next() uint64 { return f.position() }

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
