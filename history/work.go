package history

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"
)

// WorkOp names an operation on a job whose results have positions.
type WorkOp string

// The operations on such a job.
const (
	WorkSubmit WorkOp = "submit"
	WorkFinish WorkOp = "finish"
	WorkEnd    WorkOp = "end"
	WorkRead   WorkOp = "read"
)

// WorkInput is one operation on the job that Job names.
type WorkInput struct {
	Job string
	Op  WorkOp
	// After is the position from which results are read.
	After int
	// Result is what finishes an item, as "item=text".
	Result string
}

// WorkOutcome is what the operation said of itself.
type WorkOutcome string

// The verdicts. WorkOpen stands for an operation that failed without a verdict
// or has not returned: it may have taken effect, or may do so until the end of
// the history.
const (
	WorkUnanswered WorkOutcome = ""
	WorkDone       WorkOutcome = "done"
	WorkRefused    WorkOutcome = "refused"
	WorkNotFound   WorkOutcome = "unknown"
)

// WorkOutput is what the operation returned.
type WorkOutput struct {
	Outcome WorkOutcome
	// Results are those read, joined by line feeds.
	Results string
}

// workState is the state of the model: one job and its results in their order.
type workState struct {
	Accepted bool
	Ended    bool
	Results  string
}

// WorkModel is the sequential life of a job at any number of gateways. It is
// accepted once, however often it is submitted; the first result of an item
// counts and keeps its position; a job that has ended takes no more. A reader
// may get fewer results than there are, never others, and is told that there is
// no such job or position only where there is none. A refusal has no effect.
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
		if s.Accepted && in.After <= s.count() {
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

// apply returns the state once the operation has taken effect.
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

func (s workState) count() int { return strings.Count(s.Results, "\n") }

// hasResultsAt reports whether the results stand at the positions from after on.
func (s workState) hasResultsAt(after int, results string) bool {
	if after > s.count() {
		return false
	}
	rest := s.Results
	for range after {
		_, rest, _ = strings.Cut(rest, "\n")
	}
	return strings.HasPrefix(rest, results)
}
