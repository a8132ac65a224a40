package soak

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"
)

// lateStore is the time that the store's answers take to a gateway that reads the log late.
const lateStore = 800 * time.Millisecond

// readersDuration is the time for which readers ask for jobs.
const readersDuration = 12 * time.Second

// slowItems is the layout of sites whose jobs stay open for seconds.
var slowItems = layout{gateways: 3, modelTargets: 3, callTargets: 1, eventTime: 50 * time.Millisecond}

// TestLateGatewayHidesNoResult reads jobs at gateways one of which gets the store's answers
// late. Callers must find there what others have told them a second before, or be refused.
func TestLateGatewayHidesNoResult(t *testing.T) {
	s := newSite(t, binary, slowItems)
	s.gateways[0].door.setDelay(lateStore)
	l := newRecorder()
	ctx, stop := context.WithTimeout(t.Context(), readersDuration)
	defer stop()
	var group sync.WaitGroup
	counts := s.startJobReaders(ctx, &group, l, readerParams{seed: 37, submitters: 4, readers: 40})
	group.Wait()
	s.reportAnswers(l, counts)
}

// reportedViolations is the number of violations of each kind that are printed.
const reportedViolations = 4

// reportAnswers logs what readers got and fails the test with the first violations of each
// kind.
func (s *site) reportAnswers(l *recorder, c *answerCount) {
	s.t.Logf("answers: %v", c.counts)
	shown := map[string]int{}
	for _, problem := range l.problems {
		_, text, _ := strings.Cut(problem, " ")
		kind, _, _ := strings.Cut(text, ":")
		if shown[kind]++; shown[kind] <= reportedViolations {
			s.t.Errorf("%s", problem)
		}
	}
}
