package fleet

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// Key is a caller's secret. It formats as a placeholder, so that it reaches no log line,
// error or metric.
type Key string

// String returns a placeholder.
func (Key) String() string { return "(key)" }

// GoString returns a placeholder.
func (Key) GoString() string { return "(key)" }

// Rate limits the online requests of a workspace at all gateways together.
type Rate struct {
	// PerSecond is the sustained number of requests a second, 0 for no limit.
	PerSecond float64
	// Burst is the number of requests beyond the sustained rate that may come at once.
	Burst float64
}

// IsLimited reports whether the rate limits anything.
func (r Rate) IsLimited() bool { return r.PerSecond > 0 }

// Workspace is a group of callers with keys and limits of their own. It is immutable.
type Workspace struct {
	Name string
	// Priority ranks the workspace's requests in place of their route's priority, 0 being
	// the most urgent. It is nil if the workspace has none.
	Priority *int
	Rate     Rate
}

// Anonymous is the workspace of callers without a key, where the configuration has
// workspaces. It has no name and no limits.
var Anonymous = &Workspace{}

// IsAnonymous reports whether the workspace is that of callers without a key.
func (w *Workspace) IsAnonymous() bool { return w.Name == "" }

// MayUse reports whether a caller of the workspace may use what belongs to the workspace of
// the given name. What belongs to none is open to all callers, and everything is where the
// configuration has no workspaces, and w is nil.
func (w *Workspace) MayUse(owner string) bool { return w == nil || owner == "" || owner == w.Name }

// NameOf returns the workspace's name, empty if there is none.
func NameOf(w *Workspace) string {
	if w == nil {
		return ""
	}
	return w.Name
}

// Rank returns the priority of a workspace's request on the route, 0 being the most urgent.
// workspace is nil for a request without one.
func Rank(route *Route, workspace *Workspace) int {
	if workspace != nil && workspace.Priority != nil {
		return *workspace.Priority
	}
	return route.Priority
}

// digest is the keyed hash of a Key.
type digest [sha256.Size]byte

// digestSecret is drawn anew by each process, so that nobody can choose keys by the time
// that looking up their digests takes.
var digestSecret = func() []byte {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret) // never fails
	return secret
}()

func digestOf(key Key) digest {
	mac := hmac.New(sha256.New, digestSecret)
	mac.Write([]byte(key))
	return digest(mac.Sum(nil))
}

// Keyring maps callers' keys to workspaces. It holds only keyed hashes of the keys. It is
// immutable.
type Keyring struct {
	workspaces map[digest]*Workspace
}

// NewKeyring returns a keyring of the keys.
func NewKeyring(keys map[Key]*Workspace) *Keyring {
	ring := &Keyring{workspaces: make(map[digest]*Workspace, len(keys))}
	for key, workspace := range keys {
		ring.workspaces[digestOf(key)] = workspace
	}
	return ring
}

// Workspace returns the workspace that holds the key, nil if none does. No workspace holds
// the empty key.
func (k *Keyring) Workspace(key Key) *Workspace {
	if k == nil || key == "" {
		return nil
	}
	return k.workspaces[digestOf(key)]
}
