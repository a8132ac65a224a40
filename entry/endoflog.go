package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/platform"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// endReadTimeout bounds one question for the end of the log.
const endReadTimeout = time.Second

// endOfLog asks the log for its end. Questions that wait at the same time share
// one read.
type endOfLog struct {
	log    platform.Log
	stream string

	mu    sync.Mutex
	begun time.Time
	next  uint64
	err   error
}

// after returns the offset of the first entry that does not exist yet, as of a
// time after the call.
func (l *endOfLog) after(ctx context.Context, folded uint64) (uint64, error) {
	arrived := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.begun.After(arrived) {
		return l.next, l.err
	}
	if ctx.Err() != nil {
		return 0, protocol.ErrTimeout.New("the end of stream %s is not known in time", l.stream)
	}
	l.begun = time.Now()
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endReadTimeout)
	defer cancel()
	page, err := l.log.Read(readCtx, l.stream, folded+1, 1, 0)
	l.next, l.err = page.Next, err
	return l.next, l.err
}

// catchUp folds every record that stood in the work stream when it was called.
func (e *Entry) catchUp(ctx context.Context) error {
	next, err := e.end.after(ctx, e.work.follower.Folded())
	if err != nil || next <= 1 {
		return err
	}
	return e.work.follower.WaitFor(ctx, next-1)
}
