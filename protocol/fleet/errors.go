package fleet

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Errors of the store.
var (
	// ErrStoreUnavailable means that the store did not perform the operation.
	ErrStoreUnavailable = protocol.Errors.NewType("store_unavailable")
	// ErrStoreOutcomeUnknown means that the store may have performed the operation, or
	// may perform it later.
	ErrStoreOutcomeUnknown = protocol.Errors.NewType("store_outcome_unknown")
	// ErrUnstorable means that the store will never take the records as they are, for their
	// size or that of a key. It has appended none of them.
	ErrUnstorable = protocol.Errors.NewType("unstorable")
	// ErrTopicEndMoved means that a topic does not end at the offset that the append expected.
	ErrTopicEndMoved = protocol.Errors.NewType("topic_end_moved")
	// ErrRecordsExpired means that the records are no longer retained.
	ErrRecordsExpired = protocol.Errors.NewType("records_expired")
)

// Errors of callers' requests.
var (
	// ErrNoRoute means that no route matches the request.
	ErrNoRoute = protocol.Errors.NewType("no_route")
	// ErrNoAccess means that no workspace holds the request's key.
	ErrNoAccess = protocol.Errors.NewType("no_access")
	// ErrKeyUnknown is an ErrNoAccess of a key that no workspace has had lately, ErrKeyRevoked
	// of one that was removed.
	ErrKeyUnknown = ErrNoAccess.NewSubtype("unknown_key")
	ErrKeyRevoked = ErrNoAccess.NewSubtype("revoked_key")
	// ErrRefused means that no part of the request has run or will run.
	ErrRefused = protocol.Errors.NewType("refused")
	// ErrQuotaExceeded is an ErrRefused for a job that exceeds its route's quota, or for a
	// request that exceeds its workspace's rate.
	ErrQuotaExceeded = ErrRefused.NewSubtype("quota")
	// ErrConfigurationTooOld is an ErrRefused of a gateway that has not read the configuration
	// lately enough to judge the request's key.
	ErrConfigurationTooOld = ErrRefused.NewSubtype("configuration_too_old")
	// ErrOutcomeUnknown means that the request may have run.
	ErrOutcomeUnknown = protocol.Errors.NewType("uncertain")
	// ErrTimedOut is an ErrOutcomeUnknown of a request that reached its deadline.
	ErrTimedOut = ErrOutcomeUnknown.NewSubtype("timed_out")
	// ErrQuarantined is an ErrOutcomeUnknown of a request that has crashed targets
	// before and is no longer sent to any.
	ErrQuarantined = ErrOutcomeUnknown.NewSubtype("quarantined")
	// ErrUnknownJob means that the job or item does not exist.
	ErrUnknownJob = protocol.Errors.NewType("unknown_job")
	// ErrMalformed means that the input cannot be parsed.
	ErrMalformed = protocol.Errors.NewType("malformed")
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = protocol.Errors.NewType("too_large_body")
)

// Errors of attempts.
var (
	// ErrNotDelivered means that the target received no part of the attempt.
	ErrNotDelivered = protocol.Errors.NewType("not_delivered")
	// ErrAnswerBroken means that the target may have run the attempt and its answer is
	// lost or incomplete.
	ErrAnswerBroken = protocol.Errors.NewType("answer_broken")
	// ErrOutOfOrder is an ErrAnswerBroken of a stream whose events do not follow each other.
	ErrOutOfOrder = ErrAnswerBroken.NewSubtype("out_of_order")
)

var propertyRetryAfter = errorx.RegisterProperty("retry after")

// WithRetryAfter adds to a refusal the time after which the caller should retry.
func WithRetryAfter(err *errorx.Error, d time.Duration) *errorx.Error {
	return err.WithProperty(propertyRetryAfter, d)
}

// RetryAfterOf returns the time after which the caller should retry, 0 if err has none.
func RetryAfterOf(err error) time.Duration {
	d, _ := errorx.ExtractProperty(err, propertyRetryAfter)
	after, _ := d.(time.Duration)
	return after
}
