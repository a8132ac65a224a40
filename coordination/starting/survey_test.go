package starting_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/starting"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// registeredTargets returns targets by their addresses.
func registeredTargets(count int) map[string]*fleet.Target {
	registered := map[string]*fleet.Target{}
	for i := range count {
		address := fmt.Sprint("a", i)
		registered[address] = &fleet.Target{ID: fmt.Sprint("t", i), Address: address}
	}
	return registered
}

// TestOneEndedTargetQuestionsAll finds one ended target after a loss of power. The others must
// be asked about at once: without that each costs a request of a caller an attempt.
func TestOneEndedTargetQuestionsAll(t *testing.T) {
	now := time.Unix(1000, 0)
	registered := registeredTargets(80)
	survey := starting.NewSurvey()
	assert.Equal(t, len(survey.Next(now, 100)), 0)
	survey.Question(now, registered["a3"], registered)
	for range 80 {
		next := survey.Next(now, 1)
		assert.Equal(t, len(next), 1)
		survey.Answered(next[0])
	}
	assert.Equal(t, len(survey.Next(now, 100)), 0, "all have answered")
}

// TestSurveysAreBounded finds an ended target with each request of a wave. That must not ask
// all batchers each time, nor ask those for ever that do not answer.
func TestSurveysAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	registered := registeredTargets(80)
	survey := starting.NewSurvey()
	survey.Question(now, registered["a3"], registered)
	for _, target := range survey.Next(now, 100) {
		survey.Answered(target)
	}
	for range 50 {
		now = now.Add(time.Millisecond)
		survey.Question(now, registered["a3"], registered)
		assert.Equal(t, len(survey.Next(now, 100)), 1, "only the target that was found is asked about")
	}
	now = now.Add(3 * time.Second)
	assert.Equal(t, len(survey.Next(now, 100)), 0, "it has not answered")
	survey.Question(now, registered["a4"], registeredTargets(100_000))
	assert.Assert(t, len(survey.Next(now, 100_000)) < 10_000)
}
