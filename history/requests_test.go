package history

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// step is one operation of a sequential history, or of one that overlaps with
// the next where open is set.
type step struct {
	in   RequestInput
	out  RequestOutput
	open bool
}

func operations(steps []step) []porcupine.Operation {
	var ops []porcupine.Operation
	for i, s := range steps {
		op := porcupine.Operation{ClientId: i, Input: s.in, Output: s.out, Call: int64(10 * i), Return: int64(10*i + 5)}
		if s.open {
			op.Return = int64(10 * len(steps))
		}
		ops = append(ops, op)
	}
	return ops
}

func call(body string, answer RequestAnswer, result string) step {
	return step{in: RequestInput{Key: "k", Body: body}, out: RequestOutput{Answer: answer, Result: result, Body: body}}
}

func read(answer RequestAnswer, result string) step {
	return step{in: RequestInput{Key: "k", Read: true}, out: RequestOutput{Answer: answer, Result: result, Body: "x"}}
}

func open(s step) step {
	s.open = true
	return s
}

func TestRequestModel(t *testing.T) {
	crossed := call("x", AnswerResult, "1")
	crossed.out.Body = "y"
	tests := []struct {
		name  string
		steps []step
		legal bool
	}{
		{"result and reads", []step{read(AnswerNone, ""), call("x", AnswerResult, "1"), read(AnswerResult, "1"), call("x", AnswerResult, "1")}, true},
		{"refused, then resent", []step{call("x", AnswerNotRun, ""), read(AnswerNone, ""), call("x", AnswerResult, "1")}, true},
		{"unknown becomes known late", []step{call("x", AnswerUnknown, ""), read(AnswerNone, ""), read(AnswerResult, "1")}, true},
		{"read while the call runs", []step{open(call("x", AnswerResult, "1")), read(AnswerNone, ""), read(AnswerResult, "1")}, true},
		{"not sent after a result", []step{call("x", AnswerResult, "1"), call("x", AnswerNotSent, "")}, true},
		{"another body", []step{call("x", AnswerResult, "1"), call("y", AnswerConflict, "")}, true},
		{"a second result", []step{call("x", AnswerResult, "1"), call("x", AnswerResult, "2")}, false},
		{"a read of another result", []step{call("x", AnswerResult, "1"), read(AnswerResult, "2")}, false},
		{"a result that goes away", []step{call("x", AnswerResult, "1"), read(AnswerNone, "")}, false},
		{"not_run after a result", []step{call("x", AnswerResult, "1"), call("x", AnswerNotRun, "")}, false},
		{"a result from nowhere", []step{call("x", AnswerNotRun, ""), read(AnswerResult, "1")}, false},
		{"an answer to another body", []step{crossed}, false},
		{"a conflict with itself", []step{call("x", AnswerResult, "1"), call("x", AnswerConflict, "")}, false},
		{"a result of the second body", []step{call("x", AnswerResult, "1"), call("y", AnswerResult, "2")}, false},
		{"an unknown that changes", []step{call("x", AnswerUnknown, ""), read(AnswerResult, "1"), read(AnswerResult, "2")}, false},
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
		steps []step
		runs  int
		legal bool
	}{
		{"ran once", []step{call("x", AnswerUnknown, ""), call("x", AnswerResult, "1")}, 1, true},
		{"refused", []step{call("x", AnswerNotRun, "")}, 0, true},
		{"unknown that ran", []step{call("x", AnswerUnknown, ""), call("x", AnswerNotRun, "")}, 1, true},
		{"ran twice", []step{call("x", AnswerResult, "1")}, 2, false},
		{"ran twice, unknown", []step{call("x", AnswerUnknown, "")}, 2, false},
		{"a result without a run", []step{call("x", AnswerResult, "1")}, 0, false},
		{"refused and ran", []step{call("x", AnswerNotRun, ""), read(AnswerNone, "")}, 1, false},
		{"not sent and ran", []step{call("x", AnswerNotSent, "")}, 1, false},
		{"conflict and ran", []step{call("x", AnswerConflict, "")}, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := CheckRuns(operations(tt.steps), map[string]int{"k": tt.runs})
			assert.Equal(t, err == nil, tt.legal, "%v", err)
		})
	}
}
