package processtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/sycamoretally/sycamoretally/settings"
)

// roleCommands are the arguments of the command that runs each role, in the order in
// which a site starts.
var roleCommands = []struct {
	role settings.Role
	args []string
}{
	{settings.RoleStandInLog, []string{"standin", "log"}},
	{settings.RoleStandInList, []string{"standin", "list"}},
	{settings.RoleStandInEngine, []string{"standin", "engine"}},
	{settings.RoleStandInPlain, []string{"standin", "service"}},
	{settings.RoleSidecar, []string{"sidecar"}},
	{settings.RoleEntry, []string{"entry"}},
}

// StartFiles starts a process for each settings file in dir, as the files stand,
// with further flags. Close must be called in the end, also after an error.
func StartFiles(binary, dir string, flags ...string) (*Site, error) {
	s := &Site{dir: dir, binary: binary}
	paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return s, ErrProcess.Wrap(err, "list %s", dir)
	}
	loaded := map[string]*settings.Settings{}
	for _, path := range paths {
		// A file of objects is no settings file.
		if st, err := settings.Load(path); err == nil {
			loaded[path] = st
		}
	}
	for _, r := range roleCommands {
		for _, path := range paths {
			if st := loaded[path]; st != nil && st.Role == r.role {
				if err := s.startFile(path, st, slices.Concat(r.args, flags)); err != nil {
					return s, err
				}
			}
		}
	}
	return s, nil
}

func (s *Site) startFile(path string, st *settings.Settings, args []string) error {
	p := &Process{Settings: *st, args: args, path: path, binary: s.binary}
	if err := p.Start(); err != nil {
		return err
	}
	s.add(p)
	address := st.Process.HTTP
	if address == "" {
		address = st.StandIn.Listen
	}
	return awaitListening(p, address)
}

// add files a process under its role.
func (s *Site) add(p *Process) {
	switch p.Settings.Role {
	case settings.RoleStandInLog:
		s.Log = p
	case settings.RoleStandInList:
		s.List = p
	case settings.RoleStandInEngine:
		s.Engines = append(s.Engines, p)
	case settings.RoleStandInPlain:
		s.Services = append(s.Services, p)
	case settings.RoleSidecar:
		s.Sidecars = append(s.Sidecars, p)
	default:
		s.Entries = append(s.Entries, p)
	}
}

// All returns every process of the site.
func (s *Site) All() []*Process {
	all := append([]*Process{s.Log, s.List}, s.Engines...)
	all = append(all, s.Services...)
	all = append(all, s.Sidecars...)
	return append(all, s.Entries...)
}

// CommandResult is what a command printed and its exit code.
type CommandResult struct {
	Stdout, Stderr string
	ExitCode       int
}

// Run runs a command of the binary to its end.
func Run(binary string, args ...string) (CommandResult, error) {
	var out, errOut strings.Builder
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	if cmd.ProcessState == nil {
		return CommandResult{}, ErrProcess.Wrap(err, "run %v", args)
	}
	return CommandResult{Stdout: out.String(), Stderr: errOut.String(), ExitCode: cmd.ProcessState.ExitCode()}, nil
}

// CopyFiles copies the files of dir into a new place with every 127.0.0.1
// replaced by another loopback address, so that sites with fixed ports can run
// side by side.
func CopyFiles(dir, place, loopback string) error {
	files, err := os.ReadDir(dir)
	if err != nil {
		return ErrProcess.Wrap(err, "list %s", dir)
	}
	for _, f := range files {
		data, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			return ErrProcess.Wrap(err, "read %s", f.Name())
		}
		text := strings.ReplaceAll(string(data), "127.0.0.1", loopback)
		if err := os.WriteFile(filepath.Join(place, f.Name()), []byte(text), 0o600); err != nil {
			return ErrProcess.Wrap(err, "write %s", f.Name())
		}
	}
	return nil
}
