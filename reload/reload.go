// Package reload reads an instance's settings again while a process runs, when it is
// told that they have changed and when the file shows it without that. A file with
// faults changes nothing: what was read before stays in force.
package reload

import (
	"context"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Params say what to read and who takes it.
type Params struct {
	Path string
	// Load reads the file.
	Load func(path string) (*fleet.Node, error)
	// Apply puts into force what can change while the process runs.
	Apply func(*fleet.Node)
}

// pollInterval is the time between two looks at whether the file has been written.
const pollInterval = 5 * time.Second

// Settings are those in force. Run, ReadChanged and Read must not be called at the
// same time.
type Settings struct {
	params      Params
	node        *fleet.Node
	loadedStamp fileStamp
	// reloadRequested holds a token while the settings are to be read again.
	reloadRequested chan struct{}
}

// fileStamp tells whether a file has been written again.
type fileStamp struct {
	modTime time.Time
	size    int64
}

// New returns settings of which node has been read and applied.
func New(p Params, node *fleet.Node) *Settings {
	s := &Settings{params: p, node: node, reloadRequested: make(chan struct{}, 1)}
	s.loadedStamp, _ = s.stat()
	return s
}

// Notify says that the settings have changed. It never blocks.
func (s *Settings) Notify() {
	select {
	case s.reloadRequested <- struct{}{}:
	default:
	}
}

// Run reads the settings again whenever they change, until ctx ends.
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

// stat returns the file's stamp, and false where there is no file.
func (s *Settings) stat() (fileStamp, bool) {
	info, err := os.Stat(s.params.Path)
	if err != nil {
		return fileStamp{}, false
	}
	return fileStamp{info.ModTime(), info.Size()}, true
}

// ReloadIfChanged reads the file again if it has been written since.
func (s *Settings) ReloadIfChanged() {
	if now, found := s.stat(); found && now != s.loadedStamp {
		s.Reload()
	}
}

// Reload reads the file again and applies what has changed.
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
