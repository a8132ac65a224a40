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

// JobInput is one operation on the job that Key names.
type JobInput struct {
	Key string
	Op  JobOp
}

// JobOutput is what the operation returned. The zero value stands for an
// operation that failed or has not returned: it may have taken effect or not.
type JobOutput struct {
	ID     string
	Status string
	// Done is the number of items with a result.
	Done int
}

// The statuses that JobOutput carries.
const (
	jobRunning   = "running"
	jobCancelled = "cancelled"
	jobCompleted = "completed"
)

// jobState is the state of the model: one job from its submission on.
type jobState struct {
	ID     string
	Status string
	Done   int
	// MayGrow is set while the final number of results is not known, after a
	// cancel without an answer.
	MayGrow bool
}

// JobModel is the sequential life of a job. A submission with the same key
// gives the same job; a job is cancelled only by a cancel; the first of cancel
// and completion is final; the number of results never shrinks, and does not
// grow in a final job.
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

// isLegalAnswer reports whether an operation on the job may answer out.
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

// stepUnanswered gives the states after an operation whose answer is not known.
func stepUnanswered(s jobState, in JobInput) []any {
	if in.Op != JobCancel || s.Status != jobRunning {
		return []any{s}
	}
	return []any{s, jobState{ID: s.ID, Status: jobCancelled, Done: s.Done, MayGrow: true}}
}
