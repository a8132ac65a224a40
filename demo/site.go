// Package demo runs a whole site in one process, stand-ins for the platform
// included, and plays the callers' and operators' parts against it. The script
// works as well against separate processes.
package demo

import (
	"cmp"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/sidecar"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/standin/instancelist"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
	"github.com/sycamoretally/sycamoretally/standin/service"
	"github.com/sycamoretally/sycamoretally/standin/weightstore"
	"github.com/sycamoretally/sycamoretally/transport"
)

// Keys of the demo site.
const (
	PeerSecret  = "demo-peer-secret"
	OperatorKey = "demo-operator-key"
	CallerKey   = "demo-caller-key"
)

// Layout says how many of each process a site has.
type Layout struct {
	Entries int
	Engines int
	// Services is the number of booking services.
	Services int
	Slots    int
	Engine   engine.Params
	// InstanceListLag is how late the instance list shows a change.
	InstanceListLag time.Duration
	// DrainTimeout bounds a graceful shutdown; zero means ten seconds.
	DrainTimeout time.Duration
	// MaxAge replaces the default of the setting, where above zero.
	MaxAge time.Duration
	// Weights is the weight store, nil for none.
	Weights *weightstore.Store
	// WrapLog, where set, gives the log that the instance uses in place of the site's.
	WrapLog func(instance string, log backend.Log) backend.Log
	// DataCentres is the number of data centres; zero means two.
	DataCentres int
	// Policy is in force in every process.
	Policy settings.Policy
	// Dial makes the connections of a process in a data centre to its peers; nil
	// means the ordinary dialer.
	Dial func(s *settings.Settings) transport.Dial
	// ClockSkew, where set, gives the error of the time line's wall clock in a process.
	ClockSkew func(s *settings.Settings) time.Duration
}

// DefaultLayout is the layout of the demo.
func DefaultLayout() Layout {
	return Layout{Entries: 2, Engines: 3, Services: 1, Slots: 8, Engine: engine.Params{
		Width: 8, TokenTime: 5 * time.Millisecond, CacheTokens: 4096, RestartTime: time.Second,
	}}
}

// Site is a running site.
type Site struct {
	Log      *logservice.Service
	List     *instancelist.List
	Engines  []*engine.Engine
	Services []*service.Service
	Entries  []*entry.Entry
	Sidecars []*sidecar.Sidecar
	// Paths holds each process's way to the log by its instance.
	Paths map[string]*logservice.Path
	// Client holds the settings with which a client reaches the site.
	Client settings.Client

	layout    Layout
	servers   []*http.Server
	instances []backend.Instance
	// nextPathState is the state of the path of the next process to start.
	nextPathState logservice.PathState
}

// Start starts a site. Close must be called in the end, also after an error.
func Start(layout Layout) (*Site, error) {
	s := &Site{
		layout: layout,
		Log:    logservice.New(logservice.Params{AppendsPerSecond: 300}),
		List:   instancelist.New(layout.InstanceListLag, nil),
		Paths:  map[string]*logservice.Path{},
	}
	s.Client = settings.Client{OperatorKey: OperatorKey, CallerKey: CallerKey}
	plan, err := s.plan(layout)
	if err != nil {
		return s, err
	}
	return s, s.run(plan)
}

func (s *Site) plan(layout Layout) ([]settings.Settings, error) {
	var plan []settings.Settings
	weights, err := s.serveWeights(layout.Weights)
	if err != nil {
		return nil, err
	}
	for range layout.Engines {
		e := engine.New(layout.Engine)
		s.Engines = append(s.Engines, e)
		sc, err := s.sidecarFor(settings.TargetEngine, "drafting", e.Handler(), len(plan), layout.Slots)
		if err != nil {
			return nil, err
		}
		sc.Platform.Weights = weights
		plan = append(plan, sc)
	}
	for range layout.Services {
		svc := service.New()
		s.Services = append(s.Services, svc)
		sc, err := s.sidecarFor(settings.TargetService, "booking", svc.Handler(), len(plan), layout.Slots)
		if err != nil {
			return nil, err
		}
		plan = append(plan, sc)
	}
	for i := range layout.Entries {
		en := settings.Default()
		en.Role = settings.RoleEntry
		if err := s.setProcess(&en, "entry-", i); err != nil {
			return nil, err
		}
		en.Entry.OperatorKeys = []string{OperatorKey}
		en.Entry.Callers = []settings.Caller{{Workspace: "demo", Key: CallerKey}}
		plan = append(plan, en)
	}
	return plan, nil
}

// defaultDrainTimeout bounds a graceful shutdown where the layout sets no time.
const defaultDrainTimeout = 10 * time.Second

// serveWeights serves the weight store and returns its URL, empty without one.
func (s *Site) serveWeights(store *weightstore.Store) (string, error) {
	if store == nil {
		return "", nil
	}
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", protocol.ErrInternal.Wrap(err, "listen")
	}
	server := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// defaultDataCentres is the number of data centres of a layout that sets none.
const defaultDataCentres = 2

func (s *Site) setProcess(st *settings.Settings, prefix string, index int) error {
	centres := s.layout.DataCentres
	if centres == 0 {
		centres = defaultDataCentres
	}
	st.Process.Instance = prefix + processSuffix(index)
	st.Process.DataCentre = "dc-" + processSuffix(index%centres)
	st.Process.PeerSecret = PeerSecret
	st.Policy = s.layout.Policy
	st.Process.DrainTimeout = settings.Duration(cmp.Or(s.layout.DrainTimeout, defaultDrainTimeout))
	var err error
	if st.Process.HTTP, err = FreeAddress(); err != nil {
		return err
	}
	st.Process.Peer, err = FreeAddress()
	return err
}

// processSuffix names the process with an index by a letter, and by a number once the
// letters are used up.
func processSuffix(index int) string {
	const letters = 26
	if index < letters {
		return string(rune('a' + index))
	}
	return strconv.Itoa(index)
}

func (s *Site) sidecarFor(kind settings.TargetType, label string, target http.Handler, index, slots int) (settings.Settings, error) {
	sc := settings.Default()
	sc.Role = settings.RoleSidecar
	if err := s.setProcess(&sc, "sidecar-", index); err != nil {
		return sc, err
	}
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return sc, protocol.ErrInternal.Wrap(err, "listen")
	}
	server := &http.Server{Handler: target, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	sc.Targets = []settings.Target{{
		Name:    "target-" + processSuffix(index),
		Type:    kind,
		URL:     "http://" + l.Addr().String(),
		Labels:  map[string]string{"role": label, "unit": processSuffix(index)},
		Slots:   slots,
		Reserve: s.layout.Policy.Reserve,
		MaxWait: settings.DefaultMaxWait,
		Queue:   settings.DefaultQueue,
	}}
	return sc, nil
}

// AddSidecar starts a further sidecar, with its way to the log in a state, and
// lists it.
func (s *Site) AddSidecar(layout Layout, state logservice.PathState) (*sidecar.Sidecar, error) {
	e := engine.New(layout.Engine)
	s.Engines = append(s.Engines, e)
	p, err := s.sidecarFor(settings.TargetEngine, "drafting", e.Handler(), len(s.Sidecars)+len(s.Entries), layout.Slots)
	if err != nil {
		return nil, err
	}
	s.instances = append(s.instances, instanceOf(&p))
	s.List.Set(s.instances)
	s.nextPathState = state
	err = s.startOne(&p)
	return s.Sidecars[len(s.Sidecars)-1], err
}

func instanceOf(p *settings.Settings) backend.Instance {
	return backend.Instance{
		Name: p.Process.Instance, Role: backend.Role(p.Role), DataCentre: p.Process.DataCentre,
		HTTP: p.Process.HTTP, Peer: p.Process.Peer,
	}
}

func (s *Site) run(plan []settings.Settings) error {
	for i := range plan {
		s.instances = append(s.instances, instanceOf(&plan[i]))
	}
	s.List.Set(s.instances)
	for i := range plan {
		if err := s.startOne(&plan[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) dialOf(p *settings.Settings) transport.Dial {
	if s.layout.Dial == nil {
		return nil
	}
	return s.layout.Dial(p)
}

// clockOf returns the wall clock of a process, nil for the right one.
func (s *Site) clockOf(p *settings.Settings) func() time.Time {
	if s.layout.ClockSkew == nil {
		return nil
	}
	skew := s.layout.ClockSkew(p)
	return func() time.Time { return time.Now().Add(skew) }
}

func (s *Site) startOne(p *settings.Settings) error {
	if s.layout.MaxAge > 0 {
		p.Process.MaxAge = settings.Duration(s.layout.MaxAge)
	}
	path := logservice.NewPath(s.Log)
	path.Set(s.nextPathState)
	s.Paths[p.Process.Instance] = path
	if p.Role == settings.RoleSidecar {
		sc, err := sidecar.New(p, sidecar.Platform{Log: path, Instances: s.List, Dial: s.dialOf(p), Now: s.clockOf(p)})
		if err != nil {
			return err
		}
		s.Sidecars = append(s.Sidecars, sc)
		return sc.Start()
	}
	en, err := entry.New(p, entry.Platform{Log: s.logOf(p.Process.Instance, path), Instances: s.List, Dial: s.dialOf(p), Now: s.clockOf(p)})
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, en)
	s.Client.Entries = append(s.Client.Entries, "http://"+p.Process.HTTP)
	return en.Start()
}

func (s *Site) logOf(instance string, path *logservice.Path) backend.Log {
	if s.layout.WrapLog == nil {
		return path
	}
	return s.layout.WrapLog(instance, path)
}

// Close stops every process of the site.
func (s *Site) Close() {
	for _, e := range s.Entries {
		_ = e.Kill()
	}
	for _, sc := range s.Sidecars {
		_ = sc.Kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// SidecarHTTP returns the address on which a sidecar takes attempts.
func (s *Site) SidecarHTTP(index int) string { return s.Sidecars[index].Address() }
