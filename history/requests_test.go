package history

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// requestStep is one operation of a sequential history, or of one that overlaps with
// the next where open is set.
type requestStep struct {
	in       RequestInput
	out      RequestOutput
	overlaps bool
}

func operations(steps []requestStep) []porcupine.Operation {
	var ops []porcupine.Operation
	for i, s := range steps {
		op := porcupine.Operation{ClientId: i, Input: s.in, Output: s.out, Call: int64(10 * i), Return: int64(10*i + 5)}
		if s.overlaps {
			op.Return = int64(10 * len(steps))
		}
		ops = append(ops, op)
	}
	return ops
}

func call(body string, answer RequestAnswer, result string) requestStep {
	return requestStep{in: RequestInput{Key: "k", Body: body}, out: RequestOutput{Answer: answer, Result: result, Body: body}}
}

func read(answer RequestAnswer, result string) requestStep {
	return requestStep{in: RequestInput{Key: "k", Read: true}, out: RequestOutput{Answer: answer, Result: result, Body: "x"}}
}

func overlapping(s requestStep) requestStep {
	s.overlaps = true
	return s
}

func TestRequestModel(t *testing.T) {
	crossed := call("x", AnswerResult, "1")
	crossed.out.Body = "y"
	tests := []struct {
		name  string
		steps []requestStep
		legal bool
	}{
		{"result and reads", []requestStep{read(AnswerNone, ""), call("x", AnswerResult, "1"), read(AnswerResult, "1"), call("x", AnswerResult, "1")}, true},
		{"refused, then resent", []requestStep{call("x", AnswerNotRun, ""), read(AnswerNone, ""), call("x", AnswerResult, "1")}, true},
		{"unknown becomes known late", []requestStep{call("x", AnswerUnknown, ""), read(AnswerNone, ""), read(AnswerResult, "1")}, true},
		{"read while the call runs", []requestStep{overlapping(call("x", AnswerResult, "1")), read(AnswerNone, ""), read(AnswerResult, "1")}, true},
		{"not sent after a result", []requestStep{call("x", AnswerResult, "1"), call("x", AnswerNotSent, "")}, true},
		{"another body", []requestStep{call("x", AnswerResult, "1"), call("y", AnswerConflict, "")}, true},
		{"a second result", []requestStep{call("x", AnswerResult, "1"), call("x", AnswerResult, "2")}, false},
		{"a read of another result", []requestStep{call("x", AnswerResult, "1"), read(AnswerResult, "2")}, false},
		{"a result that goes away", []requestStep{call("x", AnswerResult, "1"), read(AnswerNone, "")}, false},
		{"not_run after a result", []requestStep{call("x", AnswerResult, "1"), call("x", AnswerNotRun, "")}, false},
		{"a result from nowhere", []requestStep{call("x", AnswerNotRun, ""), read(AnswerResult, "1")}, false},
		{"an answer to another body", []requestStep{crossed}, false},
		{"a conflict with itself", []requestStep{call("x", AnswerResult, "1"), call("x", AnswerConflict, "")}, false},
		{"a result of the second body", []requestStep{call("x", AnswerResult, "1"), call("y", AnswerResult, "2")}, false},
		{"an unknown that changes", []requestStep{call("x", AnswerUnknown, ""), read(AnswerResult, "1"), read(AnswerResult, "2")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Check(RequestModel, operations(tt.steps))
			assert.Equal(t, err == nil, tt.legal, "%v", err)
		})
	}
}

func TestCheckRuns(t *testing.T) {
	tests := []struct {
		name  string
		steps []requestStep
		runs  int
		legal bool
	}{
		{"ran once", []requestStep{call("x", AnswerUnknown, ""), call("x", AnswerResult, "1")}, 1, true},
		{"refused", []requestStep{call("x", AnswerNotRun, "")}, 0, true},
		{"unknown that ran", []requestStep{call("x", AnswerUnknown, ""), call("x", AnswerNotRun, "")}, 1, true},
		{"ran twice", []requestStep{call("x", AnswerResult, "1")}, 2, false},
		{"ran twice, unknown", []requestStep{call("x", AnswerUnknown, "")}, 2, false},
		{"a result without a run", []requestStep{call("x", AnswerResult, "1")}, 0, false},
		{"refused and ran", []requestStep{call("x", AnswerNotRun, ""), read(AnswerNone, "")}, 1, false},
		{"not sent and ran", []requestStep{call("x", AnswerNotSent, "")}, 1, false},
		{"conflict and ran", []requestStep{call("x", AnswerConflict, "")}, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := CheckRuns(operations(tt.steps), map[string]int{"k": tt.runs})
			assert.Equal(t, err == nil, tt.legal, "%v", err)
		})
	}
}
