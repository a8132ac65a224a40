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

// The rates at which a process asks those that it does not watch, in questions
// a second. A slower rate costs less and leaves an older view.
const (
	// DefaultEntryPollRate bounds the questions to entries.
	DefaultEntryPollRate = 16
	// unwatchedSidecarPollRate bounds the questions to sidecars that others watch.
	unwatchedSidecarPollRate = 4
)

const (
	// maxFirstPolls bounds the processes that are asked for the first time in one round.
	maxFirstPolls = 128
	// watchedPollRounds is the number of rounds between two questions to a watched
	// sidecar, where there are many entries. Its answers tell more meanwhile.
	watchedPollRounds = 2
	// replanInterval is the longest time until a change of configuration shows in
	// the choice of the watched sidecars.
	replanInterval = 5 * time.Second
)

// watchPlan says whom this process watches.
type watchPlan struct {
	// subsetting is true where there are more entries than watch each sidecar.
	// Otherwise every process is asked in every round.
	subsetting bool
	// stale is set when a process came, went or changed its state.
	stale      bool
	computedAt time.Time
	// rateLimited counts the processes by role that are asked by turns.
	rateLimited map[backend.Role]int
}

// polls reports whether this process ever asks s.
func (m *Manager) polls(s *member) bool {
	return s.instance.Name != m.params.Self && m.params.PollsRole(s.instance.Role)
}

// isUnwatchedSidecar reports whether s is a sidecar that other entries watch: it is asked
// now and then for what it serves, and gets no requests from here.
func (m *Manager) isUnwatchedSidecar(s *member) bool {
	return m.watchPlan.subsetting && !s.watched && s.instance.Role == backend.RoleSidecar
}

// isRateLimited reports whether s is asked by turns with others of its role.
func (m *Manager) isRateLimited(s *member) bool { return m.watchPlan.subsetting && !s.watched }

// pollRate is the number of questions a second to the paced processes of a role.
func (m *Manager) pollRate(role backend.Role) float64 {
	if role == backend.RoleEntry {
		return m.params.EntryPollRate
	}
	return unwatchedSidecarPollRate
}

// unreachableAfter is the time without a report after which s counts as unreachable.
func (m *Manager) unreachableAfter(s *member) time.Duration {
	if !m.isRateLimited(s) {
		return m.params.UnreachableAfter
	}
	turn := float64(m.watchPlan.rateLimited[s.instance.Role]) / m.pollRate(s.instance.Role)
	return m.params.UnreachableAfter + m.params.Interval + time.Duration(turn*float64(time.Second))
}

// updateWatchPlan chooses anew whom to watch, and reports whether the choice differs. The
// lock is held.
func (m *Manager) updateWatchPlan(now time.Time) bool {
	if !m.watchPlan.stale && now.Sub(m.watchPlan.computedAt) < replanInterval {
		return false
	}
	crowded, changed := m.watchPlan.subsetting, false
	entries, sidecars := m.listedNames()
	m.watchPlan = watchPlan{subsetting: len(entries) > WatchersPerSidecar, computedAt: now, rateLimited: map[backend.Role]int{}}
	watched := map[string]bool{}
	if m.watchPlan.subsetting && m.params.PollsRole(backend.RoleSidecar) {
		watched = WatchedSidecars(m.params.Self, entries, sidecars, WatchersPerSidecar)
		EnsureMinimum(m.params.Self, watched, m.sidecarsByService(), MinTargets)
	}
	for _, s := range m.members {
		changed = changed || s.watched != watched[s.instance.Name]
		s.watched = watched[s.instance.Name]
		if m.polls(s) && m.isRateLimited(s) {
			m.watchPlan.rateLimited[s.instance.Role]++
		}
	}
	return changed || crowded != m.watchPlan.subsetting
}

// listedNames returns the names of the listed entries and sidecars.
func (m *Manager) listedNames() (entries, sidecars []string) {
	for name, s := range m.members {
		if s.instance.Role == backend.RoleEntry {
			entries = append(entries, name)
		} else {
			sidecars = append(sidecars, name)
		}
	}
	slices.Sort(entries)
	slices.Sort(sidecars)
	return entries, sidecars
}

// sidecarsByService returns the usable sidecars of each service. A watched one that went
// bad is missing, so that another takes its place.
func (m *Manager) sidecarsByService() map[string][]string {
	groups := map[string][]string{}
	if m.params.Services == nil {
		return groups
	}
	services := m.params.Services()
	for name, s := range m.members {
		if !s.isUsable() {
			continue
		}
		for _, service := range s.services(services) {
			groups[service] = append(groups[service], name)
		}
	}
	return groups
}

// startPolls asks the processes whose turn it is for their reports, and marks those
// that have been silent for too long.
func (m *Manager) startPolls(ctx context.Context, polls *sync.WaitGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	changed := m.updateWatchPlan(now)
	for _, s := range m.members {
		changed = changed || s.reachable != m.isReachable(s)
	}
	for _, s := range m.duePolls(now) {
		s.polling, s.lastPollAt = true, now
		polls.Go(func() { m.poll(ctx, s) })
	}
	if changed {
		m.publish()
	}
}

// duePolls returns the processes to ask in this round: all, or, where there are many
// entries, the watched ones and the next of the others.
func (m *Manager) duePolls(now time.Time) []*member {
	var due []*member
	waiting := map[backend.Role][]*member{}
	for _, s := range m.members {
		switch {
		case s.polling || !m.polls(s):
		case m.isRateLimited(s):
			waiting[s.instance.Role] = append(waiting[s.instance.Role], s)
		case !m.watchPlan.subsetting || m.isWatchedPollDue(s, now):
			due = append(due, s)
		}
	}
	for role, all := range waiting {
		due = append(due, m.nextInRotation(role, all)...)
	}
	return due
}

// isWatchedPollDue reports whether a watched sidecar is to be asked again: its reports are
// those of an earlier question.
func (m *Manager) isWatchedPollDue(s *member, now time.Time) bool {
	rounds := watchedPollRounds*m.params.Interval - m.params.Interval/2
	return now.Sub(s.lastPollAt) > rounds && !s.allReportedSince(now.Add(-m.params.Interval/2))
}

// nextInRotation returns those that have waited longest. New ones go first.
func (m *Manager) nextInRotation(role backend.Role, all []*member) []*member {
	slices.SortFunc(all, func(a, b *member) int {
		return cmp.Or(a.lastPollAt.Compare(b.lastPollAt), strings.Compare(a.instance.Name, b.instance.Name))
	})
	count := max(1, int(m.pollRate(role)*m.params.Interval.Seconds()))
	for count < min(maxFirstPolls, len(all)) && all[count].lastPollAt.IsZero() {
		count++
	}
	return all[:min(count, len(all))]
}

func (m *Manager) isReachable(s *member) bool {
	return time.Since(s.lastReportAt) <= m.unreachableAfter(s)
}

func (m *Manager) poll(ctx context.Context, s *member) {
	m.mu.Lock()
	peer, mark := s.instance.Peer, s.mark
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, m.params.UnreachableAfter)
	defer cancel()
	reply, err := m.params.Reporter.Report(callCtx, peer, mark)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.polling, s.polled = false, true
	m.watchPlan.stale = m.watchPlan.stale || s.lastPollFailed != (err != nil)
	s.lastPollFailed = err != nil
	if s.lastPollFailed {
		return
	}
	s.lastReportAt = time.Now()
	changed := unchanged
	if mark == 0 || reply.Mark != mark {
		s.mark = reply.Mark
		changed = s.replaceReports(reply.Targets)
	}
	if s.leaving != reply.Leaving || !s.reachable {
		changed = stateChanged
	}
	s.leaving = reply.Leaving
	m.watchPlan.stale = m.watchPlan.stale || changed == stateChanged
	m.publishChange(changed)
}
