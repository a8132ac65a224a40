package sidecar

import (
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/answersize"
	"github.com/sycamoretally/sycamoretally/coordination/slots"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

const (
	// maxMoves bounds how often a long request gives its slot to shorter work.
	maxMoves = 2
	// slotTimeSmoothingFactor is the weight of the newest time for which work held its slot.
	slotTimeSmoothingFactor = 0.1
)

// answerStats knows how long a target's answers are and how long they hold a slot. The
// runner's lock guards it, but for the predictor.
type answerStats struct {
	target    settings.Target
	policy    settings.Policy
	predictor *answersize.Predictor
	admission slots.Admission
	// slotGrantedAt holds when online work got its slot.
	slotGrantedAt map[string]time.Time
}

func newAnswerStats(t settings.Target, p settings.Policy) *answerStats {
	return &answerStats{
		target:        t,
		policy:        p,
		predictor:     answersize.New(answersize.DefaultParams()),
		admission:     slots.Admission{MaxWait: time.Duration(t.MaxWait), Gain: slotTimeSmoothingFactor},
		slotGrantedAt: map[string]time.Time{},
	}
}

// isLong reports whether the attempt may be moved to make room for shorter work.
func (s *answerStats) isLong(a *protocol.AttemptRequest) bool {
	if s.policy.NoLanes || !a.Call.Model || !a.Repeatable || a.Moves >= maxMoves {
		return false
	}
	return s.predictor.IsLong(a.Call.Service, a.Call.MaxTokens)
}

// recordSlotGrant records that online work got its slot.
func (s *answerStats) recordSlotGrant(attempt string, now time.Time) { s.slotGrantedAt[attempt] = now }

// recordSlotRelease records that work gave its slot back, and returns how much online work
// may wait from now on.
func (s *answerStats) recordSlotRelease(attempt string, now time.Time) int {
	if begun, found := s.slotGrantedAt[attempt]; found {
		delete(s.slotGrantedAt, attempt)
		s.admission.Observe(now.Sub(begun))
	}
	if s.policy.NoAdmission || s.target.MaxWait == 0 {
		return s.target.Queue
	}
	return s.admission.QueueLimit(s.target.Slots, s.target.Queue)
}

// recordAnswer records the size of a whole answer.
func (s *answerStats) recordAnswer(a *protocol.AttemptRequest, tokens int) {
	s.predictor.Observe(a.Call.Service, a.Call.MaxTokens, tokens)
}
