package fleet

import (
	"time"

	"github.com/joomcode/errorx"
)

// Limits on what a target may send in answer to one attempt. They bound the memory and
// the time that a faulty target can cost a process, and lie well above what sound
// targets send.
const (
	// MaxHeadBytes is the limit for status line and headers, interim answers included.
	MaxHeadBytes = 64 << 10
	// MaxInterimAnswers is the number of interim answers (1xx) that may precede the answer.
	MaxInterimAnswers = 8
	// HeadTimeout is the time from the first byte of an answer to the end of its headers.
	HeadTimeout = 3 * time.Second
	// MaxEventBytes is the size limit of one event of a stream.
	MaxEventBytes = 256 << 10
	// MaxBufferedBytes is the size limit of an answer that is buffered until it is complete.
	MaxBufferedBytes = 4 << 20
	// MaxOutputBytes is the size limit of an item's output. The output must fit into one
	// record of the store, which takes 256 KiB.
	MaxOutputBytes = 240 << 10
	// MaxDiscardedBytes and DiscardTimeout bound the reading of a body that nobody needs,
	// which only serves to reuse the connection.
	MaxDiscardedBytes = 64 << 10
	DiscardTimeout    = 50 * time.Millisecond
)

// ErrOversized means that a target's answer exceeded a limit. Its subtypes name the limit.
var (
	ErrOversized       = ErrAnswerBroken.NewSubtype("oversized")
	ErrOversizedHead   = ErrOversized.NewSubtype("head")
	ErrSlowHead        = ErrOversized.NewSubtype("head_time")
	ErrTooManyInterim  = ErrOversized.NewSubtype("interim_answers")
	ErrOversizedEvent  = ErrOversized.NewSubtype("event")
	ErrOversizedBody   = ErrOversized.NewSubtype("body")
	ErrOversizedOutput = ErrOversized.NewSubtype("output")
)

var limitNames = map[*errorx.Type]string{
	ErrOversizedHead: "head", ErrSlowHead: "head_time", ErrTooManyInterim: "interim_answers",
	ErrOversizedEvent: "event", ErrOversizedBody: "body", ErrOversizedOutput: "output",
}

// ExceededLimit returns the name of the limit that an answer exceeded if err or one of its
// causes is ErrOversized, and the empty string otherwise.
func ExceededLimit(err error) string {
	for typed := errorx.Cast(err); typed != nil; typed = errorx.Cast(typed.Cause()) {
		if name, found := limitNames[typed.Type()]; found {
			return name
		}
	}
	return ""
}
