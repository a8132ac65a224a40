package history

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// JobOp names an operation on a job.
type JobOp string

// The operations on a job.
const (
	JobSubmit JobOp = "submit"
	JobCancel JobOp = "cancel"
	JobRead   JobOp = "read"
)

// JobInput is an operation on the job with the key Key.
type JobInput struct {
	Key string
	Op  JobOp
}

// JobOutput is the result of the operation. The zero value stands for an operation
// that failed or has not returned, and may or may not have taken effect.
type JobOutput struct {
	ID     string
	Status string
	// Done is the number of items with a result.
	Done int
}

// The values of JobOutput.Status.
const (
	jobRunning   = "running"
	jobCancelled = "cancelled"
	jobCompleted = "completed"
)

// jobState is the state of the model: a job from its submission on.
type jobState struct {
	ID     string
	Status string
	Done   int
	// MayGrow is set while the final number of results is unknown, after a cancel
	// without an answer.
	MayGrow bool
}

// JobModel is the sequential model of a job. A submission with the same key
// returns the same job; a job is cancelled only by a cancel; whichever of cancel
// and completion comes first is final; the number of results never decreases, and
// does not increase in a final job.
func JobModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionBy(func(input any) string { return input.(JobInput).Key }),
		Init:      func() []any { return []any{jobState{}} },
		Step:      stepJob,
		Equal:     func(a, b any) bool { return a == b },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%v -> %+v", input, output)
		},
	}
	return model.ToModel()
}

func stepJob(state, input, output any) []any {
	s, in, out := state.(jobState), input.(JobInput), output.(JobOutput)
	if out == (JobOutput{}) {
		return stepUnanswered(s, in)
	}
	if in.Op == JobSubmit && s.ID == "" {
		s = jobState{ID: out.ID, Status: jobRunning}
	}
	if s.ID != out.ID || out.Done < s.Done || !isLegalAnswer(s, in.Op, out) {
		return nil
	}
	return []any{jobState{ID: s.ID, Status: out.Status, Done: out.Done}}
}

// isLegalAnswer reports whether an operation on the job may return out.
func isLegalAnswer(s jobState, op JobOp, out JobOutput) bool {
	if s.Status != jobRunning {
		return out.Status == s.Status && (s.MayGrow || out.Done == s.Done)
	}
	switch out.Status {
	case jobCompleted:
		return true
	case jobRunning:
		return op != JobCancel
	default:
		return out.Status == jobCancelled && op == JobCancel
	}
}

// stepUnanswered returns the possible states after an operation without an answer.
func stepUnanswered(s jobState, in JobInput) []any {
	if in.Op != JobCancel || s.Status != jobRunning {
		return []any{s}
	}
	return []any{s, jobState{ID: s.ID, Status: jobCancelled, Done: s.Done, MayGrow: true}}
}
