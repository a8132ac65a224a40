package membership

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/backend"
)

// The rates at which a process polls the processes that it does not watch, in
// polls per second. A lower rate costs less but leaves an older view.
const (
	// DefaultEntryPollRate bounds the polls of entries.
	DefaultEntryPollRate = 16
	// unwatchedSidecarPollRate bounds the polls of sidecars that only other entries
	// watch.
	unwatchedSidecarPollRate = 4
)

const (
	// maxFirstPolls bounds the processes of a role that are polled for the first
	// time in one round under rate limiting.
	maxFirstPolls = 128
	// watchedPollRounds is the number of rounds between two polls of a watched
	// sidecar while subsetting. In between, its responses to requests carry newer
	// reports.
	watchedPollRounds = 2
	// replanInterval is the maximum delay until a change of configuration takes
	// effect on the choice of watched sidecars.
	replanInterval = 5 * time.Second
)

// watchPlan describes how this process divides its polls. Whether it watches a
// process is stored in the member.
type watchPlan struct {
	// subsetting is true if there are more than WatchersPerSidecar entries, so that
	// each entry watches only a subset of the sidecars. Otherwise every process is
	// polled in every round.
	subsetting bool
	// stale is set when a process joined, left or changed its state.
	stale      bool
	computedAt time.Time
	// rateLimited counts the rate-limited processes of each role.
	rateLimited map[backend.Role]int
}

// polls reports whether this process polls p at all.
func (m *Manager) polls(p *member) bool {
	return p.instance.Name != m.params.Self && m.params.PollsRole(p.instance.Role)
}

// isUnwatchedSidecar reports whether p is a sidecar that only other entries watch.
// It is polled at a low rate, to learn which services it can run, and is left out
// of the table, so that it gets no requests from this process.
func (m *Manager) isUnwatchedSidecar(p *member) bool {
	return m.watchPlan.subsetting && !p.watched && p.instance.Role == backend.RoleSidecar
}

// isRateLimited reports whether p is polled in rotation with the others of its
// role, at most pollRate polls per second for all of them.
func (m *Manager) isRateLimited(p *member) bool { return m.watchPlan.subsetting && !p.watched }

// pollRate returns the number of polls per second of the rate-limited processes of
// a role.
func (m *Manager) pollRate(role backend.Role) float64 {
	if role == backend.RoleEntry {
		return m.params.EntryPollRate
	}
	return unwatchedSidecarPollRate
}

// unreachableAfter returns the time without a report after which p is considered
// unreachable. For a rate-limited process it includes a full rotation of polls.
func (m *Manager) unreachableAfter(p *member) time.Duration {
	if !m.isRateLimited(p) {
		return m.params.UnreachableAfter
	}
	rotation := float64(m.watchPlan.rateLimited[p.instance.Role]) / m.pollRate(p.instance.Role)
	return m.params.UnreachableAfter + m.params.Interval + time.Duration(rotation*float64(time.Second))
}

// updateWatchPlan recomputes the watch plan if it is stale or older than
// replanInterval, and reports whether the set of watched processes or the mode has
// changed. mu must be held.
func (m *Manager) updateWatchPlan(now time.Time) bool {
	if !m.watchPlan.stale && now.Sub(m.watchPlan.computedAt) < replanInterval {
		return false
	}
	wasSubsetting, changed := m.watchPlan.subsetting, false
	entries, sidecars := m.listedNames()
	m.watchPlan = watchPlan{subsetting: len(entries) > WatchersPerSidecar, computedAt: now, rateLimited: map[backend.Role]int{}}
	watched := map[string]bool{}
	if m.watchPlan.subsetting && m.params.PollsRole(backend.RoleSidecar) {
		watched = WatchedSidecars(m.params.Self, entries, sidecars, WatchersPerSidecar)
		EnsureMinimum(m.params.Self, watched, m.sidecarsByService(), MinTargets)
	}
	for _, p := range m.members {
		changed = changed || p.watched != watched[p.instance.Name]
		p.watched = watched[p.instance.Name]
		if m.polls(p) && m.isRateLimited(p) {
			m.watchPlan.rateLimited[p.instance.Role]++
		}
	}
	return changed || wasSubsetting != m.watchPlan.subsetting
}

// listedNames returns the names of the listed entries and sidecars.
func (m *Manager) listedNames() (entries, sidecars []string) {
	for name, p := range m.members {
		if p.instance.Role == backend.RoleEntry {
			entries = append(entries, name)
		} else {
			sidecars = append(sidecars, name)
		}
	}
	slices.Sort(entries)
	slices.Sort(sidecars)
	return entries, sidecars
}

// sidecarsByService returns the usable sidecars of each service. A watched sidecar
// that has become unusable is left out, so that another replaces it.
func (m *Manager) sidecarsByService() map[string][]string {
	groups := map[string][]string{}
	if m.params.Services == nil {
		return groups
	}
	services := m.params.Services()
	for name, p := range m.members {
		if !p.isUsable() {
			continue
		}
		for _, service := range p.services(services) {
			groups[service] = append(groups[service], name)
		}
	}
	return groups
}

// startPolls polls the processes that are due in this round, and publishes a new
// table if the watch plan or the reachability of a process has changed.
func (m *Manager) startPolls(ctx context.Context, polls *sync.WaitGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	changed := m.updateWatchPlan(now)
	for _, p := range m.members {
		changed = changed || p.reachable != m.isReachable(p)
	}
	for _, p := range m.duePolls(now) {
		p.polling, p.lastPollAt = true, now
		polls.Go(func() { m.poll(ctx, p) })
	}
	if changed {
		m.publish()
	}
}

// duePolls returns the processes to poll in this round: all of them or, while
// subsetting, the watched ones whose reports are old and the next of the
// rate-limited ones.
func (m *Manager) duePolls(now time.Time) []*member {
	var due []*member
	rateLimited := map[backend.Role][]*member{}
	for _, p := range m.members {
		switch {
		case p.polling || !m.polls(p):
		case m.isRateLimited(p):
			rateLimited[p.instance.Role] = append(rateLimited[p.instance.Role], p)
		case !m.watchPlan.subsetting || m.isWatchedPollDue(p, now):
			due = append(due, p)
		}
	}
	for role, members := range rateLimited {
		due = append(due, m.nextInRotation(role, members)...)
	}
	return due
}

// isWatchedPollDue reports whether a watched sidecar must be polled again: its last
// poll is about watchedPollRounds rounds old, and responses to requests have not brought
// a recent report of each of its targets.
func (m *Manager) isWatchedPollDue(p *member, now time.Time) bool {
	minAge := watchedPollRounds*m.params.Interval - m.params.Interval/2
	return now.Sub(p.lastPollAt) > minAge && !p.allReportedSince(now.Add(-m.params.Interval/2))
}

// nextInRotation returns the members whose last poll is the oldest, as many as the
// rate of the role allows in a round. Members that were never polled go first, and
// up to maxFirstPolls of them may exceed the rate.
func (m *Manager) nextInRotation(role backend.Role, members []*member) []*member {
	slices.SortFunc(members, func(a, b *member) int {
		return cmp.Or(a.lastPollAt.Compare(b.lastPollAt), strings.Compare(a.instance.Name, b.instance.Name))
	})
	count := max(1, int(m.pollRate(role)*m.params.Interval.Seconds()))
	for count < min(maxFirstPolls, len(members)) && members[count].lastPollAt.IsZero() {
		count++
	}
	return members[:min(count, len(members))]
}

func (m *Manager) isReachable(p *member) bool {
	return time.Since(p.lastReportAt) <= m.unreachableAfter(p)
}

func (m *Manager) poll(ctx context.Context, p *member) {
	m.mu.Lock()
	peer, mark := p.instance.Peer, p.mark
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, m.params.UnreachableAfter)
	defer cancel()
	reply, err := m.params.Reporter.Report(callCtx, peer, mark)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.polling, p.polled = false, true
	m.watchPlan.stale = m.watchPlan.stale || p.lastPollFailed != (err != nil)
	p.lastPollFailed = err != nil
	if p.lastPollFailed {
		return
	}
	p.lastReportAt = time.Now()
	changed := unchanged
	if mark == 0 || reply.Mark != mark {
		p.mark = reply.Mark
		changed = p.replaceReports(reply.Targets)
	}
	if p.leaving != reply.Leaving || !p.reachable {
		changed = stateChanged
	}
	p.leaving = reply.Leaving
	m.watchPlan.stale = m.watchPlan.stale || changed == stateChanged
	m.publishChange(changed)
}
