package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// logEndTimeout bounds one read of the log's end.
const logEndTimeout = time.Second

// logEnd reads the current end of a stream. Concurrent calls share one read.
type logEnd struct {
	log    backend.Log
	stream string

	mu     sync.Mutex
	readAt time.Time
	next   uint64
	err    error
}

// nextOffset returns the offset after the last entry, read after the call began.
// from is the first offset that the caller has not folded.
func (l *logEnd) nextOffset(ctx context.Context, from uint64) (uint64, error) {
	arrived := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.After(arrived) {
		return l.next, l.err
	}
	if ctx.Err() != nil {
		return 0, protocol.ErrTimeout.New("timed out before reading the end of stream %s", l.stream)
	}
	l.readAt = time.Now()
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), logEndTimeout)
	defer cancel()
	page, err := l.log.Read(readCtx, l.stream, from, 1, 0)
	l.next, l.err = page.Next, err
	return l.next, l.err
}

// foldToEnd waits until every record that the work stream held at the call is
// folded. Unlike catchUp it fails if the log cannot be read.
func (e *Entry) foldToEnd(ctx context.Context) error {
	next, err := e.logEnd.nextOffset(ctx, e.workStream.follower.Next())
	if err != nil || next <= 1 {
		return err
	}
	return e.workStream.follower.WaitFor(ctx, next-1)
}
