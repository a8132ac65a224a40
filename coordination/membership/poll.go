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
	// DefaultEntryRate bounds the questions to entries.
	DefaultEntryRate = 16
	// surveyRate bounds the questions to sidecars that others watch.
	surveyRate = 4
)

const (
	// maxFirst bounds the processes that are asked for the first time in one round.
	maxFirst = 128
	// watchRounds is the number of rounds between two questions to a watched
	// sidecar, where there are many entries. Its answers tell more meanwhile.
	watchRounds = 2
	// replanInterval is the longest time until a change of configuration shows in
	// the choice of the watched sidecars.
	replanInterval = 5 * time.Second
)

// plan says whom this process watches.
type plan struct {
	// crowded is true where there are more entries than watch each sidecar.
	// Otherwise every process is asked in every round.
	crowded bool
	// outdated is set when a process came, went or changed its state.
	outdated bool
	made     time.Time
	// paced counts the processes by role that are asked by turns.
	paced map[backend.Role]int
}

// asks reports whether this process ever asks s.
func (m *Manager) asks(s *member) bool {
	return s.instance.Name != m.params.Self && m.params.Polls(s.instance.Role)
}

// surveyed reports whether s is a sidecar that other entries watch: it is asked
// now and then for what it serves, and gets no requests from here.
func (m *Manager) surveyed(s *member) bool {
	return m.plan.crowded && !s.watched && s.instance.Role == backend.RoleSidecar
}

// paced reports whether s is asked by turns with others of its role.
func (m *Manager) paced(s *member) bool { return m.plan.crowded && !s.watched }

// rate is the number of questions a second to the paced processes of a role.
func (m *Manager) rate(role backend.Role) float64 {
	if role == backend.RoleEntry {
		return m.params.EntryRate
	}
	return surveyRate
}

// silenceLimit is the time without a report after which s counts as unreachable.
func (m *Manager) silenceLimit(s *member) time.Duration {
	if !m.paced(s) {
		return m.params.SilenceLimit
	}
	turn := float64(m.plan.paced[s.instance.Role]) / m.rate(s.instance.Role)
	return m.params.SilenceLimit + m.params.Interval + time.Duration(turn*float64(time.Second))
}

// replan chooses anew whom to watch, and reports whether the choice differs. The
// lock is held.
func (m *Manager) replan(now time.Time) bool {
	if !m.plan.outdated && now.Sub(m.plan.made) < replanInterval {
		return false
	}
	crowded, changed := m.plan.crowded, false
	entries, sidecars := m.listedNames()
	m.plan = plan{crowded: len(entries) > Coverage, made: now, paced: map[backend.Role]int{}}
	watched := map[string]bool{}
	if m.plan.crowded && m.params.Polls(backend.RoleSidecar) {
		watched = Covered(m.params.Self, entries, sidecars, Coverage)
		Supplement(m.params.Self, watched, m.groups(), MinTargets)
	}
	for _, s := range m.members {
		changed = changed || s.watched != watched[s.instance.Name]
		s.watched = watched[s.instance.Name]
		if m.asks(s) && m.paced(s) {
			m.plan.paced[s.instance.Role]++
		}
	}
	return changed || crowded != m.plan.crowded
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

// groups returns the usable sidecars of each service. A watched one that went
// bad is missing, so that another takes its place.
func (m *Manager) groups() map[string][]string {
	groups := map[string][]string{}
	if m.params.Services == nil {
		return groups
	}
	services := m.params.Services()
	for name, s := range m.members {
		if !s.usable() {
			continue
		}
		for _, service := range s.services(services) {
			groups[service] = append(groups[service], name)
		}
	}
	return groups
}

// pollAll asks the processes whose turn it is for their reports, and marks those
// that have been silent for too long.
func (m *Manager) pollAll(ctx context.Context, polls *sync.WaitGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	changed := m.replan(now)
	for _, s := range m.members {
		changed = changed || s.reachable != m.reachable(s)
	}
	for _, s := range m.due(now) {
		s.polling, s.asked = true, now
		polls.Go(func() { m.poll(ctx, s) })
	}
	if changed {
		m.publish()
	}
}

// due returns the processes to ask in this round: all, or, where there are many
// entries, the watched ones and the next of the others.
func (m *Manager) due(now time.Time) []*member {
	var due []*member
	waiting := map[backend.Role][]*member{}
	for _, s := range m.members {
		switch {
		case s.polling || !m.asks(s):
		case m.paced(s):
			waiting[s.instance.Role] = append(waiting[s.instance.Role], s)
		case !m.plan.crowded || m.old(s, now):
			due = append(due, s)
		}
	}
	for role, all := range waiting {
		due = append(due, m.turn(role, all)...)
	}
	return due
}

// old reports whether a watched sidecar is to be asked again: its reports are
// those of an earlier question.
func (m *Manager) old(s *member, now time.Time) bool {
	rounds := watchRounds*m.params.Interval - m.params.Interval/2
	return now.Sub(s.asked) > rounds && !s.heardOfAll(now.Add(-m.params.Interval/2))
}

// turn returns those that have waited longest. New ones go first.
func (m *Manager) turn(role backend.Role, all []*member) []*member {
	slices.SortFunc(all, func(a, b *member) int {
		return cmp.Or(a.asked.Compare(b.asked), strings.Compare(a.instance.Name, b.instance.Name))
	})
	count := max(1, int(m.rate(role)*m.params.Interval.Seconds()))
	for count < min(maxFirst, len(all)) && all[count].asked.IsZero() {
		count++
	}
	return all[:min(count, len(all))]
}

func (m *Manager) reachable(s *member) bool {
	return time.Since(s.heard) <= m.silenceLimit(s)
}

func (m *Manager) poll(ctx context.Context, s *member) {
	m.mu.Lock()
	peer, mark := s.instance.Peer, s.mark
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, m.params.SilenceLimit)
	defer cancel()
	reply, err := m.params.Reporter.Report(callCtx, peer, mark)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.polling, s.polled = false, true
	m.plan.outdated = m.plan.outdated || s.failed != (err != nil)
	s.failed = err != nil
	if s.failed {
		return
	}
	s.heard = time.Now()
	changed := unchanged
	if mark == 0 || reply.Mark != mark {
		s.mark = reply.Mark
		changed = s.replace(reply.Targets)
	}
	if s.leaving != reply.Leaving || !s.reachable {
		changed = stateChanged
	}
	s.leaving = reply.Leaving
	m.plan.outdated = m.plan.outdated || changed == stateChanged
	m.spread(changed)
}
