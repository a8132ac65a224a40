package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// logEndTimeout bounds one question for the end of the log.
const logEndTimeout = time.Second

// logEnd asks the log for its end. Questions that wait at the same time share
// one read.
type logEnd struct {
	log    backend.Log
	stream string

	mu     sync.Mutex
	readAt time.Time
	next   uint64
	err    error
}

// nextOffset returns the offset of the first entry that does not exist yet, as of a
// time after the call. from is the first offset that the caller has not folded.
func (l *logEnd) nextOffset(ctx context.Context, from uint64) (uint64, error) {
	arrived := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.After(arrived) {
		return l.next, l.err
	}
	if ctx.Err() != nil {
		return 0, protocol.ErrTimeout.New("the end of stream %s is not known in time", l.stream)
	}
	l.readAt = time.Now()
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), logEndTimeout)
	defer cancel()
	page, err := l.log.Read(readCtx, l.stream, from, 1, 0)
	l.next, l.err = page.Next, err
	return l.next, l.err
}

// foldToEnd folds every record that stood in the work stream when it was called.
// Unlike catchUp it fails where the log cannot be read.
func (e *Entry) foldToEnd(ctx context.Context) error {
	next, err := e.logEnd.nextOffset(ctx, e.workStream.follower.Next())
	if err != nil || next <= 1 {
		return err
	}
	return e.workStream.follower.WaitFor(ctx, next-1)
}
