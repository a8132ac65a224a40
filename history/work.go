package history

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"
)

// WorkOp is an operation on a job whose results are read by position.
type WorkOp string

// The operations on a job with positions.
const (
	WorkSubmit WorkOp = "submit"
	WorkFinish WorkOp = "finish"
	WorkEnd    WorkOp = "end"
	WorkRead   WorkOp = "read"
)

// WorkInput is an operation on the job Job.
type WorkInput struct {
	Job string
	Op  WorkOp
	// After is the position from which a read returns results.
	After int
	// Result is the result that finishes an item, in the form "item=text".
	Result string
}

// WorkOutcome is the outcome that an operation returned.
type WorkOutcome string

// The outcomes. WorkUnanswered stands for an operation that failed without an
// outcome or has not returned: it may have taken effect, or may do so until the end
// of the history. WorkNotFound means that there is no such job.
const (
	WorkUnanswered WorkOutcome = ""
	WorkDone       WorkOutcome = "done"
	WorkRefused    WorkOutcome = "refused"
	WorkNotFound   WorkOutcome = "unknown"
)

// WorkOutput is the result of an operation.
type WorkOutput struct {
	Outcome WorkOutcome
	// Results are the results read, each followed by a line feed.
	Results string
}

// workState is the state of the model: a job and its results in order.
type workState struct {
	Accepted bool
	Ended    bool
	Results  string
}

// WorkModel is the sequential model of a job that any number of gateways serve. The
// job is accepted once, however often it is submitted; the first result of an item
// is final and keeps its position; a job that has ended accepts no more results. A
// read may return fewer results than there are but never others, none from a position
// without a result, and WorkNotFound only if the job does not exist. A refusal has no
// effect.
func WorkModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionBy(func(input any) string { return input.(WorkInput).Job }),
		Init:      func() []any { return []any{workState{}} },
		Step:      stepWork,
		Equal:     func(a, b any) bool { return a == b },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%v -> %+v", input, output)
		},
	}
	return model.ToModel()
}

func stepWork(state, input, output any) []any {
	s, in, out := state.(workState), input.(WorkInput), output.(WorkOutput)
	switch out.Outcome {
	case WorkRefused:
		return []any{s}
	case WorkUnanswered:
		return []any{s, s.apply(in)}
	case WorkNotFound:
		if s.Accepted {
			return nil
		}
		return []any{s}
	}
	if in.Op == WorkRead {
		if !s.Accepted || !s.hasResultsAt(in.After, out.Results) {
			return nil
		}
		return []any{s}
	}
	if in.Op == WorkEnd && !s.Accepted {
		return nil
	}
	return []any{s.apply(in)}
}

// apply returns the state after the operation has taken effect.
func (s workState) apply(in WorkInput) workState {
	switch in.Op {
	case WorkSubmit:
		s.Accepted = true
	case WorkEnd:
		s.Ended = s.Ended || s.Accepted
	case WorkFinish:
		item, _, _ := strings.Cut(in.Result, "=")
		if s.Accepted && !s.Ended && !strings.Contains("\n"+s.Results, "\n"+item+"=") {
			s.Results += in.Result + "\n"
		}
	}
	return s
}

// hasResultsAt reports whether the job has the results at the positions from after
// on.
func (s workState) hasResultsAt(after int, results string) bool {
	rest := s.Results
	for range after {
		_, rest, _ = strings.Cut(rest, "\n")
	}
	return strings.HasPrefix(rest, results)
}
