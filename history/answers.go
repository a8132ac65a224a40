package history

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Answer is what one caller asked and got.
type Answer struct {
	// Request names the request, and Want is the whole answer to it.
	Request string
	Want    string
	// Got is the text received, in whole or up to Err.
	Got string
	Err error
	// Retained is what a later read under the key gave; empty where nothing is kept.
	Retained string
}

// CheckAnswers checks that each caller got its own answer whole, or a part from
// its beginning and an error of a known type, and that a later read of a
// completed request gave the same. It fails with ErrHistory.
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
		return ErrHistory.New("%s: %d bytes without an error are not its answer of %d bytes", a.Request, len(a.Got), len(a.Want))
	case a.Err != nil && protocol.ProblemOf(a.Err).Title == internalTitle:
		return ErrHistory.New("%s: no clear error: %v", a.Request, a.Err)
	case a.Err != nil && !isPrefix(a.Got, a.Want):
		return ErrHistory.New("%s: the part before the error is not its own", a.Request)
	case a.Retained != "" && a.Retained != a.Want:
		return ErrHistory.New("%s: a later read gave another answer", a.Request)
	}
	return nil
}

// internalTitle is the title of errors that say nothing to a caller.
var internalTitle = protocol.ProblemOf(protocol.ErrInternal.New("")).Title

func isPrefix(part, whole string) bool {
	return len(part) <= len(whole) && whole[:len(part)] == part
}
