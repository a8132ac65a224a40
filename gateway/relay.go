package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/eventstream"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// streamBufferBytes is the size of the buffer for reads from a target.
const streamBufferBytes = 8 << 10

// relayBuffered reads the whole answer before it relays it to the caller.
func (o *onlineRequest) relayBuffered(ctx context.Context, target *fleet.Target, answer *fleet.Answer) error {
	body, err := readBuffered(answer)
	if err != nil {
		return o.handleBrokenAnswer(ctx, target, err)
	}
	if answer.Status >= http.StatusInternalServerError && o.mayRetry() {
		return errTargetFailed.New("target answered with status %d", answer.Status)
	}
	if impliesNotRun(answer.Status) {
		return o.giveUp(ctx, "the status of the target's answer implies that the request was not run")
	}
	if o.answerBegun {
		return fleet.ErrAnswerBroken.New("target answered a resumed stream with status %d", answer.Status)
	}
	o.g.table.RecordSuccess(target)
	if answer.Length < 0 && o.request.Method != http.MethodHead {
		answer.Header.Set("Content-Length", strconv.Itoa(len(body)))
		answer.Length = int64(len(body))
	}
	o.answerBegun = true
	if err := o.sink.Begin(answer); err != nil {
		return err
	}
	o.completed = answer.Status < http.StatusMultipleChoices
	if len(body) == 0 {
		return nil
	}
	return o.sink.Write(body)
}

// readBuffered returns the whole body of the answer. It fails with ErrOversizedBody.
func readBuffered(answer *fleet.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, fleet.MaxBufferedBytes+1))
	if err == nil && len(body) > fleet.MaxBufferedBytes {
		return nil, fleet.ErrOversizedBody.New("answer exceeds %d bytes", fleet.MaxBufferedBytes)
	}
	return body, err
}

// impliesNotRun reports whether the status would tell the caller that the request was not
// run. A target's answer must not do so, since the target may have run it.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// handleBrokenAnswer returns the error of an attempt whose answer broke off.
func (o *onlineRequest) handleBrokenAnswer(ctx context.Context, target *fleet.Target, err error) error {
	if ctx.Err() != nil && !isStalled(ctx) && !hasTargetEnded(ctx) {
		return o.giveUp(ctx, endReason(ctx))
	}
	o.reportFailure(ctx, target)
	o.recordBreak(ctx, target)
	return errTruncatedAnswer.Wrap(err, "answer broke off")
}

// reportFailure reports to the load table that the target failed, or that the request
// left it because it did not begin the answer in time: such a target may only be busy.
func (o *onlineRequest) reportFailure(ctx context.Context, target *fleet.Target) {
	o.meter.stalled = isStalled(ctx)
	if o.meter.stalled && !o.answerBegun {
		o.g.table.RecordWithdrawal(target)
		return
	}
	o.g.table.RecordFailure(target)
}

// relayStream relays the events of the answer's body to the caller as they arrive, and only complete
// ones that follow each other.
func (o *onlineRequest) relayStream(ctx context.Context, target *fleet.Target, answer *fleet.Answer, body io.Reader, h *handover) error {
	contentType := answer.Header.Get("Content-Type")
	if o.answerBegun && contentType != o.contentType {
		return o.handleBrokenAnswer(ctx, target, fleet.ErrAnswerBroken.New("target resumed a stream of type %q with one of type %q", o.contentType, contentType))
	}
	o.contentType = contentType
	buffer := make([]byte, streamBufferBytes)
	var splitter eventstream.Splitter
	sequence := eventstream.After(o.lastEvent)
	for {
		n, err := body.Read(buffer)
		o.tracked.heard()
		events, oversized := splitter.Add(buffer[:n])
		if oversized != nil {
			return o.handleBrokenAnswer(ctx, target, oversized)
		}
		following := sequence.FollowingLen(events)
		isSound := following == len(events)
		if events = events[:following]; len(events) > 0 {
			if eventstream.HasContent(events) {
				if !h.eventsReceived(eventstream.LastID(events), contentType) {
					return errOvertaken.New("another target has sent the next event before")
				}
				if o.meter.eventReceived(time.Now(), events) {
					o.reportFirstEvent(o.choice)
				}
			}
			if failure := o.relayEvents(answer, events); failure != nil {
				return failure
			}
		}
		if !isSound {
			return o.handleBrokenAnswer(ctx, target, fleet.ErrOutOfOrder.New("an event does not follow event %q", o.lastEvent))
		}
		if errors.Is(err, io.EOF) && splitter.EndsWithinEvent() {
			return o.handleBrokenAnswer(ctx, target, fleet.ErrAnswerBroken.New("stream ended within an event"))
		}
		if errors.Is(err, io.EOF) {
			o.g.table.RecordSuccess(target)
			o.completed = o.lastEvent != o.attemptLastEvent
			return o.relayEvents(answer, splitter.Rest())
		}
		if err != nil {
			return o.handleBrokenAnswer(ctx, target, err)
		}
	}
}

// relayEvents sends complete events to the caller, after the head of the answer if that
// was not sent yet.
func (o *onlineRequest) relayEvents(answer *fleet.Answer, events []byte) error {
	if !o.answerBegun {
		o.answerBegun = true
		answer.Length = -1
		if err := o.sink.Begin(answer); err != nil {
			return err
		}
	}
	if len(events) == 0 {
		return nil
	}
	if id := eventstream.LastID(events); id != "" {
		o.lastEvent = id
	}
	return o.sink.Write(events)
}
