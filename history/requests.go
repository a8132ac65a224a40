package history

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// RequestInput is an operation on a key: a call with a body, or a read of the key's
// result.
type RequestInput struct {
	Key string
	// Body identifies the request of a call; it is empty for a read.
	Body string
	Read bool
}

// RequestAnswer is the outcome of an operation on a key.
type RequestAnswer string

// The answers of calls and reads.
const (
	// AnswerResult is a complete result.
	AnswerResult RequestAnswer = "result"
	// AnswerNotRun is a refusal with the outcome not_run.
	AnswerNotRun RequestAnswer = "not_run"
	// AnswerNotSent means that the call reached no entry.
	AnswerNotSent RequestAnswer = "not_sent"
	// AnswerUnknown leaves it unknown whether the call ran or will run.
	AnswerUnknown RequestAnswer = "unknown"
	// AnswerConflict means that the key was used with another body.
	AnswerConflict RequestAnswer = "conflict"
	// AnswerNone means that a read found no result.
	AnswerNone RequestAnswer = "none"
	// AnswerError means that a read failed, or that a call found the request ended
	// but could not return its result.
	AnswerError RequestAnswer = "error"
)

// RequestOutput is the result of an operation on a key.
type RequestOutput struct {
	Answer RequestAnswer
	// Result is the content of a result, and Body the call that it answers.
	Result string
	Body   string
	// Unretained is set if the answer says that its result is not retained.
	Unretained bool
}

// requestState is the state of a key as far as its callers can observe it.
type requestState struct {
	// done is set once a result was returned.
	done   bool
	result string
	body   string
	// uncertain is set once a call ended with an unknown outcome.
	uncertain bool
	// calledBody is the body of the calls so far, or "several" if it differed.
	calledBody string
}

// RequestModel is the sequential model of a key: a result never changes, not_run is
// returned only for a key without a result, and a call with an unknown outcome may
// take effect at any time after its invocation.
var RequestModel = porcupine.Model{
	Partition: partitionBy(func(input any) string { return input.(RequestInput).Key }),
	Init:      func() any { return requestState{} },
	Step: func(state, input, output any) (bool, any) {
		return stepRequest(state.(requestState), input.(RequestInput), output.(RequestOutput))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

func stepRequest(s requestState, in RequestInput, out RequestOutput) (bool, requestState) {
	if out.Answer == AnswerNotSent {
		return true, s
	}
	if in.Read {
		return stepRead(s, out)
	}
	other := s.calledBody != "" && s.calledBody != in.Body
	if s.calledBody == "" {
		s.calledBody = in.Body
	} else if other {
		s.calledBody = "several"
	}
	switch out.Answer {
	case AnswerResult:
		return s.applyResult(in, out)
	case AnswerNotRun:
		return !s.done, s
	case AnswerConflict:
		return other, s
	case AnswerError:
		s.uncertain = true
		return true, s
	default:
		s.uncertain = true
		return true, s
	}
}

// applyResult applies a result that a call returned.
func (s requestState) applyResult(in RequestInput, out RequestOutput) (bool, requestState) {
	if out.Body != in.Body {
		return false, s
	}
	if out.Unretained {
		s.uncertain = true
		return true, s
	}
	if s.done {
		return s.result == out.Result && s.body == out.Body, s
	}
	s.done, s.result, s.body = true, out.Result, out.Body
	return true, s
}

func stepRead(s requestState, out RequestOutput) (bool, requestState) {
	switch out.Answer {
	case AnswerResult:
		if s.done {
			return s.result == out.Result, s
		}
		s.done, s.result, s.body = true, out.Result, out.Body
		return s.uncertain, s
	case AnswerNone:
		return !s.done, s
	default:
		return true, s
	}
}

// CheckRuns compares a history of calls that must run at most once with the actual
// number of runs of each key. It fails with ErrHistory if a key ran more than once,
// a key with a result did not run exactly once, or a key ran although every answer
// said not_run.
func CheckRuns(ops []porcupine.Operation, runs map[string]int) error {
	answers := map[string][]RequestAnswer{}
	for _, op := range ops {
		in, answer := op.Input.(RequestInput), op.Output.(RequestOutput).Answer
		if !in.Read || answer == AnswerResult {
			answers[in.Key] = append(answers[in.Key], answer)
		}
	}
	for key, n := range runs {
		if n > 1 {
			return ErrHistory.New("%s ran %d times", key, n)
		}
	}
	for key, got := range answers {
		switch {
		case slices.Contains(got, AnswerResult) && runs[key] != 1:
			return ErrHistory.New("%s has a result but ran %d times", key, runs[key])
		case runs[key] > 0 && allNotRun(got):
			return ErrHistory.New("%s ran although every answer said not_run: %v", key, got)
		}
	}
	return nil
}

// allNotRun reports whether no answer allows that the call has run.
func allNotRun(answers []RequestAnswer) bool {
	return !slices.ContainsFunc(answers, func(a RequestAnswer) bool {
		return a == AnswerResult || a == AnswerUnknown || a == AnswerError
	})
}

// RequestAnswerOf returns the outcome of a call from its error, which may be a
// problem document.
func RequestAnswerOf(err error) RequestAnswer {
	p := protocol.ProblemOf(err)
	switch {
	case p == nil:
		return AnswerResult
	case p.Title == protocol.ProblemOf(protocol.ErrKeyConflict.New("")).Title:
		return AnswerConflict
	case errorx.IsOfType(err, protocol.ErrNotSent) && backend.IsDialError(errorx.Cast(err).Cause()): // raised by the client itself; an error from a problem document has no cause
		return AnswerNotSent
	case p.Outcome == protocol.OutcomeNotRun:
		return AnswerNotRun
	case p.Outcome == protocol.OutcomeUnknown:
		return AnswerUnknown
	default:
		return AnswerError
	}
}
