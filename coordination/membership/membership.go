// Package membership maintains the table of processes and targets. The instance
// list, which may lag, tells which processes exist; reports from the processes
// themselves give their state and load.
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

// Reporter fetches the report of a process.
type Reporter interface {
	// Report fetches the report of the process at a peer address. If mark
	// identifies the current report, the reply has no targets.
	Report(ctx context.Context, peer string, mark uint64) (protocol.ReportReply, error)
}

// Params configure a manager.
type Params struct {
	// Self is the name of this process, which is always considered alive.
	Self     string
	List     backend.InstanceList
	Reporter Reporter
	// Interval is the time between two rounds of polls.
	Interval time.Duration
	// UnreachableAfter is the time without a report after which a process is
	// considered unreachable.
	UnreachableAfter time.Duration
	// PollsRole reports whether this process polls processes of a role; nil
	// stands for all roles.
	PollsRole func(backend.Role) bool
	// Services returns a function that maps a target's labels to the services
	// that the target can run. If there are more than WatchersPerSidecar entries,
	// each watches at least MinTargets targets of every service; nil stands for
	// no services.
	Services func() func(protocol.Labels) []string
	// EntryPollRate bounds the polls of entries per second if there are more than
	// WatchersPerSidecar entries.
	EntryPollRate float64
}

// The defaults of Params.
const (
	DefaultInterval         = 500 * time.Millisecond
	DefaultUnreachableAfter = 2 * time.Second
	// publishInterval is the minimum time between two tables that differ only in
	// the load of targets.
	publishInterval = 20 * time.Millisecond
)

// Manager maintains the table, and Run publishes new versions of it. Its methods
// are safe for concurrent use.
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

// Ready reports whether the instance list has been read and a first poll of every
// process on it has ended, except for those that this process does not poll and
// for unwatched sidecars.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.members {
		if !p.polled && m.polls(p) && !m.isUnwatchedSidecar(p) {
			return false
		}
	}
	return m.listRead
}

// ListedLeaving reports whether the instance list has this process as leaving.
func (m *Manager) ListedLeaving() bool { return m.listedLeaving.Load() }

// Table returns the latest table.
func (m *Manager) Table() *routing.Table { return m.table.Load() }

// Entries returns the entries that are alive and not leaving, sorted by name.
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
// does not delay the reports of others.
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
		klog.V(1).InfoS("failed to read the instance list", "error", protocol.CauseOf(err))
	}
}

func (m *Manager) setInstances(instances []backend.Instance) {
	m.mu.Lock()
	m.listRead = true
	m.mu.Unlock()
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b backend.Instance) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(sorted, *m.instances.Load()) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchPlan.stale = true
	m.instances.Store(&sorted)
	listed := map[string]bool{}
	for _, i := range sorted {
		listed[i.Name] = true
		if i.Name == m.params.Self {
			m.listedLeaving.Store(i.Leaving)
		}
		if p := m.members[i.Name]; p != nil && p.instance.Peer == i.Peer {
			p.instance = i
			continue
		}
		m.members[i.Name] = &member{instance: i, reports: map[string]*report{}}
	}
	maps.DeleteFunc(m.members, func(name string, _ *member) bool { return !listed[name] })
	m.publish()
}

// publishChange publishes a change: at once if a target's state has changed, and
// within publishInterval if only its load has, so that at high rates many reports
// share one table. mu must be held.
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

// Observe records a report that came with a response.
func (m *Manager) Observe(instance string, r *protocol.TargetReport) {
	if r == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.members[instance]
	if p == nil {
		return
	}
	old := p.reports[r.Target]
	if old == nil || old.Boot != r.Boot || old.Seq >= r.Seq {
		return // an outdated report, possibly from a process that was replaced
	}
	if m.watchPlan.subsetting {
		p.lastReportAt = time.Now()
	}
	m.publishChange(p.updateReport(*r))
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

// publish builds and publishes a new table from the latest reports of the
// sidecars. mu must be held.
func (m *Manager) publish() {
	table := &routing.Table{}
	for _, p := range m.members {
		p.reachable = m.isReachable(p)
		if m.isUnwatchedSidecar(p) {
			continue
		}
		for _, r := range p.reports {
			table.Targets = append(table.Targets, p.routingTarget(r))
		}
	}
	slices.SortFunc(table.Targets, func(a, b *routing.Target) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Instance, b.Instance))
	})
	m.table.Store(table)
	close(m.published)
	m.published = make(chan struct{})
}
