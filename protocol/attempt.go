package protocol

import "time"

// Class is the scheduling class of work.
type Class string

// The scheduling classes. Batch work takes only slots that online work leaves free.
const (
	ClassOnline Class = "online"
	ClassBatch  Class = "batch"
)

// Call is a caller's request to a service.
type Call struct {
	Service     string `msgpack:"s"`
	Workspace   string `msgpack:"w"`
	Method      string `msgpack:"m"`
	Path        string `msgpack:"p"`
	ContentType string `msgpack:"c"`
	Body        []byte `msgpack:"b"`
	// MaxTokens is the caller's bound on the tokens of a model's answer, or zero.
	MaxTokens int `msgpack:"x,omitempty"`
	// Model is set for calls of model services: the answer is a token stream.
	Model bool `msgpack:"l"`
}

// Fingerprint identifies the call by content.
func (c *Call) Fingerprint() string {
	return Fingerprint([]byte(c.Service), []byte(c.Method), []byte(c.Path), c.Body)
}

// AttemptRequest asks a sidecar to run a call on one of its targets.
type AttemptRequest struct {
	// Attempt is unique to this exchange; every frame of the answer repeats it.
	Attempt    string `msgpack:"a"`
	Key        string `msgpack:"k"`
	Trace      string `msgpack:"t"`
	Target     string `msgpack:"g"`
	Class      Class  `msgpack:"c"`
	Repeatable bool   `msgpack:"r"`
	Call       Call   `msgpack:"b"`
	// Resume holds the tokens that the caller already has.
	Resume []string `msgpack:"u,omitempty"`
	// NoWait refuses the attempt if it would have to wait for a slot.
	NoWait bool `msgpack:"w,omitempty"`
	// Moves counts how often the request has been moved to another target.
	Moves int `msgpack:"m,omitempty"`
	// TimeLeftMillis is the time until the request's deadline, in milliseconds.
	TimeLeftMillis int64 `msgpack:"d"`
	// Coordinator is the peer address of the entry that sent the attempt.
	Coordinator string `msgpack:"o"`
	Clock       uint64 `msgpack:"h"`
}

// TimeLeft returns the time until the request's deadline.
func (a *AttemptRequest) TimeLeft() time.Duration {
	return time.Duration(a.TimeLeftMillis) * time.Millisecond
}

// FrameKind is the kind of a frame of an attempt's answer.
type FrameKind uint8

// The frames of an answer in their order: one head, any number of tokens, and
// one end or error. An answer without its end frame is incomplete.
const (
	FrameHead FrameKind = iota + 1
	FrameToken
	FrameEnd
	FrameError
	// FrameHeartbeat shows that the sidecar is alive while it has nothing to send.
	FrameHeartbeat
)

// Frame is one part of an attempt's answer.
type Frame struct {
	Kind    FrameKind `msgpack:"k"`
	Attempt string    `msgpack:"a"`
	// Seq numbers the token frames from 1; the end frame repeats the last number.
	Seq         int      `msgpack:"n"`
	Token       string   `msgpack:"t,omitempty"`
	Status      int      `msgpack:"s,omitempty"`
	ContentType string   `msgpack:"c,omitempty"`
	Body        []byte   `msgpack:"b,omitempty"`
	Sum         uint64   `msgpack:"x,omitempty"`
	Problem     *Problem `msgpack:"p,omitempty"`
	// Report is the target's state at the end of the answer.
	Report *TargetReport `msgpack:"r,omitempty"`
	Clock  uint64        `msgpack:"h"`
}

// HeartbeatInterval is the maximum time between two frames of an answer.
const HeartbeatInterval = 500 * time.Millisecond

// HeartbeatTimeout is the time without a frame after which a connection counts
// as lost.
const HeartbeatTimeout = 4 * HeartbeatInterval
