package history

import (
	"testing"

	"gotest.tools/v3/assert"
)

// workStep is one operation of a sequential history.
type workStep struct {
	in  WorkInput
	out WorkOutput
}

func checkWorkSteps(steps []workStep) error {
	r := NewRecorder()
	for _, s := range steps {
		s.in.Job = "j"
		o := r.Invoke(0, s.in)
		if s.out.Outcome != WorkUnanswered {
			o.Return(s.out)
		}
	}
	return Check(WorkModel(), r.Operations(WorkOutput{}))
}

var (
	workSubmitted = workStep{WorkInput{Op: WorkSubmit}, WorkOutput{Outcome: WorkDone}}
	workRefused   = workStep{WorkInput{Op: WorkSubmit}, WorkOutput{Outcome: WorkRefused}}
	workOpen      = workStep{WorkInput{Op: WorkSubmit}, WorkOutput{}}
	workEnded     = workStep{WorkInput{Op: WorkEnd}, WorkOutput{Outcome: WorkDone}}
)

func finished(result string) workStep {
	return workStep{WorkInput{Op: WorkFinish, Result: result}, WorkOutput{Outcome: WorkDone}}
}

func readAt(after int, results string) workStep {
	return workStep{WorkInput{Op: WorkRead, After: after}, WorkOutput{WorkDone, results}}
}

func unknownAt(after int) workStep {
	return workStep{WorkInput{Op: WorkRead, After: after}, WorkOutput{Outcome: WorkNotFound}}
}

func TestWorkModelAcceptsLegalHistories(t *testing.T) {
	for name, steps := range map[string][]workStep{
		"results keep their places":     {workSubmitted, finished("b=1"), finished("a=2"), finished("b=3"), readAt(0, "b=1\na=2\n"), readAt(1, "a=2\n"), readAt(0, "b=1\n")},
		"refused, then accepted":        {workRefused, unknownAt(0), workSubmitted, workSubmitted, readAt(0, "")},
		"an answer is lost":             {workOpen, unknownAt(0)},
		"an answer is lost with effect": {workOpen, readAt(0, "")},
		"an end takes no more":          {workSubmitted, finished("a=1"), workEnded, finished("b=2"), readAt(0, "a=1\n"), unknownAt(2)},
	} {
		t.Run(name, func(t *testing.T) { assert.NilError(t, checkWorkSteps(steps)) })
	}
}

func TestWorkModelFindsForgedFaults(t *testing.T) {
	for name, steps := range map[string][]workStep{
		"accepted job is unknown":        {workSubmitted, unknownAt(0)},
		"position is unknown":            {workSubmitted, finished("a=1"), readAt(1, ""), unknownAt(1)},
		"refused job is there":           {workRefused, readAt(0, "")},
		"result moves":                   {workSubmitted, finished("a=1"), finished("b=2"), readAt(0, "b=2\n")},
		"result changes":                 {workSubmitted, finished("a=1"), finished("a=2"), readAt(0, "a=2\n")},
		"item stands twice":              {workSubmitted, finished("a=1"), finished("a=2"), readAt(0, "a=1\na=2\n")},
		"ended job takes a result":       {workSubmitted, workEnded, finished("a=1"), readAt(0, "a=1\n")},
		"result that nobody wrote":       {workSubmitted, readAt(0, "a=1\n")},
		"end of a job that is not there": {workEnded},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, checkWorkSteps(steps) != nil, "the forged fault was not found")
		})
	}
}
