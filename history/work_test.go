package history

import (
	"testing"

	"gotest.tools/v3/assert"
)

// workStep is an operation of a sequential history.
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
	workSubmitted  = workStep{WorkInput{Op: WorkSubmit}, WorkOutput{Outcome: WorkDone}}
	workRefused    = workStep{WorkInput{Op: WorkSubmit}, WorkOutput{Outcome: WorkRefused}}
	workUnanswered = workStep{WorkInput{Op: WorkSubmit}, WorkOutput{}}
	workEnded      = workStep{WorkInput{Op: WorkEnd}, WorkOutput{Outcome: WorkDone}}
)

func finished(result string) workStep {
	return workStep{WorkInput{Op: WorkFinish, Result: result}, WorkOutput{Outcome: WorkDone}}
}

func readAt(after int, results string) workStep {
	return workStep{WorkInput{Op: WorkRead, After: after}, WorkOutput{WorkDone, results}}
}

func notFoundAt(after int) workStep {
	return workStep{WorkInput{Op: WorkRead, After: after}, WorkOutput{Outcome: WorkNotFound}}
}

func TestWorkModelAcceptsLegalHistories(t *testing.T) {
	for name, steps := range map[string][]workStep{
		"results keep their positions":  {workSubmitted, finished("b=1"), finished("a=2"), finished("b=3"), readAt(0, "b=1\na=2\n"), readAt(1, "a=2\n"), readAt(0, "b=1\n")},
		"refused, then accepted":        {workRefused, notFoundAt(0), workSubmitted, workSubmitted, readAt(0, "")},
		"an answer is lost":             {workUnanswered, notFoundAt(0)},
		"an answer is lost with effect": {workUnanswered, readAt(0, "")},
		"an ended job accepts no more":  {workSubmitted, finished("a=1"), workEnded, finished("b=2"), readAt(0, "a=1\n"), readAt(2, "")},
	} {
		t.Run(name, func(t *testing.T) { assert.NilError(t, checkWorkSteps(steps)) })
	}
}

func TestWorkModelRejectsIllegalHistories(t *testing.T) {
	for name, steps := range map[string][]workStep{
		"accepted job is unknown":             {workSubmitted, notFoundAt(0)},
		"position is unknown":                 {workSubmitted, finished("a=1"), readAt(1, ""), notFoundAt(1)},
		"position after the results":          {workSubmitted, finished("a=1"), notFoundAt(2)},
		"result at a later position":          {workSubmitted, finished("a=1"), readAt(1, "a=1\n")},
		"refused job is found":                {workRefused, readAt(0, "")},
		"result changes its position":         {workSubmitted, finished("a=1"), finished("b=2"), readAt(0, "b=2\n")},
		"result changes":                      {workSubmitted, finished("a=1"), finished("a=2"), readAt(0, "a=2\n")},
		"item has two results":                {workSubmitted, finished("a=1"), finished("a=2"), readAt(0, "a=1\na=2\n")},
		"ended job takes a result":            {workSubmitted, workEnded, finished("a=1"), readAt(0, "a=1\n")},
		"result that was not written":         {workSubmitted, readAt(0, "a=1\n")},
		"end of a job that was not submitted": {workEnded},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, checkWorkSteps(steps) != nil, "the illegal history was accepted")
		})
	}
}
