package entry

import (
	"context"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// lateAnswerWait is how long an entry waits for the result of a call that was
// started and whose answer is lost.
const lateAnswerWait = 2 * time.Second

// settle finds out what became of a non-idempotent attempt whose answer is lost.
// It returns the result where the log has one, ErrVoided where the attempt will
// never run, and ErrUnknownOutcome otherwise.
func (e *Entry) settle(o *order, attempt string, cause error) (*protocol.Result, error) {
	ctx, cancel := context.WithTimeout(e.context(), lateAnswerWait)
	defer cancel()
	rec := protocol.Record{ID: attempt + "/void", Void: &protocol.RequestVoid{Key: o.key, Attempt: attempt}}
	if err := e.appendAndFold(ctx, rec); err != nil {
		return nil, protocol.ErrUnknownOutcome.Wrap(cause, "the log cannot tell whether the call ran")
	}
	if e.requests.Voided(o.key, attempt) {
		return nil, protocol.ErrVoided.New("the attempt was given up before it started")
	}
	if result := e.awaitResult(ctx, o.key); result != nil {
		return result, nil
	}
	return nil, protocol.ErrUnknownOutcome.Wrap(cause, "the call was started and its answer is lost")
}

// awaitResult waits until the log has a result for key, and returns nil when
// ctx ends first.
func (e *Entry) awaitResult(ctx context.Context, key string) *protocol.Result {
	const interval = 10 * time.Millisecond
	for {
		if r, _ := e.requests.Get(key); r.ResultAt != 0 {
			result, err := e.stored(ctx, r.ResultAt)
			if err == nil {
				return result
			}
		}
		if ctx.Err() != nil {
			return nil
		}
		pause(ctx, interval)
	}
}

// stored reads a result back from the log.
func (e *Entry) stored(ctx context.Context, pos protocol.Position) (*protocol.Result, error) {
	rec, err := e.bodies.Record(ctx, pos)
	if err != nil {
		return nil, err
	}
	if rec.Complete == nil {
		return nil, protocol.ErrInternal.New("record %s is not a completion", pos)
	}
	return &rec.Complete.Result, nil
}

// appendAndFold appends a record to the work stream and waits until this
// process has folded it.
func (e *Entry) appendAndFold(ctx context.Context, recs ...protocol.Record) error {
	_, err := e.work.appendAt(ctx, recs...)
	return err
}

// appendAt does the same and returns the position of the last record.
func (s *stream) appendAt(ctx context.Context, recs ...protocol.Record) (protocol.Position, error) {
	last, err := s.writer.Append(ctx, recs...)
	if err != nil {
		return 0, err
	}
	return last, s.follower.WaitFor(ctx, last.Offset())
}
