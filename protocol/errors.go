package protocol

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Outcome says what became of a request, as far as the sender knows.
type Outcome string

// The outcomes that a problem document or a stored result can carry.
const (
	// OutcomeNotRun means that no target has run the request or ever will
	// under this attempt.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeCompleted means that the request ran and its answer is whole.
	OutcomeCompleted Outcome = "completed"
	// OutcomeFailed means that the request ran, or was judged, and can never succeed.
	OutcomeFailed Outcome = "failed"
)

// Errors is the namespace of every error type in this package.
var Errors = errorx.NewNamespace("sycamoretally")

// Error types that cross process boundaries. The HTTP status and the outcome
// of each stand in the table faults.
var (
	ErrBadRequest       = Errors.NewType("bad_request")
	ErrUnauthorized     = Errors.NewType("unauthorized")
	ErrNotFound         = Errors.NewType("not_found")
	ErrTooLarge         = Errors.NewType("too_large")
	ErrKeyRequired      = Errors.NewType("key_required")
	ErrKeyConflict      = Errors.NewType("key_conflict")
	ErrVersionConflict  = Errors.NewType("version_conflict")
	ErrBusy             = Errors.NewType("busy")
	ErrQuotaExceeded    = Errors.NewType("quota_exceeded")
	ErrLeaving          = Errors.NewType("leaving")
	ErrNoTarget         = Errors.NewType("no_target")
	ErrNotSent          = Errors.NewType("not_sent")
	ErrAttemptVoid      = Errors.NewType("attempt_void")
	ErrKeyInUse         = Errors.NewType("key_in_use")
	ErrNoResult         = Errors.NewType("no_result")
	ErrResultUnreadable = Errors.NewType("result_unreadable")
	ErrLogUnavailable   = Errors.NewType("log_unavailable")
	ErrAnswerLost       = Errors.NewType("answer_lost")
	ErrOffsetExpired    = Errors.NewType("offset_expired")
	ErrTruncated        = Errors.NewType("truncated")
	ErrTargetFailed     = Errors.NewType("target_failed")
	ErrOutcomeUnknown   = Errors.NewType("outcome_unknown")
	// ErrMoved ends an attempt that gives its slot to shorter work; its request goes
	// on at another target.
	ErrMoved         = Errors.NewType("moved")
	ErrCancelled     = Errors.NewType("cancelled")
	ErrQuarantined   = Errors.NewType("quarantined")
	ErrTargetCrashed = Errors.NewType("target_crashed")
	ErrCrashUnstored = Errors.NewType("crash_unstored")
	ErrTimeout       = Errors.NewType("timeout", errorx.Timeout())
	ErrInternal      = Errors.NewType("internal")
)

// ErrConnectionLost is an ErrTruncated whose connection ended or carried no
// heartbeat: the process at its other end has gone, or the way to it, whatever
// load its target has. It does not cross processes.
var ErrConnectionLost = ErrTruncated.NewSubtype("connection_lost")

// VersionConflict says which object a stale change named and shows both versions.
type VersionConflict struct {
	Kind ObjectKind `json:"kind" msgpack:"k"`
	Name string     `json:"name" msgpack:"n"`
	// Base is the version that the change was made from.
	Base Position `json:"base" msgpack:"b"`
	// Current is the version in force.
	Current Position `json:"current" msgpack:"c"`
}

var propertyConflict = errorx.RegisterProperty("version conflict")

// NewVersionConflict returns an ErrVersion that carries c.
func NewVersionConflict(c VersionConflict) error {
	return ErrVersionConflict.New("%s %q was changed from version %s, but its version is %s", c.Kind, c.Name, c.Base, c.Current).
		WithProperty(propertyConflict, c)
}

// ConflictOf returns the conflict that err carries, nil where it carries none.
func ConflictOf(err error) *VersionConflict {
	value, found := errorx.ExtractProperty(err, propertyConflict)
	if !found {
		return nil
	}
	c := value.(VersionConflict)
	return &c
}

type problemSpec struct {
	errorType *errorx.Type
	status    int
	outcome   Outcome
}

// problemSpecs lists every error type with its HTTP status and its outcome. The
// first entry whose type matches an error describes it.
var problemSpecs = []problemSpec{
	{ErrBadRequest, http.StatusBadRequest, OutcomeNotRun},
	{ErrUnauthorized, http.StatusUnauthorized, OutcomeNotRun},
	{ErrNotFound, http.StatusNotFound, OutcomeNotRun},
	{ErrTooLarge, http.StatusRequestEntityTooLarge, OutcomeNotRun},
	{ErrKeyRequired, http.StatusBadRequest, OutcomeNotRun},
	{ErrKeyConflict, http.StatusConflict, OutcomeNotRun},
	{ErrVersionConflict, http.StatusConflict, OutcomeNotRun},
	{ErrBusy, http.StatusServiceUnavailable, OutcomeNotRun},
	{ErrQuotaExceeded, http.StatusTooManyRequests, OutcomeNotRun},
	{ErrLeaving, http.StatusServiceUnavailable, OutcomeNotRun},
	{ErrNoTarget, http.StatusServiceUnavailable, OutcomeNotRun},
	{ErrNotSent, http.StatusServiceUnavailable, OutcomeNotRun},
	{ErrAttemptVoid, http.StatusServiceUnavailable, OutcomeNotRun},
	{ErrKeyInUse, http.StatusGatewayTimeout, OutcomeUnknown},
	{ErrNoResult, http.StatusNotFound, OutcomeUnknown},
	{ErrResultUnreadable, http.StatusServiceUnavailable, OutcomeCompleted},
	{ErrLogUnavailable, http.StatusServiceUnavailable, OutcomeNotRun},
	{ErrAnswerLost, http.StatusBadGateway, OutcomeUnknown},
	{ErrOffsetExpired, http.StatusGone, OutcomeNotRun},
	{ErrTruncated, http.StatusBadGateway, OutcomeUnknown},
	{ErrTargetFailed, http.StatusBadGateway, OutcomeUnknown},
	{ErrOutcomeUnknown, http.StatusGatewayTimeout, OutcomeUnknown},
	{ErrMoved, http.StatusServiceUnavailable, OutcomeUnknown},
	{ErrCancelled, http.StatusConflict, OutcomeFailed},
	{ErrQuarantined, http.StatusUnprocessableEntity, OutcomeFailed},
	{ErrTargetCrashed, http.StatusBadGateway, OutcomeUnknown},
	{ErrCrashUnstored, http.StatusBadGateway, OutcomeUnknown},
	{ErrTimeout, http.StatusGatewayTimeout, OutcomeUnknown},
	{ErrInternal, http.StatusInternalServerError, OutcomeUnknown},
}

// RetryAfterBusy is the delay that refusals advise in their Retry-After header.
const RetryAfterBusy = time.Second

// Problem is an error in RFC 9457 form, with the member outcome added. It
// travels in HTTP bodies and in peer replies.
type Problem struct {
	Type    string  `json:"type" msgpack:"t"`
	Title   string  `json:"title" msgpack:"n"`
	Status  int     `json:"status" msgpack:"s"`
	Detail  string  `json:"detail,omitempty" msgpack:"d,omitempty"`
	Outcome Outcome `json:"outcome" msgpack:"o"`
	// Key names the request that the problem is about, where it has one.
	Key string `json:"key,omitempty" msgpack:"k,omitempty"`
	// Conflict shows both versions where a change was made from a stale one.
	Conflict *VersionConflict `json:"conflict,omitempty" msgpack:"v,omitempty"`
}

const problemTypePrefix = "urn:sycamoretally:problem:"

// ProblemOf describes err. An error of a foreign type becomes ErrInternal. A
// nil error gives nil.
func ProblemOf(err error) *Problem {
	if err == nil {
		return nil
	}
	found := problemSpec{ErrInternal, http.StatusInternalServerError, OutcomeUnknown}
	for _, f := range problemSpecs {
		if errorx.IsOfType(err, f.errorType) {
			found = f
			break
		}
	}
	name := found.errorType.FullName()[len("sycamoretally."):]
	return &Problem{
		Type:     problemTypePrefix + name,
		Title:    name,
		Status:   found.status,
		Detail:   problemDetail(err),
		Outcome:  found.outcome,
		Conflict: ConflictOf(err),
	}
}

func problemDetail(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

// Err turns a problem received from a peer back into an error of its type.
// A nil problem gives nil.
func (p *Problem) Err() error {
	if p == nil {
		return nil
	}
	if p.Conflict != nil {
		return NewVersionConflict(*p.Conflict)
	}
	for _, f := range problemSpecs {
		if problemTypePrefix+f.errorType.FullName()[len("sycamoretally."):] == p.Type {
			return f.errorType.New("%s", p.Detail)
		}
	}
	return ErrInternal.New("%s: %s", p.Title, p.Detail)
}

// OutcomeOf gives the outcome that err stands for; nil stands for completed.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeCompleted
	}
	return ProblemOf(err).Outcome
}
