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

// tailPeers reads from peers until ctx ends, whenever shouldReadPeers reports true.
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

// readAuthorities reads from every process that acknowledges records. If all of
// them answer and none is ahead, this process has folded every acknowledged record.
func (f *Follower) readAuthorities(ctx context.Context) {
	start := time.Now()
	addresses := f.params.Peers.Authorities()
	var group sync.WaitGroup
	var caughtUp atomic.Int64
	for _, addr := range addresses {
		group.Go(func() {
			if f.readPeer(ctx, addr, 0) {
				caughtUp.Add(1)
			}
		})
	}
	group.Wait()
	f.mu.Lock()
	usable := f.next > 0 && !f.offsetExpired
	f.mu.Unlock()
	if usable && int(caughtUp.Load()) == len(addresses) && f.params.Peers.Listed() {
		f.setCurrent(start)
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

// LogFailed reports whether the last read of the log failed.
func (f *Follower) LogFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logFailed
}

// readPeer applies the entries or the snapshot that a peer sends, and reports
// whether this process has caught up with the peer.
func (f *Follower) readPeer(ctx context.Context, addr string, wait time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	start := time.Now()
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
	caughtUp := next > 0 && next >= reply.Next
	if age, known := reply.Age(); known && caughtUp {
		f.setCurrent(start.Add(-age))
	}
	if age, known := reply.Proven(); known && caughtUp {
		f.setProven(start.Add(-age))
	}
	return caughtUp
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

// Serve answers a peer's read with the entries from its offset on, waiting for the
// first one, or with a snapshot if these are no longer kept.
func (f *Follower) Serve(ctx context.Context, args *protocol.ReadLogArgs) protocol.ReadLogReply {
	start := time.Now()
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
			held := time.Since(start) // measured before the ages in the reply
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

// ageMillis returns the age, or -1 if it is unknown. mu must be held.
func (f *Follower) ageMillis() int64 {
	if f.currentAt.IsZero() {
		return -1
	}
	return time.Since(f.currentAt).Milliseconds()
}

// provenMillis returns the staleness, rounded up, or zero if it is unknown. mu must
// be held.
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
