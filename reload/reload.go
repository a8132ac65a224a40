// Package reload reloads an instance's settings while a process runs, on request and
// whenever the file's modification time or size has changed. A file with faults changes
// nothing: the settings read before stay in force.
package reload

import (
	"context"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Params holds the settings file's path and the functions that load and apply it.
type Params struct {
	Path string
	// Load reads the file.
	Load func(path string) (*fleet.Node, error)
	// Apply applies the settings that can change while the process runs.
	Apply func(*fleet.Node)
}

// pollInterval is the time between two checks of the file for changes.
const pollInterval = 5 * time.Second

// Settings holds the settings in force. Run, ReloadIfChanged and Reload must not be
// called concurrently.
type Settings struct {
	params      Params
	node        *fleet.Node
	loadedStamp fileStamp
	// reloadRequested holds an element while a requested reload is pending.
	reloadRequested chan struct{}
}

// fileStamp identifies a version of a file by its modification time and size.
type fileStamp struct {
	modTime time.Time
	size    int64
}

// New returns Settings with node in force, which the caller has already loaded and
// applied.
func New(p Params, node *fleet.Node) *Settings {
	s := &Settings{params: p, node: node, reloadRequested: make(chan struct{}, 1)}
	s.loadedStamp, _ = s.stat()
	return s
}

// Notify requests a reload, which Run carries out. It never blocks.
func (s *Settings) Notify() {
	select {
	case s.reloadRequested <- struct{}{}:
	default:
	}
}

// Run reloads the settings on request and when the file changes, until ctx is done.
func (s *Settings) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.reloadRequested:
			s.Reload()
		case <-ticker.C:
			s.ReloadIfChanged()
		case <-ctx.Done():
			return
		}
	}
}

// stat returns the file's stamp, and false if the file cannot be examined.
func (s *Settings) stat() (fileStamp, bool) {
	info, err := os.Stat(s.params.Path)
	if err != nil {
		return fileStamp{}, false
	}
	return fileStamp{info.ModTime(), info.Size()}, true
}

// ReloadIfChanged reloads the file if its stamp differs from that of the last reload.
func (s *Settings) ReloadIfChanged() {
	if now, found := s.stat(); found && now != s.loadedStamp {
		s.Reload()
	}
}

// Reload reads the file and applies it. If the file cannot be loaded, the error is
// logged and the settings stay as they are.
func (s *Settings) Reload() {
	s.loadedStamp, _ = s.stat()
	next, err := s.params.Load(s.params.Path)
	if err != nil {
		klog.ErrorS(nil, "settings not read again", "settings", s.params.Path, "error", protocol.CauseOf(err))
		return
	}
	changes := s.node.Changes(next)
	for _, c := range changes {
		klog.InfoS("setting changed", "setting", c.Setting, "before", c.Old, "after", c.New, "needs_restart", c.NeedsRestart)
	}
	klog.InfoS("settings read again", "settings", s.params.Path, "changes", len(changes))
	s.node = next
	s.params.Apply(next)
}
