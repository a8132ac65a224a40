package batch

import "time"

const (
	// drainDelay is how long an item waits for an idle target before a target
	// is asked to become idle for it.
	drainDelay = time.Second
	// drainTimeout is how long a target may take to become idle before another
	// one is asked.
	drainTimeout = 30 * time.Second
)

// drains holds the suspects that wait for a target to become idle.
type drains map[suspectID]*drain

type suspectID struct {
	job   string
	index int
}

type drain struct {
	waitingSince time.Time
	// target was asked to become idle at the time asked.
	target      string
	requestedAt time.Time
}

// suspectJob returns a job with an item that must run alone.
func (s *Scheduler) suspectJob(serves func(service string) bool) *job {
	var best *job
	for id, j := range s.suspectJobs {
		if len(j.suspects) == 0 {
			delete(s.suspectJobs, id)
			continue
		}
		if !serves(j.Service) {
			continue
		}
		if best == nil || j.Compare(best.RunningJob) < 0 {
			best = j
		}
	}
	return best
}

// nextAlone hands out an item that must run alone, or asks the target to become
// idle for one. It reports false where the pull is an ordinary one.
func (s *Scheduler) nextAlone(now time.Time, p Pull) (Assignment, bool) {
	for {
		j := s.suspectJob(p.Serves)
		if j == nil {
			return Assignment{}, false
		}
		index := j.suspects[0]
		id := suspectID{j.Job, index}
		if s.params.Jobs.ItemDone(j.Job, index) || j.leases[index] != nil {
			j.suspects = j.suspects[1:]
			delete(s.drains, id)
			continue
		}
		if !p.Idle {
			return Assignment{Drain: true}, s.requestDrain(now, id, p.Target)
		}
		j.suspects = j.suspects[1:]
		delete(s.drains, id)
		ref := s.lease(now, j, index)
		ref.Alone = true
		return Assignment{Items: []LeasedItem{ref}}, true
	}
}

// requestDrain reports whether the target must become idle for the suspect.
func (s *Scheduler) requestDrain(now time.Time, id suspectID, target string) bool {
	d := s.drains[id]
	if d == nil {
		d = &drain{waitingSince: now}
		s.drains[id] = d
	}
	if d.target == target {
		return true
	}
	if now.Sub(d.waitingSince) < drainDelay || d.target != "" && now.Sub(d.requestedAt) < drainTimeout {
		return false
	}
	d.target, d.requestedAt = target, now
	return true
}
