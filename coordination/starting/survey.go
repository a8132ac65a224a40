package starting

import (
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// surveyLength is how long a batcher that does not answer is asked again, and
	// surveyInterval the shortest time between two surveys of all targets.
	surveyLength   = time.Second
	surveyInterval = time.Second
	// maxQuestioned bounds the targets of a survey.
	maxQuestioned = 8192
)

// Survey keeps the targets whose batchers have to be asked which incarnation runs beside
// them. Where one registered target turns out to have ended, others may have as well: after
// a loss of power registrations say for seconds what ran before, and each request would find
// that out anew. It is safe for concurrent use.
type Survey struct {
	mu         sync.Mutex
	questioned map[string]question
	lastFull   time.Time
}

// question is a target that has to be asked about.
type question struct {
	target *fleet.Target
	until  time.Time
}

// NewSurvey returns a survey without questions.
func NewSurvey() *Survey { return &Survey{questioned: map[string]question{}} }

// Question adds a target at whose address another incarnation answered, and all registered
// ones unless that was done a short time ago.
func (s *Survey) Question(now time.Time, target *fleet.Target, registered map[string]*fleet.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastFull.IsZero() || now.Sub(s.lastFull) >= surveyInterval {
		s.lastFull = now
		for _, other := range registered {
			s.add(now, other)
		}
	}
	s.add(now, target)
}

// add adds a target. mu must be held.
func (s *Survey) add(now time.Time, target *fleet.Target) {
	if len(s.questioned) < maxQuestioned {
		s.questioned[target.Address] = question{target, now.Add(surveyLength)}
	}
}

// Next returns at most n of the targets that have to be asked about, at random.
func (s *Survey) Next(now time.Time, n int) []*fleet.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next []*fleet.Target
	for address, q := range s.questioned {
		switch {
		case now.After(q.until):
			delete(s.questioned, address)
		case len(next) < n:
			next = append(next, q.target)
		}
	}
	return next
}

// Answered notes that the batcher beside the target has answered.
func (s *Survey) Answered(target *fleet.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.questioned, target.Address)
}
