package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// tailPeers reads from peers while the log leaves this process behind.
func (f *Follower) tailPeers(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		addresses := f.params.Peers.Addresses()
		switch {
		case !f.shouldReadPeers():
			pause.For(ctx, f.params.RetryDelay)
		case f.LogFailed():
			f.readAuthorities(ctx)
			pause.For(ctx, f.params.RetryDelay)
		case len(addresses) == 0:
			pause.For(ctx, f.params.RetryDelay)
		default:
			f.readPeer(ctx, addresses[attempt%len(addresses)], f.params.PollWait)
		}
	}
}

// readAuthorities reads from every process that acknowledges records. Where all
// of them answer and none is ahead, no acknowledged record is missing here.
func (f *Follower) readAuthorities(ctx context.Context) {
	begun := time.Now()
	addresses := f.params.Peers.Authorities()
	var group sync.WaitGroup
	var level atomic.Int64
	for _, addr := range addresses {
		group.Go(func() {
			if f.readPeer(ctx, addr, 0) {
				level.Add(1)
			}
		})
	}
	group.Wait()
	f.mu.Lock()
	usable := f.next > 0 && !f.offsetExpired
	f.mu.Unlock()
	if usable && int(level.Load()) == len(addresses) && f.params.Peers.Listed() {
		f.setCurrent(begun)
	}
}

func (f *Follower) shouldReadPeers() bool {
	if !f.params.Peers.TailsLog() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logFailed || time.Since(latest(f.startedAt, f.currentAt)) > f.params.PeerReadAge
}

// LogFailed reports whether the log has not answered this process lately.
func (f *Follower) LogFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logFailed
}

// readPeer takes what a peer holds and reports whether this process is level
// with it afterwards.
func (f *Follower) readPeer(ctx context.Context, addr string, wait time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	begun := time.Now()
	reply, err := f.params.Peers.ReadLog(callCtx, addr, protocol.ReadLogArgs{
		Stream: f.params.Stream, From: f.position(), Limit: backend.PageLimit, WaitMillis: wait.Milliseconds(),
	})
	if err == nil {
		err = reply.Problem.Err()
	}
	var next uint64
	if err == nil {
		next, err = f.applyReply(&reply)
	}
	if err != nil {
		if ctx.Err() == nil {
			klog.V(1).InfoS("peer read failed", "stream", f.params.Stream, "peer", addr, "error", protocol.CauseOf(err))
			pause.For(ctx, f.params.RetryDelay)
		}
		return false
	}
	level := next > 0 && next >= reply.Next
	if age, known := reply.Age(); known && level {
		f.setCurrent(begun.Add(-age))
	}
	if age, known := reply.Proven(); known && level {
		f.setProven(begun.Add(-age))
	}
	return level
}

func (f *Follower) applyReply(reply *protocol.ReadLogReply) (uint64, error) {
	f.mu.Lock()
	f.bytesRead += uint64(len(reply.Snapshot))
	f.mu.Unlock()
	if len(reply.Snapshot) > 0 {
		snapshot, err := protocol.DecodeSnapshot(reply.Snapshot, reply.Sum)
		if err != nil {
			return 0, err
		}
		if err := f.restore(snapshot); err != nil {
			return 0, err
		}
	}
	entries := make([]backend.LogEntry, 0, len(reply.Entries))
	for _, e := range reply.Entries {
		entries = append(entries, backend.LogEntry{Offset: e.Offset, Data: e.Data})
	}
	f.addBytesRead(entries)
	return f.applyEntries(entries), nil
}

// Serve answers a peer's read: with the entries that follow on, waiting for the
// first one, or with a snapshot where they are no longer kept.
func (f *Follower) Serve(ctx context.Context, args *protocol.ReadLogArgs) protocol.ReadLogReply {
	begun := time.Now()
	deadline := time.NewTimer(time.Duration(args.WaitMillis) * time.Millisecond)
	defer deadline.Stop()
	for {
		reply, changed := f.reply(args)
		if reply.Snapshot != nil || len(reply.Entries) > 0 || reply.Problem != nil {
			return reply
		}
		select {
		case <-changed:
		case <-deadline.C:
			held := time.Since(begun) // before the ages are counted
			reply, _ = f.reply(args)
			reply.HeldMillis = held.Milliseconds()
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

func (f *Follower) reply(args *protocol.ReadLogArgs) (protocol.ReadLogReply, chan struct{}) {
	f.mu.Lock()
	next, changed := f.next, f.changed
	reply := protocol.ReadLogReply{Next: next, AgeMillis: f.ageMillis(), ProvenMillis: f.provenMillis()}
	entries, kept := f.recent.from(args.From, next, args.Limit)
	for _, e := range entries {
		reply.Entries = append(reply.Entries, protocol.RawEntry{Offset: e.Offset, Data: e.Data})
	}
	f.mu.Unlock()
	switch {
	case next == 0:
		reply.Problem = protocol.ProblemOf(protocol.ErrBusy.New("stream %s has not been read yet", args.Stream))
	case args.From == 0 || !kept:
		return f.snapshotReply(reply), changed
	}
	return reply, changed
}

// ageMillis needs the lock.
func (f *Follower) ageMillis() int64 {
	if f.currentAt.IsZero() {
		return -1
	}
	return time.Since(f.currentAt).Milliseconds()
}

// provenMillis needs the lock.
func (f *Follower) provenMillis() int64 {
	if f.provenAt.IsZero() {
		return 0
	}
	return time.Since(f.provenAt).Milliseconds() + 1
}

func (f *Follower) snapshotReply(reply protocol.ReadLogReply) protocol.ReadLogReply {
	reply.Entries = nil
	snapshot, err := f.Snapshot()
	if err == nil {
		reply.Next = snapshot.Next
		reply.Snapshot, err = snapshot.Encode()
	}
	if err != nil {
		reply.Problem = protocol.ProblemOf(err)
		return reply
	}
	reply.Sum = protocol.Fingerprint(reply.Snapshot)
	return reply
}
