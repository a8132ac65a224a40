package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"time"
)

// maxMeaningfulRate is the rate, in requests a second, from which on a rate limits
// nothing.
const maxMeaningfulRate = 1e9

// Sanitized returns the rate without values that mean nothing: a rate that is no number,
// negative or beyond all measure limits nothing, and such a burst is none.
func (r Rate) Sanitized() Rate {
	if !(r.PerSecond > 0 && r.PerSecond < maxMeaningfulRate) {
		return Rate{}
	}
	if !(r.Burst > 0) {
		r.Burst = 0
	}
	r.Burst = math.Min(r.Burst, maxMeaningfulRate)
	return r
}

// HasRates reports whether the rate of any workspace is limited.
func (k *Keyring) HasRates() bool {
	if k == nil {
		return false
	}
	for _, workspace := range k.workspaces {
		if workspace.Rate.IsLimited() {
			return true
		}
	}
	return false
}

// MaxRateKeyBytes is the maximum size of the name by which messages call a workspace.
const MaxRateKeyBytes = 256

// RateKey returns the name by which messages call the workspace: its own, or a hash of it if
// it does not fit.
func (w *Workspace) RateKey() string {
	if len(w.Name) <= MaxRateKeyBytes {
		return w.Name
	}
	sum := sha256.Sum256([]byte(w.Name))
	return hex.EncodeToString(sum[:])
}

// RateQueryKind is what a RateQuery wants.
type RateQueryKind uint8

// The kinds of queries about rates.
const (
	// RateAsk asks whether a request is within its workspace's rate, and counts it.
	RateAsk RateQueryKind = iota + 1
	// RateReturn takes back the admission of an earlier ask. It is not answered.
	RateReturn
	// RateTake asks for a workspace's bucket, which the queried gateway then gives up.
	RateTake
	// RateConfirm asks whether the queried gateway knows that the asking one is present.
	RateConfirm
)

// RateQuery is a gateway's query about the rate of a workspace.
type RateQuery struct {
	Kind      RateQueryKind `msgpack:"k"`
	Workspace string        `msgpack:"w"`
	// PerSecond and Burst are the workspace's rate by the configuration of this version.
	PerSecond float64 `msgpack:"p,omitempty"`
	Burst     float64 `msgpack:"b,omitempty"`
	Version   int64   `msgpack:"v,omitempty"`
	// Deputy is set in an ask to a gateway that is not the owner, because the owner is silent.
	Deputy bool `msgpack:"d,omitempty"`
	// AskID is the query ID of the ask that a RateReturn takes back.
	AskID uint64 `msgpack:"a,omitempty"`
}

// RateVerdict is the answer to a RateQuery.
type RateVerdict uint8

// The verdicts about rates.
const (
	// RateAdmitted means that the request was counted.
	RateAdmitted RateVerdict = iota + 1
	// RateExceeded means that the workspace's rate is used up.
	RateExceeded
	// RateElsewhere means that the queried gateway does not decide about the workspace.
	RateElsewhere
	// RateGiven answers a RateTake with the bucket's tokens, RateNotHeld without any.
	RateGiven
	RateNotHeld
	// RateConfirmed means that the queried gateway counts the asking one, or decides about
	// nothing until it has read that it is present.
	RateConfirmed
)

// RateAnswer answers a RateQuery.
type RateAnswer struct {
	Verdict RateVerdict `msgpack:"k"`
	// Tokens is what is left of the workspace's rate, in requests.
	Tokens float64 `msgpack:"l,omitempty"`
	// RetryAfter is the time until the caller's turn comes.
	RetryAfter time.Duration `msgpack:"t,omitempty"`
	// Owner is the address of the gateway that decides, as far as the queried one knows.
	Owner string `msgpack:"o,omitempty"`
	// Deputy is set if a deputy decided, by its part of the tolerance.
	Deputy bool `msgpack:"d,omitempty"`
	// Quiet, in a RateConfirmed, is for how long the queried gateway has decided nothing in the
	// asking one's place.
	Quiet time.Duration `msgpack:"q,omitempty"`
}
