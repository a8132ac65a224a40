package history

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// RequestInput is one operation on a key: a call with a body, or a read of the
// key's result.
type RequestInput struct {
	Key string
	// Body identifies what a call asks for; it is empty for a read.
	Body string
	Read bool
}

// RequestAnswer says how an operation on a key ended.
type RequestAnswer string

// The answers of calls and reads.
const (
	// AnswerResult is a whole result.
	AnswerResult RequestAnswer = "result"
	// AnswerNotRun is a refusal that says not_run.
	AnswerNotRun RequestAnswer = "not_run"
	// AnswerNotSent says that the call reached no entry.
	AnswerNotSent RequestAnswer = "not_sent"
	// AnswerUnknown leaves open whether the call ran, now or later.
	AnswerUnknown RequestAnswer = "unknown"
	// AnswerConflict says that the key belongs to another body.
	AnswerConflict RequestAnswer = "conflict"
	// AnswerNone is a read that finds no result.
	AnswerNone RequestAnswer = "none"
	// AnswerError is a read that fails, or a call that says that the request has
	// ended without being able to show its result.
	AnswerError RequestAnswer = "error"
)

// RequestOutput is the end of an operation on a key.
type RequestOutput struct {
	Answer RequestAnswer
	// Result is the content of a result, and Body the call that it answers.
	Result string
	Body   string
	// Unretained is set for a result that the answer says is not kept.
	Unretained bool
}

// requestState is what the callers of one key can know of it.
type requestState struct {
	// done is set once a result was shown.
	done   bool
	result string
	body   string
	// uncertain is set once a call ended without a certain outcome.
	uncertain bool
	// calledBody lists the bodies of the calls so far.
	calledBody string
}

// RequestModel is the life of keys: a result stays, not_run is said only of a
// key without a result, and a call of unknown outcome may take effect at any
// time after its invocation.
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

// applyResult takes in a result that a call returned.
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

// CheckRuns compares a history of calls that must run at most once with how
// often the call of each key really ran. It fails with ErrHistory where one ran
// twice, one with a result did not run once, or one of which every answer said
// not_run ran.
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
			return ErrHistory.New("%s has a result and ran %d times", key, runs[key])
		case runs[key] > 0 && allNotRun(got):
			return ErrHistory.New("%s ran and every answer said not_run: %v", key, got)
		}
	}
	return nil
}

func allNotRun(answers []RequestAnswer) bool {
	return !slices.ContainsFunc(answers, func(a RequestAnswer) bool {
		return a == AnswerResult || a == AnswerUnknown || a == AnswerError
	})
}

// RequestAnswerOf tells from a problem document's error how a call ended.
func RequestAnswerOf(err error) RequestAnswer {
	p := protocol.ProblemOf(err)
	switch {
	case p == nil:
		return AnswerResult
	case p.Title == protocol.ProblemOf(protocol.ErrKeyConflict.New("")).Title:
		return AnswerConflict
	case errorx.IsOfType(err, protocol.ErrNotSent) && backend.IsDialError(errorx.Cast(err).Cause()): // the caller's own; a problem document has no cause
		return AnswerNotSent
	case p.Outcome == protocol.OutcomeNotRun:
		return AnswerNotRun
	case p.Outcome == protocol.OutcomeUnknown:
		return AnswerUnknown
	default:
		return AnswerError
	}
}
