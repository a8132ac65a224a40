// Package membership keeps the table of processes and targets: the lagging
// instance list says which processes exist, and their own reports say how they
// are.
package membership

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Reporter asks a process for its report.
type Reporter interface {
	// Report asks the process at a peer address. Where the process's report is
	// the one that mark names, the reply has no targets.
	Report(ctx context.Context, peer string, mark uint64) (protocol.ReportReply, error)
}

// Params configure a manager.
type Params struct {
	// Self is the name of this process, which always counts as alive.
	Self     string
	List     backend.InstanceList
	Reporter Reporter
	// Interval is the time between two rounds of reports.
	Interval time.Duration
	// UnreachableAfter is the time without a report after which a process counts as
	// unreachable.
	UnreachableAfter time.Duration
	// PollsRole says which roles this process asks for reports; nil stands for all.
	PollsRole func(backend.Role) bool
	// Services returns a function that tells which services a target with the
	// labels can run. Where there are many entries, each watches some targets of
	// every service; nil stands for no services.
	Services func() func(protocol.Labels) []string
	// EntryPollRate is the number of questions to entries a second at most, where
	// there are more than Coverage entries.
	EntryPollRate float64
}

// The defaults of Params.
const (
	DefaultInterval         = 500 * time.Millisecond
	DefaultUnreachableAfter = 2 * time.Second
	// publishInterval is the least time between two tables that differ only in
	// the load of targets.
	publishInterval = 20 * time.Millisecond
)

// Manager owns the table. Table may be called at any time; the loop in Run
// publishes new versions.
type Manager struct {
	params    Params
	table     atomic.Pointer[routing.Table]
	instances atomic.Pointer[[]backend.Instance]
	// listedLeaving is true while the instance list has this process as leaving.
	listedLeaving        atomic.Bool
	loadPublishRequested chan struct{}

	mu      sync.Mutex
	members map[string]*member
	// published is closed when the next table is published.
	published chan struct{}
	// listRead is true once the instance list has been read.
	listRead  bool
	watchPlan watchPlan
}

// New returns a manager with an empty table. Run starts it.
func New(p Params) *Manager {
	if p.Interval <= 0 {
		p.Interval = DefaultInterval
	}
	if p.UnreachableAfter <= 0 {
		p.UnreachableAfter = DefaultUnreachableAfter
	}
	if p.EntryPollRate <= 0 {
		p.EntryPollRate = DefaultEntryPollRate
	}
	if p.PollsRole == nil {
		p.PollsRole = func(backend.Role) bool { return true }
	}
	m := &Manager{params: p, members: map[string]*member{}, loadPublishRequested: make(chan struct{}, 1), published: make(chan struct{})}
	m.table.Store(&routing.Table{})
	m.instances.Store(&[]backend.Instance{})
	return m
}

// Published returns a channel that is closed when the next table is published.
func (m *Manager) Published() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.published
}

// Ready reports whether the instance list has been read and every process on it
// that this one polls has answered or failed to.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.members {
		if !s.polled && m.polls(s) && !m.isUnwatchedSidecar(s) {
			return false
		}
	}
	return m.listRead
}

// ListedLeaving reports whether the instance list has this process as leaving.
func (m *Manager) ListedLeaving() bool { return m.listedLeaving.Load() }

// Table returns the newest table.
func (m *Manager) Table() *routing.Table { return m.table.Load() }

// Entries returns the entries that are alive and not leaving, in order of their
// names.
func (m *Manager) Entries() []backend.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []backend.Instance
	for _, i := range *m.instances.Load() {
		if i.Role == backend.RoleEntry && !i.Leaving && m.isAlive(i.Name) {
			entries = append(entries, i)
		}
	}
	return entries
}

func (m *Manager) isAlive(name string) bool {
	if name == m.params.Self {
		return true
	}
	other := m.members[name]
	return other != nil && !other.leaving && m.isReachable(other)
}

// Instances returns every row of the instance list.
func (m *Manager) Instances() []backend.Instance { return *m.instances.Load() }

// Run refreshes the table until ctx ends. A slow instance list or a slow process
// holds up no report of another.
func (m *Manager) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { m.runEvery(ctx, func() { m.refreshInstances(ctx) }) })
	tasks.Go(func() { m.publishLoadChanges(ctx) })
	m.runEvery(ctx, func() { m.startPolls(ctx, &tasks) })
	return nil
}

func (m *Manager) runEvery(ctx context.Context, round func()) {
	ticker := time.NewTicker(m.params.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		round()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (m *Manager) refreshInstances(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, m.params.Interval)
	defer cancel()
	instances, err := m.params.List.Instances(listCtx)
	if err == nil {
		m.setInstances(instances)
	} else if ctx.Err() == nil {
		klog.V(1).InfoS("instance list failed", "error", protocol.CauseOf(err))
	}
}

func (m *Manager) setInstances(instances []backend.Instance) {
	m.mu.Lock()
	m.listRead = true
	m.mu.Unlock()
	rows := slices.Clone(instances)
	slices.SortFunc(rows, func(a, b backend.Instance) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(rows, *m.instances.Load()) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchPlan.stale = true
	m.instances.Store(&rows)
	listed := map[string]bool{}
	for _, i := range rows {
		listed[i.Name] = true
		if i.Name == m.params.Self {
			m.listedLeaving.Store(i.Leaving)
		}
		if s := m.members[i.Name]; s != nil && s.instance.Peer == i.Peer {
			s.instance = i
			continue
		}
		m.members[i.Name] = &member{instance: i, reports: map[string]*report{}}
	}
	maps.DeleteFunc(m.members, func(name string, _ *member) bool { return !listed[name] })
	m.publish()
}

// publishChange publishes a change: at once where a target's state has changed, and
// soon where only its load has, so that at high rates one table serves many
// reports. The lock is held.
func (m *Manager) publishChange(c reportChange) {
	switch c {
	case stateChanged:
		m.publish()
	case loadChanged:
		select {
		case m.loadPublishRequested <- struct{}{}:
		default:
		}
	}
}

// Observe takes a report that came with an answer.
func (m *Manager) Observe(instance string, r *protocol.TargetReport) {
	if r == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.members[instance]
	if s == nil {
		return
	}
	old := s.reports[r.Target]
	if old == nil || old.Boot != r.Boot || old.Seq >= r.Seq {
		return // a late answer, perhaps of a process that was replaced
	}
	if m.watchPlan.subsetting {
		s.lastReportAt = time.Now()
	}
	m.publishChange(s.updateReport(*r))
}

func (m *Manager) publishLoadChanges(ctx context.Context) {
	for {
		select {
		case <-m.loadPublishRequested:
		case <-ctx.Done():
			return
		}
		m.mu.Lock()
		m.publish()
		m.mu.Unlock()
		pause.For(ctx, publishInterval)
	}
}

// publish builds a new table from the sidecars' latest reports. The lock is held.
func (m *Manager) publish() {
	table := &routing.Table{}
	for _, s := range m.members {
		s.reachable = m.isReachable(s)
		if m.isUnwatchedSidecar(s) {
			continue
		}
		for _, r := range s.reports {
			table.Targets = append(table.Targets, s.routingTarget(r))
		}
	}
	slices.SortFunc(table.Targets, func(a, b *routing.Target) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Instance, b.Instance))
	})
	m.table.Store(table)
	close(m.published)
	m.published = make(chan struct{})
}
