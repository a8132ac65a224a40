// Package membership keeps the table of processes and targets: the lagging
// instance list says which processes exist, and their own reports say how they
// are.
package membership

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/platform"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Reporter asks a process for its report.
type Reporter interface {
	Report(ctx context.Context, peer string) (protocol.ReportReply, error)
}

// Params configure a manager.
type Params struct {
	// Self is the name of this process, which always counts as alive.
	Self     string
	List     platform.InstanceList
	Reporter Reporter
	// Interval is the time between two rounds of reports.
	Interval time.Duration
	// SilenceLimit is the time without a report after which a process counts as
	// unreachable.
	SilenceLimit time.Duration
}

// The defaults of Params.
const (
	DefaultInterval     = 500 * time.Millisecond
	DefaultSilenceLimit = 2 * time.Second
)

// Manager owns the table. Table may be called at any time; the loop in Run
// publishes new versions.
type Manager struct {
	params Params
	table  atomic.Pointer[routing.Table]
	rows   atomic.Pointer[[]platform.Instance]

	mu      sync.Mutex
	members map[string]*member
}

type member struct {
	instance platform.Instance
	heard    time.Time
	leaving  bool
	polling  bool
	reports  map[string]protocol.TargetReport
	inFlight map[string]*atomic.Int64
}

// New returns a manager with an empty table. Run starts it.
func New(p Params) *Manager {
	if p.Interval <= 0 {
		p.Interval = DefaultInterval
	}
	if p.SilenceLimit <= 0 {
		p.SilenceLimit = DefaultSilenceLimit
	}
	m := &Manager{params: p, members: map[string]*member{}}
	m.table.Store(&routing.Table{})
	m.rows.Store(&[]platform.Instance{})
	return m
}

// Table returns the newest table.
func (m *Manager) Table() *routing.Table { return m.table.Load() }

// Entries returns the entries that are alive and not leaving, in order of their
// names.
func (m *Manager) Entries() []platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []platform.Instance
	for _, i := range *m.rows.Load() {
		if i.Role == platform.RoleEntry && !i.Leaving && m.alive(i.Name) {
			entries = append(entries, i)
		}
	}
	return entries
}

func (m *Manager) alive(name string) bool {
	if name == m.params.Self {
		return true
	}
	other := m.members[name]
	return other != nil && !other.leaving && time.Since(other.heard) <= m.params.SilenceLimit
}

// Instances returns every row of the instance list.
func (m *Manager) Instances() []platform.Instance { return *m.rows.Load() }

// Run refreshes the table until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.params.Interval)
	defer ticker.Stop()
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		m.refresh(ctx, &polls)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *Manager) refresh(ctx context.Context, polls *sync.WaitGroup) {
	listCtx, cancel := context.WithTimeout(ctx, m.params.Interval)
	defer cancel()
	instances, err := m.params.List.Instances(listCtx)
	if err == nil {
		m.setInstances(instances)
	} else if ctx.Err() == nil {
		klog.V(1).InfoS("instance list failed", "error", err)
	}
	m.mu.Lock()
	for _, s := range m.members {
		if s.polling {
			continue
		}
		s.polling = true
		polls.Go(func() { m.poll(ctx, s) })
	}
	m.mu.Unlock()
	m.publish()
}

func (m *Manager) setInstances(instances []platform.Instance) {
	rows := slices.Clone(instances)
	slices.SortFunc(rows, func(a, b platform.Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	m.rows.Store(&rows)
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := map[string]bool{}
	for _, i := range instances {
		listed[i.Name] = true
		if s := m.members[i.Name]; s != nil && s.instance.Peer == i.Peer {
			s.instance = i
			continue
		}
		m.members[i.Name] = &member{
			instance: i,
			reports:  map[string]protocol.TargetReport{},
			inFlight: map[string]*atomic.Int64{},
		}
	}
	maps.DeleteFunc(m.members, func(name string, _ *member) bool { return !listed[name] })
}

func (m *Manager) poll(ctx context.Context, s *member) {
	callCtx, cancel := context.WithTimeout(ctx, m.params.SilenceLimit)
	defer cancel()
	reply, err := m.params.Reporter.Report(callCtx, s.instance.Peer)
	m.mu.Lock()
	s.polling = false
	if err == nil {
		s.heard = time.Now()
		s.leaving = reply.Leaving
		for _, r := range reply.Targets {
			s.add(r)
		}
	}
	m.mu.Unlock()
	m.publish()
}

// Observe takes a report that came with an answer.
func (m *Manager) Observe(instance string, r *protocol.TargetReport) {
	if r == nil {
		return
	}
	m.mu.Lock()
	s := m.members[instance]
	if s != nil {
		s.add(*r)
	}
	m.mu.Unlock()
	if s != nil {
		m.publish()
	}
}

func (s *member) add(r protocol.TargetReport) {
	if old, found := s.reports[r.Target]; found && old.Seq > r.Seq {
		return
	}
	s.reports[r.Target] = r
	if s.inFlight[r.Target] == nil {
		s.inFlight[r.Target] = &atomic.Int64{}
	}
}

// publish builds a new table from the sidecars' latest reports.
func (m *Manager) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	table := &routing.Table{}
	for _, s := range m.members {
		reachable := time.Since(s.heard) <= m.params.SilenceLimit
		for _, r := range s.reports {
			table.Targets = append(table.Targets, &routing.Target{
				Name:       r.Target,
				Instance:   s.instance.Name,
				DataCentre: s.instance.DataCentre,
				HTTP:       s.instance.HTTP,
				Peer:       s.instance.Peer,
				Report:     r,
				Reachable:  reachable,
				Leaving:    s.instance.Leaving || s.leaving,
				InFlight:   s.inFlight[r.Target],
			})
		}
	}
	slices.SortFunc(table.Targets, func(a, b *routing.Target) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	m.table.Store(table)
}
