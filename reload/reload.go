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

// interval is the time between two looks at whether the file has been written.
const interval = 5 * time.Second

// Settings are those in force. Run, ReadChanged and Read must not be called at the
// same time.
type Settings struct {
	params Params
	node   *fleet.Node
	read   stamp
	// told holds a token while the settings are to be read again.
	told chan struct{}
}

// stamp tells whether a file has been written again.
type stamp struct {
	at   time.Time
	size int64
}

// New returns settings of which node has been read and applied.
func New(p Params, node *fleet.Node) *Settings {
	s := &Settings{params: p, node: node, told: make(chan struct{}, 1)}
	s.read, _ = s.stat()
	return s
}

// Tell says that the settings have changed. It never blocks.
func (s *Settings) Tell() {
	select {
	case s.told <- struct{}{}:
	default:
	}
}

// Run reads the settings again whenever they change, until ctx ends.
func (s *Settings) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.told:
			s.Read()
		case <-ticker.C:
			s.ReadChanged()
		case <-ctx.Done():
			return
		}
	}
}

// stat returns the file's stamp, and false where there is no file.
func (s *Settings) stat() (stamp, bool) {
	info, err := os.Stat(s.params.Path)
	if err != nil {
		return stamp{}, false
	}
	return stamp{info.ModTime(), info.Size()}, true
}

// ReadChanged reads the file again if it has been written since.
func (s *Settings) ReadChanged() {
	if now, found := s.stat(); found && now != s.read {
		s.Read()
	}
}

// Read reads the file again and applies what has changed.
func (s *Settings) Read() {
	s.read, _ = s.stat()
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
