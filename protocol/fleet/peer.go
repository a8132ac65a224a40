package fleet

import "time"

// PeerMessage is a datagram between a gateway and a batcher, or between two gateways. An
// earlier build ignores the fields that it does not know.
type PeerMessage struct {
	// QueryID identifies a query; its answer repeats the ID. It is 0 in other messages.
	QueryID uint64 `msgpack:"n"`
	// Announcement is set if a request is about to be sent to the target. It is not answered.
	Announcement bool `msgpack:"c,omitempty"`
	// Load is the answer to a query, nil in other messages.
	Load *PeerLoad `msgpack:"l,omitempty"`
	// Outcome is what the gateway's last stream met at the target, nil if that was told
	// before. Queries and announcements carry it, and messages of its own.
	Outcome *PeerOutcome `msgpack:"r,omitempty"`
	// Crash is a crash that a batcher is to record for a gateway that does not reach the store.
	Crash *PeerCrash `msgpack:"cr,omitempty"`
	// RateQuery and RateAnswer are messages about the rates of workspaces.
	RateQuery  *RateQuery  `msgpack:"rq,omitempty"`
	RateAnswer *RateAnswer `msgpack:"ra,omitempty"`
}

// PeerLoad is the load of a batcher's target.
type PeerLoad struct {
	// Target is the ID of the target's incarnation.
	Target string `msgpack:"t"`
	// Online counts the target's running, waiting and announced requests. It leaves
	// out the batcher's items, because requests preempt them.
	Online int `msgpack:"o"`
	// Service is the target's service, and StartUnixMillis the time of the incarnation's start
	// in milliseconds since the epoch, 0 if unknown.
	Service         string `msgpack:"sv,omitempty"`
	StartUnixMillis int64  `msgpack:"bn,omitempty"`
	// Address is the address that was asked. It is empty in the message itself.
	Address string `msgpack:"-"`
	// Items is the number of the batcher's items that run at the target.
	Items int `msgpack:"i,omitempty"`
	// Capacity is the number of requests that the target takes well, 0 if unknown.
	Capacity int `msgpack:"k,omitempty"`
	// FirstEventMicros and StepMicros are the times that one more stream is expected to
	// meet: to its first event, and between two events, in microseconds. Either is 0 if
	// unknown.
	FirstEventMicros int64 `msgpack:"f,omitempty"`
	StepMicros       int64 `msgpack:"s,omitempty"`
	// LearnedMillis is the age of the newest observation behind these figures in milliseconds.
	LearnedMillis int64 `msgpack:"a,omitempty"`
}

// PeerOutcome is what a stream of a gateway met at a target.
type PeerOutcome struct {
	// Target is the ID of the target's incarnation.
	Target string `msgpack:"t"`
	// Running is the number of requests at the target when it began to answer, 0 if unknown.
	Running int `msgpack:"n,omitempty"`
	// FirstEventMicros is the time to the first event and StepMicros the mean time between
	// two events, in microseconds. Either is 0 if unknown.
	FirstEventMicros int64 `msgpack:"f,omitempty"`
	StepMicros       int64 `msgpack:"s,omitempty"`
	// Ended is set if the request has ended there, and Failed if by a fault of the target.
	Ended  bool `msgpack:"e,omitempty"`
	Failed bool `msgpack:"x,omitempty"`
}

// PeerCrash is the end of a target under a request, as the work log records it.
type PeerCrash struct {
	// Fingerprint identifies the request by its content, and Target the incarnation of the target.
	Fingerprint string `msgpack:"f"`
	Target      string `msgpack:"t"`
	// Produced is set if the request had produced output there.
	Produced bool `msgpack:"p,omitempty"`
	// Parts are the shared parts of the request's prompt, and SuspectedParts those that were
	// suspected when the run began.
	Parts          []string `msgpack:"a,omitempty"`
	SuspectedParts []string `msgpack:"s,omitempty"`
}

// FirstEvent returns the time to the first event.
func (o PeerOutcome) FirstEvent() time.Duration { return micros(o.FirstEventMicros) }

// Step returns the mean time between two events.
func (o PeerOutcome) Step() time.Duration { return micros(o.StepMicros) }

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
