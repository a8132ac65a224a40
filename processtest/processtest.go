// Package processtest runs a site as separate processes on loopback, for tests
// that kill, stop and replace them.
package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// ErrProcess is the type of failures to build, start or stop a process.
var ErrProcess = protocol.Errors.NewType("process")

// Build compiles the binary into dir and returns its path.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "sycamoretally")
	out, err := exec.Command("go", "build", "-o", path, "github.com/sycamoretally/sycamoretally/cmd/sycamoretally").CombinedOutput()
	if err != nil {
		return "", ErrProcess.Wrap(err, "build: %s", out)
	}
	return path, nil
}

// Main builds the binary, sets its path and runs tests that start it. It returns
// the code to exit with.
func Main(binary *string, run func() int) int {
	dir, err := os.MkdirTemp("", "sycamoretally")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if *binary, err = Build(dir); err != nil {
		panic(err)
	}
	return run()
}

// Site is a running site of separate processes.
type Site struct {
	Log      *Process
	List     *Process
	Entries  []*Process
	Sidecars []*Process
	Engines  []*Process
	Services []*Process
	// Store is the weight store, nil without one.
	Store *Process
	// Client holds the settings with which a client reaches the site.
	Client settings.Client

	dir    string
	binary string
}

// Layout says how many of each process a site has.
type Layout struct {
	Entries      int
	Engines      int
	Services     int
	Slots        int
	Engine       settings.StandInEngine
	Log          settings.StandInLog
	ListLag      time.Duration
	Service      settings.StandInService
	DrainTimeout time.Duration
	// Store is the weight store; none is started where it allows no fetches.
	Store settings.StandInStore
}

// Start writes settings files into dir and starts every process. Close must be
// called in the end, also after an error.
func Start(binary, dir string, layout Layout) (*Site, error) {
	s := &Site{dir: dir, binary: binary}
	s.Client = settings.Client{OperatorKey: demo.OperatorKey, CallerKey: demo.CallerKey}
	if err := s.startPlatform(layout); err != nil {
		return s, err
	}
	for i := range layout.Engines {
		if err := s.addEngine(i, layout); err != nil {
			return s, err
		}
	}
	for i := range layout.Services {
		if err := s.addService(layout.Engines+i, layout); err != nil {
			return s, err
		}
	}
	for i := range layout.Entries {
		if err := s.addEntry(i, layout); err != nil {
			return s, err
		}
	}
	return s, s.PublishInstances()
}

func (s *Site) startPlatform(layout Layout) error {
	log, err := s.startStandIn("log", settings.RoleStandInLog, func(st *settings.StandIn) { st.Log = layout.Log })
	if err != nil {
		return err
	}
	s.Log = log
	s.List, err = s.startStandIn("list", settings.RoleStandInList, func(st *settings.StandIn) {
		st.List.Lag = settings.Duration(layout.ListLag)
	})
	if err != nil || layout.Store.FetchesPerSecond <= 0 {
		return err
	}
	s.Store, err = s.startStandIn("store", settings.RoleStandInStore, func(st *settings.StandIn) { st.Store = layout.Store })
	return err
}

func (s *Site) startStandIn(name string, role settings.Role, set func(*settings.StandIn)) (*Process, error) {
	st := settings.Default()
	st.Role = role
	set(&st.StandIn)
	var err error
	if st.StandIn.Listen, err = demo.FreeAddress(); err != nil {
		return nil, err
	}
	kind := string(role)[len("standin-"):]
	return s.startProcess(name, st, st.StandIn.Listen, "standin", kind)
}

// startProcess writes the settings file, starts the process and waits until it
// accepts connections.
func (s *Site) startProcess(name string, st settings.Settings, address string, args ...string) (*Process, error) {
	data, err := toml.Marshal(st)
	if err != nil {
		return nil, ErrProcess.Wrap(err, "encode settings")
	}
	path := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, ErrProcess.Wrap(err, "write settings")
	}
	p := &Process{Settings: st, args: args, path: path, binary: s.binary}
	if err := p.Start(); err != nil {
		return nil, err
	}
	return p, awaitListening(p, address)
}

func awaitListening(p *Process, address string) error {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + address + "/healthz")
		if err == nil {
			_ = resp.Body.Close()
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ErrProcess.New("%s does not answer: %s", p.path, p.Log())
}

func (s *Site) processSettings(role settings.Role, name string, index int, layout Layout) (settings.Settings, error) {
	st := settings.Default()
	st.Role = role
	st.Process.Instance = name
	st.Process.DataCentre = fmt.Sprintf("dc-%d", index%2)
	st.Process.PeerSecret = demo.PeerSecret
	if layout.DrainTimeout > 0 {
		st.Process.DrainTimeout = settings.Duration(layout.DrainTimeout)
	}
	if layout.Log.Retention > 0 {
		st.Platform.LogRetention = layout.Log.Retention
	}
	st.Platform.Log = "http://" + s.Log.Settings.StandIn.Listen
	st.Platform.Instances = "http://" + s.List.Settings.StandIn.Listen
	if s.Store != nil {
		st.Platform.Weights = "http://" + s.Store.Settings.StandIn.Listen
	}
	var err error
	if st.Process.HTTP, err = demo.FreeAddress(); err != nil {
		return st, err
	}
	st.Process.Peer, err = demo.FreeAddress()
	return st, err
}

func (s *Site) addEngine(i int, layout Layout) error {
	engine, err := s.startStandIn(fmt.Sprintf("engine-%d", i), settings.RoleStandInEngine, func(st *settings.StandIn) { st.Engine = layout.Engine })
	if err != nil {
		return err
	}
	s.Engines = append(s.Engines, engine)
	return s.addSidecar(i, layout, settings.Target{Type: settings.TargetEngine, URL: "http://" + engine.Settings.StandIn.Listen}, "drafting")
}

func (s *Site) addService(i int, layout Layout) error {
	service, err := s.startStandIn(fmt.Sprintf("service-%d", i), settings.RoleStandInPlain, func(st *settings.StandIn) { st.Service = layout.Service })
	if err != nil {
		return err
	}
	s.Services = append(s.Services, service)
	return s.addSidecar(i, layout, settings.Target{Type: settings.TargetService, URL: "http://" + service.Settings.StandIn.Listen}, "booking")
}

func (s *Site) addSidecar(i int, layout Layout, t settings.Target, role string) error {
	name := fmt.Sprintf("sidecar-%d", i)
	st, err := s.processSettings(settings.RoleSidecar, name, i, layout)
	if err != nil {
		return err
	}
	t.Name = fmt.Sprintf("target-%d", i)
	t.Labels = map[string]string{"role": role, "unit": string(rune('a' + i))}
	t.Slots, t.Queue = layout.Slots, settings.DefaultQueue
	st.Targets = []settings.Target{t}
	p, err := s.startProcess(name, st, st.Process.HTTP, "sidecar")
	if err == nil {
		s.Sidecars = append(s.Sidecars, p)
	}
	return err
}

// AddSecondSidecar starts a second sidecar for the target of the sidecar at index, as a
// replacement does. The list must be published afterwards.
func (s *Site) AddSecondSidecar(index int) error {
	st := s.Sidecars[index].Settings
	st.Process.Instance += "-twin"
	var err error
	if st.Process.HTTP, err = demo.FreeAddress(); err != nil {
		return err
	}
	if st.Process.Peer, err = demo.FreeAddress(); err != nil {
		return err
	}
	p, err := s.startProcess(st.Process.Instance, st, st.Process.HTTP, "sidecar")
	if err == nil {
		s.Sidecars = append(s.Sidecars, p)
	}
	return err
}

func (s *Site) addEntry(i int, layout Layout) error {
	name := fmt.Sprintf("entry-%d", i)
	st, err := s.processSettings(settings.RoleEntry, name, i, layout)
	if err != nil {
		return err
	}
	st.Entry.OperatorKeys = []string{demo.OperatorKey}
	st.Entry.Callers = []settings.Caller{{Workspace: "demo", Key: demo.CallerKey}}
	p, err := s.startProcess(name, st, st.Process.HTTP, "entry")
	if err == nil {
		s.Entries = append(s.Entries, p)
		s.Client.Entries = append(s.Client.Entries, "http://"+st.Process.HTTP)
	}
	return err
}

// PublishInstances writes all processes of the system to the instance list, and marks
// those as leaving that leaving names.
func (s *Site) PublishInstances(leaving ...string) error {
	marked := map[string]bool{}
	for _, name := range leaving {
		marked[name] = true
	}
	var rows []backend.Instance
	for _, group := range [][]*Process{s.Entries, s.Sidecars} {
		for _, p := range group {
			pr := p.Settings.Process
			rows = append(rows, backend.Instance{
				Name: pr.Instance, Role: backend.Role(p.Settings.Role), DataCentre: pr.DataCentre,
				HTTP: pr.HTTP, Peer: pr.Peer, Leaving: marked[pr.Instance],
			})
		}
	}
	return sendJSON(http.MethodPut, "http://"+s.List.Settings.StandIn.Listen+"/instances", rows)
}

// SetFaults posts the failures of a stand-in.
func (s *Site) SetFaults(p *Process, faults any) error {
	return sendJSON(http.MethodPost, "http://"+p.Settings.StandIn.Listen+"/faults", faults)
}

func sendJSON(method, url string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return ErrProcess.Wrap(err, "encode")
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return ErrProcess.Wrap(err, "%s", url)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ErrProcess.Wrap(err, "%s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return ErrProcess.New("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

// BookingRuns adds up how often each booking ran, from the booking services themselves.
func (s *Site) BookingRuns() (map[string]int, error) {
	total := map[string]int{}
	for _, p := range s.Services {
		var runs map[string]int
		if err := ReadJSON("http://"+p.Settings.StandIn.Listen+"/runs", &runs); err != nil {
			return nil, err
		}
		for key, n := range runs {
			total[key] += n
		}
	}
	return total, nil
}

// ReadJSON decodes the JSON at a stand-in's URL.
func ReadJSON(url string, v any) error {
	resp, err := http.Get(url)
	if err != nil {
		return ErrProcess.Wrap(err, "%s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return ErrProcess.Wrap(err, "%s", url)
	}
	return nil
}

// Close kills every process of the site, the system's before the platform's.
func (s *Site) Close() {
	for _, group := range [][]*Process{s.Entries, s.Sidecars, s.Engines, s.Services, {s.Log, s.List, s.Store}} {
		for _, p := range group {
			if p != nil {
				_ = p.Signal(syscall.SIGKILL)
				_, _ = p.Wait(waitTimeout)
			}
		}
	}
}
