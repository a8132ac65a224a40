// Package access decides whether a gateway serves a request with a key.
//
// It is designed for several dozen gateways that each read the configuration every 400 ms
// from a store that may be slow, away, or out of reach for some of them, while keys are
// added and removed at any time. A gateway that cannot read the configuration must neither
// serve a key for longer than its removal may take, nor reject one that was added since. So
// what a gateway may say depends on the age of what it has read: the time since the start
// of the last read that reached the end of the topic, by a clock that counts suspensions.
package access

import "time"

const (
	// readyShare is the share of the revocation timeout up to which a configuration may be old
	// for callers with a key to be sent to a gateway, and servedShare that up to which such
	// callers are served that come all the same. The first is what a gateway may be without
	// the store; the second adds the time between two reads, since an age counts from the start
	// of the last one. The rest leaves room for a process that is slow to look at its clock.
	readyShare  = 0.6
	servedShare = 0.75
	// MaxDenialAge is the age of the configuration up to which a key that it does not have
	// counts as unknown. It covers a few reads.
	MaxDenialAge = 1500 * time.Millisecond
)

// View is what a gateway knows of the configuration.
type View struct {
	// Known is set once the configuration was read to its end. Age is the time since the
	// start of the last such read.
	Known bool
	Age   time.Duration
	// RevocationTimeout is how long after the removal of a key was acknowledged its last
	// request may begin, 0 if no such bound is set.
	RevocationTimeout time.Duration
}

// MayServeKeys reports whether requests with a key may run at the moment.
func (v View) MayServeKeys() bool { return v.isWithin(servedShare) }

// MayInviteKeys reports whether callers with a key should be sent here.
func (v View) MayInviteKeys() bool { return v.isWithin(readyShare) }

// isWithin reports whether the configuration is younger than the share of the revocation
// timeout, if there is one.
func (v View) isWithin(share float64) bool {
	if v.RevocationTimeout <= 0 {
		return true
	}
	return v.Known && v.Age < time.Duration(share*float64(v.RevocationTimeout))
}

// MayDeny reports whether a key that the configuration does not have is invalid.
func (v View) MayDeny() bool { return v.Known && v.Age <= MaxDenialAge }

// Credentials are what the configuration in force says of a request's key.
type Credentials struct {
	// Required is set if the configuration has workspaces and the request needs a key.
	Required bool
	// Held is set if a workspace holds the key. HeldBefore is set if one held it when the
	// request was judged before, or in the version before.
	Held       bool
	HeldBefore bool
}

// Verdict says what becomes of a request, or of its next attempt.
type Verdict int

// The verdicts.
const (
	// Anonymous means that the request runs without a key.
	Anonymous Verdict = iota
	// Serve means that the request runs for the workspace that holds its key.
	Serve
	// UnknownKey means that no workspace holds the key, and Revoked that none does any more.
	UnknownKey
	Revoked
	// TooOldToServe means that the key may have been removed, and TooOldToDeny that it may
	// have been added; both since the configuration was read last. Another gateway may know.
	TooOldToServe
	TooOldToDeny
)

var verdictNames = map[Verdict]string{
	Anonymous: "anonymous", Serve: "served", UnknownKey: "unknown_key", Revoked: "revoked_key",
	TooOldToServe: "configuration_too_old", TooOldToDeny: "configuration_too_old_to_deny",
}

// String returns the verdict's name in metrics and log lines.
func (v Verdict) String() string { return verdictNames[v] }

// Decide returns the verdict on a request with the credentials.
func Decide(v View, c Credentials) Verdict {
	switch {
	case c.Held && v.MayServeKeys():
		return Serve
	case c.Held:
		return TooOldToServe
	case !c.Required:
		return Anonymous
	case !v.MayDeny():
		return TooOldToDeny
	case c.HeldBefore:
		return Revoked
	default:
		return UnknownKey
	}
}
