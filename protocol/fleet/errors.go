package fleet

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Errors of the store.
var (
	// ErrStoreUnavailable means that the store did nothing.
	ErrStoreUnavailable = protocol.Errors.NewType("store_unavailable")
	// ErrStoreOutcomeUnknown means that the store may have done what was asked, or may do it
	// later.
	ErrStoreOutcomeUnknown = protocol.Errors.NewType("store_outcome_unknown")
	// ErrTopicEndMoved means that a topic does not end where the append wanted it to.
	ErrTopicEndMoved = protocol.Errors.NewType("topic_end_moved")
	// ErrRecordsExpired means that records are no longer kept.
	ErrRecordsExpired = protocol.Errors.NewType("records_expired")
)

// Errors of callers' requests.
var (
	// ErrNoRoute means that no route takes the request.
	ErrNoRoute = protocol.Errors.NewType("no_route")
	// ErrRefused means that nothing of the request has run or ever will.
	ErrRefused = protocol.Errors.NewType("refused")
	// ErrQuotaExceeded is an ErrRefused of a job beyond its route's quota.
	ErrQuotaExceeded = ErrRefused.NewSubtype("quota")
	// ErrOutcomeUnknown means that the request may have run.
	ErrOutcomeUnknown = protocol.Errors.NewType("uncertain")
	// ErrTimedOut is an ErrUncertain at the end of the request's time.
	ErrTimedOut = ErrOutcomeUnknown.NewSubtype("timed_out")
	// ErrQuarantined is an ErrUncertain of a request that has crashed targets before,
	// and is sent to none any more.
	ErrQuarantined = ErrOutcomeUnknown.NewSubtype("quarantined")
	// ErrUnknownJob means that there is no such job or item.
	ErrUnknownJob = protocol.Errors.NewType("unknown_job")
	// ErrMalformed means that input cannot be read.
	ErrMalformed = protocol.Errors.NewType("malformed")
	// ErrTooLarge means that a body is over the limit.
	ErrTooLarge = protocol.Errors.NewType("too_large_body")
)

// Errors of attempts.
var (
	// ErrNotDelivered means that the target got nothing of the attempt.
	ErrNotDelivered = protocol.Errors.NewType("not_delivered")
	// ErrAnswerBroken means that the target may have run the attempt and its answer is
	// lost or incomplete.
	ErrAnswerBroken = protocol.Errors.NewType("answer_broken")
)

var propertyRetryAfter = errorx.RegisterProperty("retry after")

// WithRetryAfter adds to a refusal when the caller should come back.
func WithRetryAfter(err *errorx.Error, d time.Duration) *errorx.Error {
	return err.WithProperty(propertyRetryAfter, d)
}

// RetryAfterOf returns when the caller should come back, 0 where err does not say.
func RetryAfterOf(err error) time.Duration {
	d, _ := errorx.ExtractProperty(err, propertyRetryAfter)
	after, _ := d.(time.Duration)
	return after
}
