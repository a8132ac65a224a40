package history

import (
	"testing"

	"gotest.tools/v3/assert"
)

// jobStep is one operation of a sequential history.
type jobStep struct {
	op  JobOp
	out JobOutput
}

func checkJobSteps(steps []jobStep) error {
	r := NewRecorder()
	for _, s := range steps {
		o := r.Invoke(0, JobInput{Key: "k", Op: s.op})
		if s.out != (JobOutput{}) {
			o.Return(s.out)
		}
	}
	return Check(JobModel(), r.Operations(JobOutput{}))
}

func TestJobModelAcceptsLegalHistories(t *testing.T) {
	running := JobOutput{ID: "a", Status: jobRunning}
	for name, steps := range map[string][]jobStep{
		"completes":             {{JobSubmit, running}, {JobSubmit, running}, {JobRead, JobOutput{"a", jobCompleted, 3}}, {JobCancel, JobOutput{"a", jobCompleted, 3}}},
		"cancelled":             {{JobSubmit, running}, {JobCancel, JobOutput{"a", jobCancelled, 2}}, {JobRead, JobOutput{"a", jobCancelled, 2}}},
		"cancel without answer": {{JobSubmit, running}, {JobCancel, JobOutput{}}, {JobRead, JobOutput{"a", jobRunning, 1}}, {JobRead, JobOutput{"a", jobCancelled, 2}}},
	} {
		t.Run(name, func(t *testing.T) { assert.NilError(t, checkJobSteps(steps)) })
	}
}

func TestJobModelRejectsIllegalHistories(t *testing.T) {
	running := JobOutput{ID: "a", Status: jobRunning}
	for name, steps := range map[string][]jobStep{
		"two jobs for one key":              {{JobSubmit, running}, {JobSubmit, JobOutput{"b", jobRunning, 0}}},
		"results decrease":                  {{JobSubmit, running}, {JobRead, JobOutput{"a", jobRunning, 5}}, {JobRead, JobOutput{"a", jobRunning, 4}}},
		"final job runs again":              {{JobSubmit, running}, {JobRead, JobOutput{"a", jobCompleted, 5}}, {JobRead, JobOutput{"a", jobRunning, 5}}},
		"completed job cancelled":           {{JobSubmit, running}, {JobRead, JobOutput{"a", jobCompleted, 5}}, {JobCancel, JobOutput{"a", jobCancelled, 5}}},
		"cancelled job completes":           {{JobSubmit, running}, {JobCancel, JobOutput{"a", jobCancelled, 2}}, {JobRead, JobOutput{"a", jobCompleted, 5}}},
		"cancelled without a cancel":        {{JobSubmit, running}, {JobRead, JobOutput{"a", jobCancelled, 2}}},
		"results increase after the cancel": {{JobSubmit, running}, {JobCancel, JobOutput{"a", jobCancelled, 2}}, {JobRead, JobOutput{"a", jobCancelled, 3}}},
		"cancel without effect":             {{JobSubmit, running}, {JobCancel, JobOutput{"a", jobRunning, 2}}},
		"read of a job never submitted":     {{JobRead, running}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, checkJobSteps(steps) != nil, "the illegal history was accepted")
		})
	}
}
