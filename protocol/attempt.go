package protocol

import "time"

// Class is the scheduling class of work.
type Class string

// The scheduling classes. Batch work takes only slots that online work leaves.
const (
	ClassOnline Class = "online"
	ClassBatch  Class = "batch"
)

// Call is what a caller asked of a service.
type Call struct {
	Service     string `msgpack:"s"`
	Workspace   string `msgpack:"w"`
	Method      string `msgpack:"m"`
	Path        string `msgpack:"p"`
	ContentType string `msgpack:"c"`
	Body        []byte `msgpack:"b"`
	// MaxTokens is the bound that the caller set on a model's answer, or zero.
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
	// Resume is the text that the caller already has, in tokens.
	Resume []string `msgpack:"u,omitempty"`
	// NoWait asks for a refusal where the attempt would wait for a slot.
	NoWait bool `msgpack:"w,omitempty"`
	// Moves counts how often the request was moved to another target already.
	Moves int `msgpack:"m,omitempty"`
	// TimeLeftMillis is the rest of the request's time, in milliseconds.
	TimeLeftMillis int64 `msgpack:"d"`
	// Coordinator is the peer address of the entry that sent the attempt.
	Coordinator string `msgpack:"o"`
	Clock       uint64 `msgpack:"h"`
}

// TimeLeft gives the rest of the request's time.
func (a *AttemptRequest) TimeLeft() time.Duration {
	return time.Duration(a.TimeLeftMillis) * time.Millisecond
}

// FrameKind tells the frames of an attempt's answer apart.
type FrameKind uint8

// The frames of an answer, in the order in which they come: one head, any
// number of tokens, and one end or one error. An answer without its end frame
// is not whole.
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
	// Seq counts the token frames from 1; the end frame repeats the last one.
	Seq         int      `msgpack:"n"`
	Token       string   `msgpack:"t,omitempty"`
	Status      int      `msgpack:"s,omitempty"`
	ContentType string   `msgpack:"c,omitempty"`
	Body        []byte   `msgpack:"b,omitempty"`
	Sum         uint64   `msgpack:"x,omitempty"`
	Problem     *Problem `msgpack:"p,omitempty"`
	// Report is the target's state when the answer ended.
	Report *TargetReport `msgpack:"r,omitempty"`
	Clock  uint64        `msgpack:"h"`
}

// HeartbeatInterval is the longest time between two frames of an answer.
const HeartbeatInterval = 500 * time.Millisecond

// HeartbeatTimeout is the time without a frame after which a connection is
// given up.
const HeartbeatTimeout = 4 * HeartbeatInterval
