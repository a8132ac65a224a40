package state

import (
	"sync"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Request is the state of one idempotency key.
type Request struct {
	Key         string
	Fingerprint string
	// Accepted is set for an asynchronous request from its acceptance until its
	// completion.
	Accepted *protocol.RequestAccept
	// Started is the only attempt that may run a non-idempotent request.
	Started *protocol.RequestStart
	// Voided holds the attempts that must never run.
	Voided map[string]bool
	// ResultAt is the position of the first completion, or zero if there is none.
	ResultAt protocol.Position
	Outcome  protocol.Outcome
	// ChangedAt is the position of the last record that had an effect.
	ChangedAt protocol.Position
}

// Requests folds the records of keyed requests.
type Requests struct {
	mu   sync.RWMutex
	keys map[string]*Request
}

// NewRequests returns an empty fold.
func NewRequests() *Requests { return &Requests{keys: map[string]*Request{}} }

// Get returns a copy of the state of the key.
func (f *Requests) Get(key string) (Request, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	r := f.keys[key]
	if r == nil {
		return Request{}, false
	}
	return *r, true
}

// CheckStart returns nil if the holder may run the attempt after its start record was
// applied. Otherwise it returns ErrKeyConflict if the key belongs to another call,
// ErrAttemptVoid if the attempt was given up, and ErrKeyInUse if another attempt has
// started or completed.
func (f *Requests) CheckStart(s *protocol.RequestStart) error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	r := f.keys[s.Key]
	switch {
	case r == nil:
		return protocol.ErrInternal.New("the start record of the attempt has not been applied")
	case r.Fingerprint != s.Fingerprint:
		return protocol.ErrKeyConflict.New("the key belongs to a request with another body")
	case r.Voided[s.Attempt]:
		return protocol.ErrAttemptVoid.New("the attempt was given up before it started")
	case r.ResultAt != 0 || !r.startedBy(s.Attempt, s.Holder):
		return protocol.ErrKeyInUse.New("another attempt has started or completed under the key")
	default:
		return nil
	}
}

// MayRun reports whether the holder may run the attempt: its start is the one in effect
// for the key, and there is no result yet.
func (f *Requests) MayRun(key, attempt, holder string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	r := f.keys[key]
	return r != nil && r.ResultAt == 0 && r.startedBy(attempt, holder)
}

// Voided reports whether the attempt must never run.
func (f *Requests) Voided(key, attempt string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	r := f.keys[key]
	return r != nil && r.Voided[attempt]
}

// Pending returns the accepted asynchronous requests that have no result.
func (f *Requests) Pending() []protocol.RequestAccept {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var pending []protocol.RequestAccept
	for _, r := range f.keys {
		if r.Accepted != nil {
			pending = append(pending, *r.Accepted)
		}
	}
	return pending
}

// Len returns the number of keys.
func (f *Requests) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.keys)
}

// Apply folds the record at position pos.
func (f *Requests) Apply(pos protocol.Position, rec *protocol.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case rec.Accept != nil:
		f.accept(pos, rec.Accept)
	case rec.Start != nil:
		f.start(pos, rec.Start)
	case rec.Void != nil:
		f.void(pos, rec.Void)
	case rec.Release != nil:
		f.release(pos, rec.Release)
	case rec.Complete != nil:
		f.complete(pos, rec.Complete)
	}
}

func (f *Requests) getOrCreate(key string) *Request {
	r := f.keys[key]
	if r == nil {
		r = &Request{Key: key}
		f.keys[key] = r
	}
	return r
}

// bindFingerprint binds the key to the fingerprint if it is not bound yet. It reports
// whether the key is now bound to this fingerprint.
func (r *Request) bindFingerprint(fingerprint string) bool {
	if r.Fingerprint == "" {
		r.Fingerprint = fingerprint
	}
	return r.Fingerprint == fingerprint
}

func (r *Request) startedBy(attempt, holder string) bool {
	return r.Started != nil && r.Started.Attempt == attempt && r.Started.Holder == holder
}

func (f *Requests) accept(pos protocol.Position, a *protocol.RequestAccept) {
	r := f.getOrCreate(a.Key)
	if r.Accepted != nil || r.ResultAt != 0 || !r.bindFingerprint(a.Call.Fingerprint()) {
		return
	}
	accepted := *a
	r.Accepted = &accepted
	r.ChangedAt = pos
}

func (f *Requests) start(pos protocol.Position, s *protocol.RequestStart) {
	r := f.getOrCreate(s.Key)
	if !r.bindFingerprint(s.Fingerprint) || r.Started != nil || r.ResultAt != 0 || r.Voided[s.Attempt] {
		return
	}
	started := *s
	r.Started = &started
	r.ChangedAt = pos
}

func (f *Requests) void(pos protocol.Position, v *protocol.RequestVoid) {
	r := f.getOrCreate(v.Key)
	if r.Started != nil && r.Started.Attempt == v.Attempt {
		return
	}
	r.addVoid(pos, v.Attempt)
}

func (f *Requests) release(pos protocol.Position, rel *protocol.RequestRelease) {
	r := f.getOrCreate(rel.Key)
	if r.ResultAt != 0 {
		return
	}
	if r.Started != nil && r.Started.Attempt == rel.Attempt {
		if r.Started.Holder != rel.Holder {
			return // another process has started the attempt and may be running it
		}
		r.Started = nil
	}
	r.addVoid(pos, rel.Attempt)
}

// addVoid adds the attempt to a copy of the set, since readers may hold the old one.
func (r *Request) addVoid(pos protocol.Position, attempt string) {
	voided := make(map[string]bool, len(r.Voided)+1)
	for a := range r.Voided {
		voided[a] = true
	}
	voided[attempt] = true
	r.Voided = voided
	r.ChangedAt = pos
}

func (f *Requests) complete(pos protocol.Position, c *protocol.RequestComplete) {
	r := f.getOrCreate(c.Key)
	if r.ResultAt != 0 || !r.bindFingerprint(c.Fingerprint) {
		return
	}
	if r.Started != nil && r.Started.Attempt != c.Attempt {
		return
	}
	r.ResultAt = pos
	r.Outcome = c.Result.Outcome
	r.Accepted = nil
	r.ChangedAt = pos
}
