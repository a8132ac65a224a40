package state

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// DirectoryEntry is what a sidecar announced of itself when it started.
type DirectoryEntry struct {
	Instance string
	At       protocol.Position
	Targets  []protocol.TargetInfo
}

// Directory is an immutable snapshot of all announcements, by instance.
type Directory map[string]DirectoryEntry

// DirectoryFold folds announcements: which targets exist and with which labels.
// It says nothing of their health, which changes too often for the log.
type DirectoryFold struct {
	current atomic.Pointer[Directory]
	mu      sync.Mutex
}

// NewDirectoryFold returns a fold without announcements.
func NewDirectoryFold() *DirectoryFold {
	f := &DirectoryFold{}
	f.current.Store(&Directory{})
	return f
}

// Current returns the newest snapshot.
func (f *DirectoryFold) Current() Directory { return *f.current.Load() }

// Apply folds the record at position pos. A later announcement of an instance
// replaces an earlier one.
func (f *DirectoryFold) Apply(pos protocol.Position, rec *protocol.Record) {
	if rec.Announce == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := *f.current.Load()
	if have, found := old[rec.Announce.Instance]; found && have.At >= pos {
		return
	}
	next := maps.Clone(old)
	next[rec.Announce.Instance] = DirectoryEntry{
		Instance: rec.Announce.Instance, At: pos, Targets: slices.Clone(rec.Announce.Targets),
	}
	f.current.Store(&next)
}

// Retain drops the announcements of instances for which keep reports false. It
// is no part of the fold: a process calls it for instances that the platform has
// not listed for long.
func (f *DirectoryFold) Retain(keep func(instance string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := maps.Clone(*f.current.Load())
	maps.DeleteFunc(next, func(instance string, _ DirectoryEntry) bool { return !keep(instance) })
	f.current.Store(&next)
}
