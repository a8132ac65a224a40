package history

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Answer records the request of one caller and the answer that it got.
type Answer struct {
	// Request identifies the request, and Want is its complete answer.
	Request string
	Want    string
	// Got is the text received, complete or up to Err.
	Got string
	Err error
	// Retained is the result of a later read by key, empty if none is retained.
	Retained string
}

// CheckAnswers checks that each caller got its own complete answer, or a prefix of
// it and an error of a known type, and that a later read of a completed request
// gave the same answer. It fails with ErrHistory.
func CheckAnswers(answers []Answer) error {
	for _, a := range answers {
		if err := a.check(); err != nil {
			return err
		}
	}
	return nil
}

func (a *Answer) check() error {
	switch {
	case a.Err == nil && xxhash.Sum64String(a.Got) != xxhash.Sum64String(a.Want):
		return ErrHistory.New("%s: got %d bytes without an error, which differ from its answer of %d bytes", a.Request, len(a.Got), len(a.Want))
	case a.Err != nil && protocol.ProblemOf(a.Err).Title == internalTitle:
		return ErrHistory.New("%s: got an internal error instead of a typed one: %v", a.Request, a.Err)
	case a.Err != nil && !isPrefix(a.Got, a.Want):
		return ErrHistory.New("%s: text before the error is not a prefix of its answer", a.Request)
	case a.Retained != "" && a.Retained != a.Want:
		return ErrHistory.New("%s: a later read gave a different answer", a.Request)
	}
	return nil
}

// internalTitle is the title of internal errors, which tell a caller no cause.
var internalTitle = protocol.ProblemOf(protocol.ErrInternal.New("")).Title

func isPrefix(part, whole string) bool {
	return len(part) <= len(whole) && whole[:len(part)] == part
}
